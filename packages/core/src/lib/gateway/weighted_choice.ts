/** Random choice among targets of nearly equal cost. @packageDocumentation */

import type {KnownTarget} from './target_table.js';

/** Cost up to which targets count as little loaded. */
const LITTLE_COST = 0.25;

/**
 * Difference of cost that counts as equal among little loaded targets. It is
 * below the penalty for another zone, so that near targets are preferred.
 */
const EQUAL_COST = 0.02;

/**
 * Increase of that difference with the cost. Many hosts see the same target
 * become free, and all of them would choose it.
 */
const EQUAL_COST_SLOPE = 0.6;

/** Weight of a target without a free slot. */
const MIN_WEIGHT = 0.05;

/** Costs of the targets of one choice; reused, as choices do not overlap. */
let costs = new Float64Array(256);

/**
 * Chooses a target at random among those of nearly the lowest cost.
 *
 * @param targets - the candidates.
 * @param cost - returns the cost of a target; Infinity if it can't be used.
 * @param weight - returns the weight of a target.
 * @param draw - random number in [0, 1).
 * @returns the target; undefined if none can be used.
 */
export function chooseWeighted(
  targets: readonly KnownTarget[],
  cost: (target: KnownTarget) => number,
  weight: (target: KnownTarget) => number,
  draw: number,
): KnownTarget | undefined {
  if (costs.length < targets.length)
    costs = new Float64Array(2 * targets.length);
  let lowest = Infinity;
  for (let i = 0; i < targets.length; i++) {
    costs[i] = cost(targets[i]);
    lowest = Math.min(lowest, costs[i]);
  }
  if (lowest === Infinity) return undefined;
  const excess = Math.max(0, Math.min(1, lowest - LITTLE_COST));
  const limit = lowest + EQUAL_COST + EQUAL_COST_SLOPE * excess;
  let total = 0;
  for (let i = 0; i < targets.length; i++) {
    if (costs[i] <= limit) total += Math.max(MIN_WEIGHT, weight(targets[i]));
  }
  let left = draw * total;
  let last: KnownTarget | undefined;
  for (let i = 0; i < targets.length; i++) {
    if (costs[i] > limit) continue;
    last = targets[i];
    left -= Math.max(MIN_WEIGHT, weight(last));
    if (left < 0) return last;
  }
  return last;
}
