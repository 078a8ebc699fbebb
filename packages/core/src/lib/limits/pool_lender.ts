/** Division of a host's tokens among borrowing hosts. @packageDocumentation */

import {z} from 'zod';
import {Clock} from '../time/clock.js';
import {LendingBucket} from './lending_bucket.js';

/** Time for which an unmet need is taken into account, in milliseconds. */
const UNMET_NEED_LIFETIME_MS = 1_000;

/** Smallest grant, in tokens; smaller amounts are not lent. */
const MIN_GRANT_TOKENS = 1e-3;

const tokensSchema = z.number().min(0);

/**
 * Wire format of a {@link PoolEntry}: pool, need, held, returned, charge.
 *
 * Entries are sent several times a second, so they are tuples without field
 * names to keep messages small.
 */
export const poolEntrySchema = z.tuple([
  z.string(),
  tokensSchema,
  tokensSchema,
  tokensSchema,
  tokensSchema,
]);

/** A {@link PoolEntry} in its wire format, {@link poolEntrySchema}. */
export type PackedEntry = z.output<typeof poolEntrySchema>;

/** The part of a report to a lender that concerns one pool. */
export interface PoolEntry {
  pool: string;
  /** Tokens that the borrower requests. */
  need: number;
  /** Tokens of the lender that it holds, including reserved ones. */
  held: number;
  /** Tokens that it returns to the lender. */
  returned: number;
  /** Tokens that it uses beyond its own share. */
  charge: number;
}

/**
 * Encodes an entry for sending.
 *
 * @returns the entry in its wire format.
 */
export function packEntry(entry: PoolEntry): PackedEntry {
  const {pool, need, held, returned, charge} = entry;
  return [pool, need, held, returned, charge];
}

/**
 * Decodes a received entry.
 *
 * @returns the entry with named fields.
 */
export function unpackEntry(packed: PackedEntry): PoolEntry {
  const [pool, need, held, returned, charge] = packed;
  return {pool, need, held, returned, charge};
}

/**
 * Lends tokens from a bucket: whatever the host itself does not need, and in a
 * shortage at least an equal share for each host that has an unmet need.
 */
export class Lender {
  private readonly unmetNeedAtMs = new Map<string, number>();

  constructor(
    private readonly clock: Clock,
    private readonly bucket: LendingBucket,
  ) {}

  /**
   * Lends tokens to a borrower and removes them from the bucket.
   *
   * @param borrower - name of the borrowing host.
   * @param need - number of tokens that it requests.
   * @param ownNeed - tokens that this host expects to use itself.
   * @returns number of tokens lent; 0 if there are too few.
   */
  grant(borrower: string, need: number, ownNeed: number): number {
    this.expireUnmetNeeds();
    if (need === 0) {
      this.unmetNeedAtMs.delete(borrower);
      return 0;
    }
    this.unmetNeedAtMs.set(borrower, this.clock.now());
    const {level} = this.bucket;
    const claimants = this.unmetNeedAtMs.size + (ownNeed > 0 ? 1 : 0);
    const offered = Math.max(level - ownNeed, level / claimants);
    const granted = Math.min(need, offered);
    if (granted < MIN_GRANT_TOKENS) return 0;
    if (granted === need) this.unmetNeedAtMs.delete(borrower);
    this.bucket.lend(borrower, granted);
    return granted;
  }

  private expireUnmetNeeds(): void {
    const oldestMs = this.clock.now() - UNMET_NEED_LIFETIME_MS;
    for (const [host, atMs] of this.unmetNeedAtMs) {
      if (atMs < oldestMs) this.unmetNeedAtMs.delete(host);
    }
  }
}
