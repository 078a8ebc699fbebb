/** Learns how many loads the weight store serves at once at full speed. @packageDocumentation */

import {Clock} from '../time/clock.js';

/** Initial concurrency; every known weight store serves two loads at once. */
const INITIAL_CONCURRENCY = 2;

/**
 * Fraction of its nominal time by which a load may take longer and still count
 * as at full speed, and the delay of reports. One load more than the store
 * serves makes each take at least a fifth longer, up to a concurrency of five.
 */
const SLOW_FRACTION = 0.08;
const REPORT_LAG_MS = 700;

/** Time after which a concurrency that was too high is tried again. */
const LIMIT_LIFETIME_MS = 60_000;

/** Measurements of a load from the weight store. */
export interface StoreLoad {
  /** Time that the load takes at full speed, in milliseconds. */
  nominalMs: number;
  tookMs: number;
  /** Loads that were under way at its start, itself included. */
  atOnce: number;
}

/**
 * Learns how many concurrent loads the store serves. It allows one load more
 * whenever the allowed number ran at full speed. Too many loads cost no
 * throughput, as each takes longer in proportion; too few leave the store idle.
 */
export class StoreConcurrency {
  private allowedLoads = INITIAL_CONCURRENCY;
  private knownLimit = Infinity;
  private knownLimitMs = -Infinity;

  /** @param clock - clock for the age of the last slow load. */
  constructor(private readonly clock: Clock) {}

  /** Number of loads that may be under way at once. */
  get allowed(): number {
    return this.allowedLoads;
  }

  /** Records a load that has ended. */
  record({atOnce, nominalMs, tookMs}: StoreLoad): void {
    const nowMs = this.clock.now();
    if (nowMs - this.knownLimitMs > LIMIT_LIFETIME_MS)
      this.knownLimit = Infinity;
    const isSlow = tookMs > nominalMs * (1 + SLOW_FRACTION) + REPORT_LAG_MS;
    if (isSlow && atOnce > INITIAL_CONCURRENCY) {
      this.knownLimit = Math.min(this.knownLimit, atOnce);
      this.knownLimitMs = nowMs;
      this.allowedLoads = Math.min(this.allowedLoads, atOnce - 1);
    } else if (!isSlow && atOnce >= this.allowedLoads) {
      const next = atOnce + 1;
      if (next < this.knownLimit) this.allowedLoads = next;
    }
  }
}
