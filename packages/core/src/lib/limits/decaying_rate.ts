/** Exponentially decaying event rates. @packageDocumentation */

import {Clock} from '../time/clock.js';

const MS_PER_SECOND = 1_000;

/** Measures the rate of events, weighted exponentially by age. */
export class DecayingRate {
  private perSecond = 0;
  private updatedAtMs: number;

  /**
   * @param clock - measures the decay.
   * @param windowMs - time constant: age at which the weight of an event has
   *     decayed to 1/e, in milliseconds.
   */
  constructor(
    private readonly clock: Clock,
    private readonly windowMs: number,
  ) {
    this.updatedAtMs = clock.now();
  }

  /** Current rate, in amount per second. */
  get value(): number {
    const nowMs = this.clock.now();
    this.perSecond *= Math.exp((this.updatedAtMs - nowMs) / this.windowMs);
    this.updatedAtMs = nowMs;
    return this.perSecond;
  }

  /**
   * Records an amount at the current time.
   *
   * @param amount - amount to add to the rate.
   */
  add(amount: number): void {
    this.perSecond = this.value + (amount * MS_PER_SECOND) / this.windowMs;
  }
}
