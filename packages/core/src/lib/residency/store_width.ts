/** How many loads the weight store serves at once at full speed. @packageDocumentation */

import {Clock} from '../time/clock.js';

/** Loads at once to begin with; every weight store that is known serves two. */
const FIRST_WIDTH = 2;

/**
 * Part of its nominal time by which a load may be longer and still be at full
 * speed, and what reports lag behind; one load more than the store serves makes
 * each take at least a fifth longer up to a width of five.
 */
const SLOW_PART = 0.08;
const REPORT_LAG_MS = 700;

/** Time after which a width that was too large is tried again. */
const FORGET_MS = 60_000;

/** A load from the weight store, as it went. */
export interface StoreLoad {
  /** Time that it takes at full speed, in milliseconds. */
  nominalMs: number;
  tookMs: number;
  /** Loads that were under way when it began, itself included. */
  atOnce: number;
}

/**
 * Learns the width by trying one load more whenever as many as are allowed were
 * at full speed. Too many at once cost no throughput, as each takes longer in
 * proportion; too few leave the store idle.
 */
export class StoreWidth {
  private allowedAtOnce = FIRST_WIDTH;
  private tooMany = Infinity;
  private tooManyMs = -Infinity;

  /** @param clock - measures how long a failed try is remembered. */
  constructor(private readonly clock: Clock) {}

  /** Loads that may be under way at once. */
  get allowed(): number {
    return this.allowedAtOnce;
  }

  /** Takes in a load that has ended. */
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
