/** A simulated clock that runs its timers without waiting. @packageDocumentation */

import {Clock, Timer} from '@fuchsiacleat/core';
import {Heap} from 'heap-js';

interface PendingTimer {
  dueMs: number;
  order: number;
  callback: () => void;
  cancelled: boolean;
}

/** Simulates hours in seconds; timers run in the order in which they are due. */
export class SteppedClock extends Clock {
  private nowMs = 0;
  private nextOrder = 0;
  private readonly timers = new Heap<PendingTimer>(
    (a, b) => a.dueMs - b.dueMs || a.order - b.order,
  );

  override now(): number {
    return this.nowMs;
  }

  override epochNow(): number {
    return this.nowMs;
  }

  override after(delayMs: number, callback: () => void): Timer {
    const dueMs = this.nowMs + Math.max(0, delayMs);
    const order = this.nextOrder++;
    const timer = {dueMs, order, callback, cancelled: false};
    this.timers.push(timer);
    return {
      cancel: () => {
        timer.cancelled = true;
      },
    };
  }

  /** Runs all timers that are due up to a time. */
  runUntil(endMs: number): void {
    for (;;) {
      const next = this.timers.peek();
      if (next === undefined || next.dueMs > endMs) break;
      this.timers.pop();
      if (next.cancelled) continue;
      this.nowMs = next.dueMs;
      next.callback();
    }
    this.nowMs = endMs;
  }
}
