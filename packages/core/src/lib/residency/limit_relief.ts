/** Targets for copies of models that are short of capacity. @packageDocumentation */

import type {PlanRound} from './plan_round.js';
import {ResidencyAccount} from './residency_account.js';

/**
 * Fraction of a model's demand that a target must have room for to load a copy
 * of it.
 */
const MIN_RELIEF_FRACTION = 0.15;

/** Lower bound of a limit that divides a demand, in requests per second. */
export const MIN_LIMIT = 0.2;

/**
 * Returns the load that a model would add to a target, as far as the target
 * named a limit.
 */
export function addedLoad(
  account: ResidencyAccount,
  model: string,
  round: PlanRound,
): number {
  const limit = account.target.limit.perSecond;
  if (limit === undefined) return 0;
  const copies = round.copies(model).length + 1;
  return round.demand(model) / copies / Math.max(limit, MIN_LIMIT);
}

/**
 * Returns whether a target is worth a copy of a model whose targets cannot take
 * its demand.
 */
export function canRelieve(
  account: ResidencyAccount,
  model: string,
  round: PlanRound,
): boolean {
  const {work} = round;
  if (work !== undefined) {
    const neededRoom = work.demand(model) * MIN_RELIEF_FRACTION;
    if (work.room(account) < neededRoom) return false;
  }
  const limit = account.target.limit.perSecond;
  if (limit === undefined) return true;
  if (account.loadEstimate(model).fromStore) return false;
  const room = limit * (1 - round.load(account));
  return room >= round.demand(model) * MIN_RELIEF_FRACTION;
}
