/** Notices a stream that has gone silent. @packageDocumentation */

import {Clock, Timer} from '../time/clock.js';

/**
 * Aborts its signal when the reader has waited too long for an event.
 *
 * Time during which the reader itself does not wait does not count, so that a
 * slow caller is not mistaken for a silent target.
 */
export class GapTimer {
  private readonly silent = new AbortController();
  private waitingSinceMs: number | undefined;
  private timer: Timer | undefined;

  /**
   * @param clock - measures the gaps.
   * @param limitMs - longest gap, in milliseconds.
   */
  constructor(
    private readonly clock: Clock,
    private limitMs: number,
  ) {}

  /** Aborts once a gap exceeds the limit. */
  get signal(): AbortSignal {
    return this.silent.signal;
  }

  /** The reader begins to wait. */
  waitStarts(): void {
    this.waitingSinceMs = this.clock.now();
    // One timer serves many events: it is moved only when it falls due.
    this.timer ??= this.clock.after(this.limitMs, () => this.check());
  }

  /**
   * An event came.
   *
   * @param nextLimitMs - longest gap until the next one, in milliseconds.
   */
  waitEnds(nextLimitMs: number): void {
    this.waitingSinceMs = undefined;
    if (nextLimitMs < this.limitMs) this.dispose();
    this.limitMs = nextLimitMs;
  }

  /** Frees the timer. */
  dispose(): void {
    this.timer?.cancel();
    this.timer = undefined;
  }

  private check(): void {
    this.timer = undefined;
    if (this.waitingSinceMs === undefined) return;
    const waitedMs = this.clock.now() - this.waitingSinceMs;
    if (waitedMs >= this.limitMs) {
      this.silent.abort();
      return;
    }
    const remainingMs = this.limitMs - waitedMs;
    this.timer = this.clock.after(remainingMs, () => this.check());
  }
}
