/** A rate measured over the recent past. @packageDocumentation */

import {Clock} from '../time/clock.js';

const MS_PER_SECOND = 1_000;

/** An exponentially weighted rate of events. */
export class DecayingRate {
  private perSecond = 0;
  private updatedAtMs: number;

  /**
   * @param clock - measures the decay.
   * @param windowMs - time after which an event counts 1/e, in milliseconds.
   */
  constructor(
    private readonly clock: Clock,
    private readonly windowMs: number,
  ) {
    this.updatedAtMs = clock.now();
  }

  /** Amount per second. */
  get value(): number {
    const nowMs = this.clock.now();
    this.perSecond *= Math.exp((this.updatedAtMs - nowMs) / this.windowMs);
    this.updatedAtMs = nowMs;
    return this.perSecond;
  }

  /** @param amount - what has just happened. */
  add(amount: number): void {
    this.perSecond = this.value + (amount * MS_PER_SECOND) / this.windowMs;
  }
}
