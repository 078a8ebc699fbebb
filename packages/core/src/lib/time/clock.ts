/** The abstract clock. @packageDocumentation */

/** A timer that was started with {@link Clock.after}. */
export interface Timer {
  /** Cancels the timer. Has no effect after the timer fired or was canceled. */
  cancel(): void;
}

/**
 * The source of time for the whole system. Tests replace it with a clock that
 * they advance themselves.
 *
 * `now` is monotonic and includes the time during which the process was
 * paused. Leases rely on both properties.
 */
export abstract class Clock {
  /** @returns the monotonic time in milliseconds since an arbitrary origin. */
  abstract now(): number;

  /** @returns the Unix time in milliseconds, for display and records only. */
  abstract epochNow(): number;

  /**
   * Runs a callback once after a delay.
   *
   * @param delayMs - delay in milliseconds; a negative value counts as zero.
   * @param callback - the function to run; it must not throw.
   * @returns a handle to cancel the timer.
   */
  abstract after(delayMs: number, callback: () => void): Timer;

  /**
   * Waits for a delay.
   *
   * @param delayMs - delay in milliseconds.
   * @param signal - ends the wait early when it aborts.
   * @returns a promise that resolves after the delay or on abort, and never
   *     rejects.
   */
  sleep(delayMs: number, signal?: AbortSignal): Promise<void> {
    if (signal?.aborted) return Promise.resolve();
    return new Promise(resolve => {
      const finish = () => {
        timer.cancel();
        signal?.removeEventListener('abort', finish);
        resolve();
      };
      const timer = this.after(delayMs, finish);
      signal?.addEventListener('abort', finish);
    });
  }

  /**
   * Calls a callback repeatedly until the signal aborts. The first call is
   * made at once, and calls never overlap.
   *
   * @param intervalMs - pause between the end of a call and the start of the
   *     next, in milliseconds.
   * @param signal - stops the repetition.
   * @param callback - the function to call.
   */
  async every(
    intervalMs: number,
    signal: AbortSignal,
    callback: () => void | Promise<void>,
  ): Promise<void> {
    while (!signal.aborted) {
      await callback();
      await this.sleep(intervalMs, signal);
    }
  }
}
