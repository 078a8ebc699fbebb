/** A signal that aborts at a clock time. @packageDocumentation */

import {Clock} from './clock.js';

/** A signal bound to a deadline. */
export interface DeadlineSignal {
  /** Aborts at the deadline. */
  signal: AbortSignal;
  /** Frees the timer. */
  dispose(): void;
}

/**
 * @param clock - measures the time.
 * @param deadlineMs - clock time of the deadline, in milliseconds.
 */
export function deadlineSignal(
  clock: Clock,
  deadlineMs: number,
): DeadlineSignal {
  const late = new AbortController();
  const remainingMs = deadlineMs - clock.now();
  const timer = clock.after(remainingMs, () => late.abort());
  return {signal: late.signal, dispose: () => timer.cancel()};
}
