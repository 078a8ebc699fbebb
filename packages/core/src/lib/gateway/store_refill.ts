/** Knows whether records that the store has lost are still being written again. @packageDocumentation */

import {z} from 'zod';
import {Clock} from '../time/clock.js';

/**
 * Time from the return of a store within which the operator and the targets
 * have written again what it lost. Targets take about two seconds.
 */
const REFILL_MS = 2_500;

/** Schema of {@link RefillState}. */
export const refillStateSchema = z.object({
  era: z.number(),
  /** Time for which the store may lack records, in milliseconds. */
  leftMs: z.number(),
});

/** What a host tells others of the store. */
export type RefillState = z.output<typeof refillStateSchema>;

/**
 * Follows the eras of a store that may come back from an older copy. Until its
 * records are written again, it may lack some, and hold some that had ended.
 */
export class StoreRefill {
  private newestEra: number | undefined;
  private endMs = -Infinity;
  private startCount = 0;

  /** @param clock - measures the time since the store came back. */
  constructor(private readonly clock: Clock) {}

  /** What this host knows; undefined before the first answer of the store. */
  get state(): RefillState | undefined {
    const {leftMs, newestEra: era} = this;
    return era === undefined ? undefined : {era, leftMs};
  }

  /** Whether the store may still lack what is written again. */
  get isUnderWay(): boolean {
    return this.leftMs > 0;
  }

  /** Number of refills, including one that is under way. */
  get count(): number {
    return this.startCount;
  }

  /** Time for which it may, in milliseconds; 0 if it lacks nothing. */
  get leftMs(): number {
    return Math.max(0, this.endMs - this.clock.now());
  }

  /**
   * Records that the store was in an era. The first one that is recorded is no
   * reason to assume that the store has just come back.
   *
   * @param era - how often it had come back from an older copy.
   * @param leftMs - time for which the store may lack something, as another host
   *     knows it.
   */
  recordEra(era: number, leftMs = 0): void {
    const {newestEra = era} = this;
    this.newestEra = Math.max(newestEra, era);
    const knownMs = era > newestEra ? REFILL_MS : Math.min(leftMs, REFILL_MS);
    if (knownMs > 0 && !this.isUnderWay) this.startCount += 1;
    this.endMs = Math.max(this.endMs, this.clock.now() + knownMs);
  }

  /** Records what another host tells; undefined if it knows nothing. */
  recordState(state: RefillState | undefined): void {
    if (state !== undefined) this.recordEra(state.era, state.leftMs);
  }
}
