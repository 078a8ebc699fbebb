/** Work that is given up after a time. @packageDocumentation */

/**
 * Runs work under a signal that aborts after a time or with another signal.
 *
 * Use it instead of `AbortSignal.timeout`: combined by `AbortSignal.any`, such
 * a signal can be garbage-collected before it aborts.
 *
 * ```ts
 * await withTimeLimit(1_000, signal, limited => fetch(url, {signal: limited}));
 * ```
 *
 * @param limitMs - longest time in milliseconds; negative counts as zero.
 * @param signal - aborts the work early; undefined for none.
 * @param work - what to run.
 * @returns what the work returns.
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
