/** Knows whether records that the store has lost are still being written again. @packageDocumentation */

import {Clock} from '../time/clock.js';

/**
 * Time from the return of a store within which the operator and the targets
 * have written again what it lost. Targets take about two seconds.
 */
const REFILL_MS = 2_500;

/**
 * Follows the eras of a store that may come back from an older copy. Until its
 * records are written again, it may lack some, and hold some that had ended.
 */
export class StoreRefill {
  private newestEra: number | undefined;
  private startMs = -Infinity;

  /** @param clock - measures the time since the store came back. */
  constructor(private readonly clock: Clock) {}

  /** Newest era that is known; undefined before the first one. */
  get era(): number | undefined {
    return this.newestEra;
  }

  /** Whether the store may still lack what is written again. */
  get isUnderWay(): boolean {
    return this.clock.now() - this.startMs < REFILL_MS;
  }

  /**
   * Records that the store was in an era. The first one that is recorded is no
   * reason to assume that the store has just come back.
   *
   * @param era - how often it had come back from an older copy.
   */
  recordEra(era: number): void {
    const {newestEra = era} = this;
    this.newestEra = Math.max(newestEra, era);
    if (era > newestEra) this.startMs = this.clock.now();
  }
}
