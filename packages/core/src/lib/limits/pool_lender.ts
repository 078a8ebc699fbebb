/** How a host divides its part among those that ask. @packageDocumentation */

import {z} from 'zod';
import {Clock} from '../time/clock.js';
import {LendingBucket} from './lending_bucket.js';

/** How long an unmet need counts, in milliseconds. */
const NEED_MEMORY_MS = 1_000;

/** Grants smaller than this stay where they are, in tokens. */
const MIN_GRANT = 1e-3;

/** What a host tells a lender about one pool. */
export const poolEntrySchema = z.object({
  pool: z.string(),
  /** Tokens that it would like to have. */
  need: z.number().min(0),
  /** What it holds of the lender's part, also reserved. */
  held: z.number().min(0),
  /** Tokens that it gives back. */
  returned: z.number().min(0),
  /** Tokens that it uses beyond its own part. */
  charge: z.number().min(0),
});

/** See {@link poolEntrySchema}. */
export type PoolEntry = z.output<typeof poolEntrySchema>;

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
