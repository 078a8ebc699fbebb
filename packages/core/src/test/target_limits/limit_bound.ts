/** The platform's bound on requests to a limited target, for tests. @packageDocumentation */

const WINDOW_MS = 4_000;
const OVERAGE = 1.5;
const SLACK = 5;
const MS_PER_SECOND = 1_000;

/**
 * Returns how many requests a limited target may get in any window.
 *
 * @param perSecond - the limit that it named.
 */
export function allowedInWindow(perSecond: number): number {
  return (OVERAGE * perSecond * WINDOW_MS) / MS_PER_SECOND + SLACK;
}

/** Returns the largest number of times within any window, 4 s by default. */
export function mostInWindow(
  timesMs: readonly number[],
  windowMs = WINDOW_MS,
): number {
  const sorted = [...timesMs].sort((a, b) => a - b);
  let most = 0;
  let first = 0;
  for (let last = 0; last < sorted.length; last++) {
    while (sorted[last] - sorted[first] >= windowMs) first += 1;
    most = Math.max(most, last - first + 1);
  }
  return most;
}
