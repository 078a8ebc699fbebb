/** Which request ran under which idempotency key. @packageDocumentation */

import {IdempotencyRecord, StoredAnswer} from './idempotency_records.js';

/** What is known of an idempotency key. */
export interface ClaimEntry {
  /** Record id of the claim in force. */
  claim: string;
  /** Digest of the request's content. */
  content: string;
  state: 'in-progress' | 'done';
  /** The answer of a request that is done; undefined if it was not kept. */
  answer: StoredAnswer | undefined;
  /** When the log took the claim, in epoch milliseconds. */
  atMs: number;
}

/**
 * Applies the records of one shard by one rule at every reader: the first
 * claim of a key in the log wins until it is abandoned.
 */
export class ClaimTable {
  private readonly entries = new Map<string, ClaimEntry>();

  /**
   * @param id - id of the record.
   * @param record - its content.
   * @param atMs - when the log took it, in epoch milliseconds.
   */
  apply(id: string, record: IdempotencyRecord, atMs: number): void {
    const known = this.entries.get(record.key);
    if (record.type === 'claim') {
      if (known !== undefined) return;
      this.entries.set(record.key, {
        claim: id,
        content: record.content,
        state: 'in-progress',
        answer: undefined,
        atMs,
      });
      return;
    }
    if (known?.claim !== record.claim) return;
    if (record.type === 'abandon') {
      this.entries.delete(record.key);
      return;
    }
    known.state = 'done';
    known.answer = record.answer ?? undefined;
  }

  /** @returns what is known of a key. */
  get(key: string): ClaimEntry | undefined {
    return this.entries.get(key);
  }

  /**
   * Forgets claims that the log no longer holds either.
   *
   * @param beforeMs - epoch milliseconds.
   */
  expire(beforeMs: number): void {
    for (const [key, entry] of this.entries) {
      // Entries stand in the order of their claims.
      if (entry.atMs >= beforeMs) return;
      this.entries.delete(key);
    }
  }
}
