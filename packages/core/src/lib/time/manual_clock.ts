/** A clock that moves only when it is told to. @packageDocumentation */

import {Clock, Timer} from './clock.js';

interface PendingTimer {
  dueMs: number;
  order: number;
  callback: () => void;
}

/**
 * A {@link Clock} for tests and experiments.
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
   * Moves time forward, running every timer that falls due on the way.
   *
   * @param durationMs - how far to move, in milliseconds.
   * @returns a promise that resolves once the timers' immediate continuations
   *     have run.
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
   * Moves time without running any timer, as a paused process sees it.
   *
   * @param durationMs - length of the pause in milliseconds.
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

/** Lets promise continuations run that became ready with the last timer. */
function settleMicrotasks(): Promise<void> {
  return new Promise(resolve => setImmediate(resolve));
}
