/** Time as the rest of the system sees it. @packageDocumentation */

/** A pending timer. */
export interface Timer {
  /** Stops the timer; later calls have no effect. */
  cancel(): void;
}

/**
 * The only source of time in the system, so that tests can step it.
 *
 * `now` never goes backwards and counts the time during which the process was
 * paused, which leases rely on.
 */
export abstract class Clock {
  /** @returns monotonic time in milliseconds from an arbitrary origin. */
  abstract now(): number;

  /** @returns milliseconds since the Unix epoch, for display and records. */
  abstract epochNow(): number;

  /**
   * Runs `callback` once after a delay.
   *
   * @param delayMs - delay in milliseconds; negative counts as zero.
   * @param callback - must not throw.
   * @returns the timer, to cancel it.
   */
  abstract after(delayMs: number, callback: () => void): Timer;

  /**
   * Waits.
   *
   * @param delayMs - delay in milliseconds.
   * @param signal - ends the wait early when it aborts.
   * @returns a promise that resolves after the delay or on abort; it never
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
   * Calls `callback` every `intervalMs` until `signal` aborts.
   *
   * @param intervalMs - time between calls in milliseconds.
   * @param signal - ends the repetition.
   * @param callback - a call starts only after the previous one has ended.
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
