/** Timeouts for asynchronous work. @packageDocumentation */

/**
 * Runs asynchronous work with a signal that aborts after a timeout or together
 * with another signal.
 *
 * Use this function instead of `AbortSignal.timeout`. A timeout signal that is
 * passed to `AbortSignal.any` can be garbage-collected before it aborts.
 *
 * ```ts
 * await withTimeout(1_000, signal, limited => fetch(url, {signal: limited}));
 * ```
 *
 * @param timeoutMs - timeout in milliseconds; a negative value counts as zero.
 * @param signal - aborts the work early; undefined if there is none.
 * @param work - the work, which must stop when its signal aborts.
 * @returns the result of the work.
 */
export async function withTimeout<T>(
  timeoutMs: number,
  signal: AbortSignal | undefined,
  work: (limited: AbortSignal) => Promise<T>,
): Promise<T> {
  const timeoutController = new AbortController();
  const abort = () => timeoutController.abort(signal?.reason);
  const timer = setTimeout(
    () => timeoutController.abort(),
    Math.max(0, timeoutMs),
  );
  signal?.addEventListener('abort', abort);
  if (signal?.aborted) abort();
  try {
    return await work(timeoutController.signal);
  } finally {
    clearTimeout(timer);
    signal?.removeEventListener('abort', abort);
  }
}
