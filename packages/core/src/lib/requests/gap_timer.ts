/** Detects a stream that has gone silent. @packageDocumentation */

import {Clock, Timer} from '../time/clock.js';

/**
 * Aborts its signal when the reader has waited too long for the next event.
 *
 * Only time that the reader spends waiting counts, so that a slow caller is not
 * mistaken for a silent target.
 */
export class GapTimer {
  private readonly abortController = new AbortController();
  private waitingSinceMs: number | undefined;
  private timer: Timer | undefined;

  /**
   * @param clock - clock that measures the gaps.
   * @param limitMs - longest gap, in milliseconds.
   */
  constructor(
    private readonly clock: Clock,
    private limitMs: number,
  ) {}

  /** Aborts once a gap exceeds the limit. */
  get signal(): AbortSignal {
    return this.abortController.signal;
  }

  /** Starts measuring a gap: the reader now waits for an event. */
  startWait(): void {
    this.waitingSinceMs = this.clock.now();
    // One timer serves many events: it is rescheduled only when it fires.
    this.timer ??= this.clock.after(this.limitMs, () => this.check());
  }

  /**
   * Ends the current gap: an event was received.
   *
   * @param nextLimitMs - longest gap until the next event, in milliseconds.
   */
  endWait(nextLimitMs: number): void {
    this.waitingSinceMs = undefined;
    if (nextLimitMs < this.limitMs) this.dispose();
    this.limitMs = nextLimitMs;
  }

  /** Cancels the timer. */
  dispose(): void {
    this.timer?.cancel();
    this.timer = undefined;
  }

  private check(): void {
    this.timer = undefined;
    if (this.waitingSinceMs === undefined) return;
    const waitedMs = this.clock.now() - this.waitingSinceMs;
    if (waitedMs >= this.limitMs) {
      this.abortController.abort();
      return;
    }
    const remainingMs = this.limitMs - waitedMs;
    this.timer = this.clock.after(remainingMs, () => this.check());
  }
}
