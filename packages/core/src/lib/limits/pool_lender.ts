/** How a host divides its part among those that ask. @packageDocumentation */

import {z} from 'zod';
import {Clock} from '../time/clock.js';
import {LendingBucket} from './lending_bucket.js';

/** How long an unmet need counts, in milliseconds. */
const NEED_MEMORY_MS = 1_000;

/** Grants smaller than this stay where they are, in tokens. */
const MIN_GRANT = 1e-3;

const tokensSchema = z.number().min(0);

/**
 * What a host tells a lender about one pool, as it travels: name, need, held,
 * returned, charge of {@link PoolEntry}. It goes several times a second, so it
 * carries no names of fields.
 */
export const poolEntrySchema = z.tuple([
  z.string(),
  tokensSchema,
  tokensSchema,
  tokensSchema,
  tokensSchema,
]);

/** See {@link poolEntrySchema}. */
export type PackedEntry = z.output<typeof poolEntrySchema>;

/** What a host tells a lender about one pool. */
export interface PoolEntry {
  pool: string;
  /** Tokens that it would like to have. */
  need: number;
  /** What it holds of the lender's part, also reserved. */
  held: number;
  /** Tokens that it gives back. */
  returned: number;
  /** Tokens that it uses beyond its own part. */
  charge: number;
}

/** @returns the entry as it travels. */
export function packEntry(entry: PoolEntry): PackedEntry {
  const {pool, need, held, returned, charge} = entry;
  return [pool, need, held, returned, charge];
}

/** @returns the entry that was packed. */
export function unpackEntry(packed: PackedEntry): PoolEntry {
  const [pool, need, held, returned, charge] = packed;
  return {pool, need, held, returned, charge};
}

/** Lends from a bucket: first the surplus, in shortage an equal part. */
export class Lender {
  private readonly unmetSinceMs = new Map<string, number>();

  constructor(
    private readonly clock: Clock,
    private readonly bucket: LendingBucket,
  ) {}

  /**
   * @param borrower - name of the host that asks.
   * @param need - how many tokens it would like.
   * @param ownNeed - tokens that this host expects to use itself.
   * @returns tokens lent, which have left the bucket.
   */
  grant(borrower: string, need: number, ownNeed: number): number {
    this.forgetOldNeeds();
    if (need === 0) {
      this.unmetSinceMs.delete(borrower);
      return 0;
    }
    this.unmetSinceMs.set(borrower, this.clock.now());
    const {level} = this.bucket;
    const claimants = this.unmetSinceMs.size + (ownNeed > 0 ? 1 : 0);
    const offered = Math.max(level - ownNeed, level / claimants);
    const granted = Math.min(need, offered);
    if (granted < MIN_GRANT) return 0;
    if (granted === need) this.unmetSinceMs.delete(borrower);
    this.bucket.lend(borrower, granted);
    return granted;
  }

  private forgetOldNeeds(): void {
    const oldestMs = this.clock.now() - NEED_MEMORY_MS;
    for (const [host, atMs] of this.unmetSinceMs) {
      if (atMs < oldestMs) this.unmetSinceMs.delete(host);
    }
  }
}
