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
 * @param limitMs - timeout in milliseconds; a negative value counts as zero.
 * @param signal - aborts the work early; undefined if there is none.
 * @param work - the work, which must stop when its signal aborts.
 * @returns the result of the work.
 */
export async function withTimeLimit<T>(
  limitMs: number,
  signal: AbortSignal | undefined,
  work: (limited: AbortSignal) => Promise<T>,
): Promise<T> {
  const limit = new AbortController();
  const abort = () => limit.abort(signal?.reason);
  const timer = setTimeout(() => limit.abort(), Math.max(0, limitMs));
  signal?.addEventListener('abort', abort);
  if (signal?.aborted) abort();
  try {
    return await work(limit.signal);
  } finally {
    clearTimeout(timer);
    signal?.removeEventListener('abort', abort);
  }
}
