/** Learns how many loads the weight store serves at once at full speed. @packageDocumentation */

import {Clock} from '../time/clock.js';

/** Initial concurrency; every known weight store serves two loads at once. */
const FIRST_WIDTH = 2;

/**
 * Fraction of its nominal time by which a load may take longer and still count
 * as at full speed, and the delay of reports. One load more than the store
 * serves makes each take at least a fifth longer, up to a concurrency of five.
 */
const SLOW_PART = 0.08;
const REPORT_LAG_MS = 700;

/** Time after which a concurrency that was too high is tried again. */
const FORGET_MS = 60_000;

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
export class StoreWidth {
  private allowedAtOnce = FIRST_WIDTH;
  private tooMany = Infinity;
  private tooManyMs = -Infinity;

  /** @param clock - clock for the age of the last slow load. */
  constructor(private readonly clock: Clock) {}

  /** Number of loads that may be under way at once. */
  get allowed(): number {
    return this.allowedAtOnce;
  }

  /** Records a load that has ended. */
  note({atOnce, nominalMs, tookMs}: StoreLoad): void {
    const nowMs = this.clock.now();
    if (nowMs - this.tooManyMs > FORGET_MS) this.tooMany = Infinity;
    const isSlow = tookMs > nominalMs * (1 + SLOW_PART) + REPORT_LAG_MS;
    if (isSlow && atOnce > FIRST_WIDTH) {
      this.tooMany = Math.min(this.tooMany, atOnce);
      this.tooManyMs = nowMs;
      this.allowedAtOnce = Math.min(this.allowedAtOnce, atOnce - 1);
    } else if (!isSlow && atOnce >= this.allowedAtOnce) {
      const next = atOnce + 1;
      if (next < this.tooMany) this.allowedAtOnce = next;
    }
  }
}
