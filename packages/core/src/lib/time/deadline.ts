/** Abort signals for deadlines. @packageDocumentation */

import {Clock} from './clock.js';

/** An abort signal with its timer. */
export interface DeadlineSignal {
  /** Aborts at the deadline. */
  signal: AbortSignal;
  /** Cancels the timer. */
  dispose(): void;
}

/**
 * Creates a signal that aborts at a deadline.
 *
 * @param clock - clock on which the deadline is given.
 * @param deadlineMs - clock time of the deadline, in milliseconds.
 * @returns the signal and a function to cancel its timer.
 */
export function deadlineSignal(
  clock: Clock,
  deadlineMs: number,
): DeadlineSignal {
  const controller = new AbortController();
  const remainingMs = deadlineMs - clock.now();
  const timer = clock.after(remainingMs, () => controller.abort());
  return {signal: controller.signal, dispose: () => timer.cancel()};
}
