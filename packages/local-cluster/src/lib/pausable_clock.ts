/** Clock that simulates a paused host. @packageDocumentation */

import {SystemClock, Timer} from '@fuchsiacleat/core';

/**
 * Clock whose timers can be paused, as in a process that gets no CPU time.
 * `now` advances during a pause, because system clocks count pauses too.
 */
export class PausableClock extends SystemClock {
  private readonly expiredCallbacks: Array<() => void> = [];
  private isPaused = false;

  /** Stops all timers until {@link PausableClock.resume}. */
  pause(): void {
    this.isPaused = true;
  }

  /** Runs the timers that expired during the pause. */
  resume(): void {
    this.isPaused = false;
    for (const callback of this.expiredCallbacks.splice(0)) callback();
  }

  override after(delayMs: number, callback: () => void): Timer {
    let isCancelled = false;
    const run = () => {
      if (isCancelled) return;
      if (this.isPaused) this.expiredCallbacks.push(run);
      else callback();
    };
    const timer = super.after(delayMs, run);
    return {
      cancel: () => {
        isCancelled = true;
        timer.cancel();
      },
    };
  }
}
