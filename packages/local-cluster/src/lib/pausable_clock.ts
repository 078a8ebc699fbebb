/** The clock of a host that can be paused. @packageDocumentation */

import {SystemClock, Timer} from '@fuchsiacleat/core';

/**
 * While paused, no timer runs, as in a process that gets no processor time;
 * `now` goes on, since the clocks of the system count pauses.
 */
export class PausableClock extends SystemClock {
  private readonly held: Array<() => void> = [];
  private isPaused = false;

  /** Stops timers until {@link PausableClock.resume}. */
  pause(): void {
    this.isPaused = true;
  }

  /** Runs the timers that fell due in the pause. */
  resume(): void {
    this.isPaused = false;
    for (const callback of this.held.splice(0)) callback();
  }

  override after(delayMs: number, callback: () => void): Timer {
    let cancelled = false;
    const run = () => {
      if (cancelled) return;
      if (this.isPaused) this.held.push(run);
      else callback();
    };
    const timer = super.after(delayMs, run);
    return {
      cancel: () => {
        cancelled = true;
        timer.cancel();
      },
    };
  }
}
