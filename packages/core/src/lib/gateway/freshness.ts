/** Tracks the age of this host's configuration. @packageDocumentation */

import {Clock} from '../time/clock.js';
import {SuspensionDetector} from '../time/suspension_detector.js';

/**
 * Records when the platform last confirmed the configuration in force.
 *
 * An API key may have been withdrawn since then, so requests with keys are
 * refused once the confirmation is too old. A suspension of the host that the
 * monotonic clock does not count invalidates the confirmation at once.
 */
export class Freshness {
  private confirmedMs = -Infinity;
  private readonly suspensionWatch: SuspensionDetector;

  /**
   * @param clock - provides monotonic and wall-clock time.
   * @param maxAgeMs - maximum age of a confirmation.
   */
  constructor(
    private readonly clock: Clock,
    private readonly maxAgeMs: number,
  ) {
    this.suspensionWatch = new SuspensionDetector(clock);
  }

  /**
   * Records that the configuration in force was the newest one.
   *
   * @param askedMs - clock time before the request to the platform, or a later
   *     time if the answer is certainly not older than that.
   */
  confirm(askedMs: number): void {
    if (this.suspensionWatch.wasSuspendedSince(askedMs)) return;
    this.confirmedMs = Math.max(this.confirmedMs, askedMs);
  }

  /**
   * Age of the newest confirmation in milliseconds; Infinity if there is none.
   */
  get ageMs(): number {
    if (this.suspensionWatch.wasSuspendedSince(this.confirmedMs))
      return Infinity;
    return this.clock.now() - this.confirmedMs;
  }

  /** Whether requests with keys may run. */
  get isFresh(): boolean {
    return this.ageMs <= this.maxAgeMs;
  }
}
