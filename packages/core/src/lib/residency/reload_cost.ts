/** Cost of loading a model again. @packageDocumentation */

/** Weight of the reload delay if it is longer than the latency objective. */
const MISS_FACTOR = 3;

/** Weight of the reload delay if the latency objective allows for it. */
const ON_TIME_FACTOR = 0.25;

const MS_PER_SECOND = 1_000;

/**
 * Returns the delay of requests that wait until a model is loaded again.
 *
 * @param perSecond - requests per second for the model.
 * @param objectiveMs - their latency objective.
 * @param reloadMs - time that the load takes.
 */
export function reloadCost(
  perSecond: number,
  objectiveMs: number,
  reloadMs: number,
): number {
  const missed = (perSecond * reloadMs) / MS_PER_SECOND;
  const isLate = objectiveMs < reloadMs;
  const factor = isLate ? MISS_FACTOR : ON_TIME_FACTOR;
  return factor * (missed + perSecond) * reloadMs;
}
