/** A clock that is advanced explicitly. @packageDocumentation */

import {Clock, Timer} from './clock.js';

interface PendingTimer {
  dueMs: number;
  order: number;
  callback: () => void;
}

/**
 * A {@link Clock} for tests and simulations. Its time changes only through
 * {@link ManualClock.advance} and {@link ManualClock.pause}.
 *
 * ```ts
 * const clock = new ManualClock();
 * clock.after(10, () => console.log('due'));
 * await clock.advance(10);
 * ```
 */
export class ManualClock extends Clock {
  private nowMs = 0;
  private nextOrder = 0;
  private pending: PendingTimer[] = [];

  /** @param epochOriginMs - the Unix time that corresponds to `now() === 0`. */
  constructor(private readonly epochOriginMs = 0) {
    super();
  }

  override now(): number {
    return this.nowMs;
  }

  override epochNow(): number {
    return this.epochOriginMs + this.nowMs;
  }

  override after(delayMs: number, callback: () => void): Timer {
    const timer: PendingTimer = {
      dueMs: this.nowMs + Math.max(0, delayMs),
      order: this.nextOrder++,
      callback,
    };
    this.pending.push(timer);
    return {
      cancel: () => {
        this.pending = this.pending.filter(other => other !== timer);
      },
    };
  }

  /**
   * Advances the time and runs every timer that becomes due, in order.
   *
   * @param durationMs - how far to advance, in milliseconds.
   * @returns a promise that resolves once the timers and the promise
   *     continuations that they triggered have run.
   */
  async advance(durationMs: number): Promise<void> {
    const endMs = this.nowMs + durationMs;
    for (;;) {
      const next = this.takeNextDue(endMs);
      if (next === undefined) break;
      this.nowMs = Math.max(this.nowMs, next.dueMs);
      next.callback();
      await settleMicrotasks();
    }
    this.nowMs = endMs;
    await settleMicrotasks();
  }

  /**
   * Advances the time without running timers, like a process that is paused.
   * Timers that became due run at the next {@link ManualClock.advance}.
   *
   * @param durationMs - length of the pause, in milliseconds.
   */
  pause(durationMs: number): void {
    this.nowMs += durationMs;
  }

  private takeNextDue(endMs: number): PendingTimer | undefined {
    let next: PendingTimer | undefined;
    for (const timer of this.pending) {
      if (timer.dueMs > endMs) continue;
      if (next === undefined || isBefore(timer, next)) next = timer;
    }
    this.pending = this.pending.filter(timer => timer !== next);
    return next;
  }
}

function isBefore(a: PendingTimer, b: PendingTimer): boolean {
  return a.dueMs < b.dueMs || (a.dueMs === b.dueMs && a.order < b.order);
}

/** Waits until the pending promise continuations have run. */
function settleMicrotasks(): Promise<void> {
  return new Promise(resolve => setImmediate(resolve));
}
