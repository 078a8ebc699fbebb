/** State of the idempotency keys of one shard. @packageDocumentation */

import {IdempotencyRecord, StoredAnswer} from './idempotency_records.js';

/** State of a claimed idempotency key. */
export interface ClaimEntry {
  /** Record id of the current claim. */
  claimId: string;
  /** Digest of the request's content. */
  contentDigest: string;
  state: 'in-progress' | 'done';
  /** Response of a completed request; undefined if it was not stored. */
  answer: StoredAnswer | undefined;
  /** Time at which the log accepted the claim, in epoch milliseconds. */
  claimedAtMs: number;
}

/**
 * Applies the records of one shard. Every reader applies the same rule: the
 * first claim of a key in the log wins until it is abandoned.
 */
export class ClaimTable {
  private readonly entries = new Map<string, ClaimEntry>();

  /**
   * Applies a record.
   *
   * @param id - id of the record.
   * @param record - content of the record.
   * @param atMs - time at which the log accepted the record, in epoch
   *     milliseconds.
   */
  apply(id: string, record: IdempotencyRecord, atMs: number): void {
    const existing = this.entries.get(record.key);
    if (record.type === 'claim') {
      if (existing !== undefined) return;
      this.entries.set(record.key, {
        claimId: id,
        contentDigest: record.content,
        state: 'in-progress',
        answer: undefined,
        claimedAtMs: atMs,
      });
      return;
    }
    if (existing?.claimId !== record.claim) return;
    if (record.type === 'abandon') {
      this.entries.delete(record.key);
      return;
    }
    existing.state = 'done';
    existing.answer = record.answer ?? undefined;
  }

  /** Returns the state of a key; undefined if it is not claimed. */
  get(key: string): ClaimEntry | undefined {
    return this.entries.get(key);
  }

  /**
   * Removes claims that have expired from the log as well.
   *
   * @param beforeMs - claims accepted before this time are removed, in epoch
   *     milliseconds.
   */
  expire(beforeMs: number): void {
    for (const [key, entry] of this.entries) {
      // Entries are in the order of their claims.
      if (entry.claimedAtMs >= beforeMs) return;
      this.entries.delete(key);
    }
  }
}
