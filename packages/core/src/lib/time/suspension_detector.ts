/** Detection of host suspensions. @packageDocumentation */

import {Clock} from './clock.js';

/**
 * Advance of the wall clock over the monotonic clock that counts as a
 * suspension, in milliseconds.
 */
const MIN_SUSPENSION_MS = 250;

/**
 * Detects suspensions of the host. It compares the wall clock with the
 * monotonic clock, which may stop during a suspension. Setting the wall clock
 * forward is reported as a suspension too; callers then only ask the platform
 * once more than needed.
 */
export class SuspensionDetector {
  private offsetMs: number;
  private detectedMs = -Infinity;

  /** @param clock - provides the wall clock and the monotonic clock. */
  constructor(private readonly clock: Clock) {
    this.offsetMs = clock.epochNow() - clock.now();
  }

  /**
   * Compares the clocks again.
   *
   * @param sinceMs - a time of the monotonic clock, in milliseconds.
   * @returns whether a suspension was detected at or after that time.
   */
  wasSuspendedSince(sinceMs: number): boolean {
    const nowMs = this.clock.now();
    const offsetMs = this.clock.epochNow() - nowMs;
    if (offsetMs - this.offsetMs > MIN_SUSPENSION_MS) this.detectedMs = nowMs;
    this.offsetMs = offsetMs;
    return this.detectedMs >= sinceMs;
  }
}
