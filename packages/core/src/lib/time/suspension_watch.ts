/** Notices that the host was suspended. @packageDocumentation */

import {Clock} from './clock.js';

/** Gain of the wall clock that counts as a suspension, in milliseconds. */
const SUSPENSION_MS = 250;

/**
 * Compares the wall clock with the monotonic one, which may stop while the
 * host is suspended. A wall clock that is set forward looks the same; callers
 * then ask the platform once more than needed.
 */
export class SuspensionWatch {
  private offsetMs: number;
  private noticedMs = -Infinity;

  /** @param clock - both clocks. */
  constructor(private readonly clock: Clock) {
    this.offsetMs = clock.epochNow() - clock.now();
  }

  /**
   * @param sinceMs - a time of the monotonic clock.
   * @returns whether the host may have been suspended since then.
   */
  suspendedSince(sinceMs: number): boolean {
    const nowMs = this.clock.now();
    const offsetMs = this.clock.epochNow() - nowMs;
    if (offsetMs - this.offsetMs > SUSPENSION_MS) this.noticedMs = nowMs;
    this.offsetMs = offsetMs;
    return this.noticedMs >= sinceMs;
  }
}
