/** Targets for copies of models that are short of capacity. @packageDocumentation */

import {PlanRound} from './plan_round.js';
import {ResidencyAccount} from './residency_account.js';

/**
 * Fraction of a model's demand that a target must have room for to load a copy
 * of it.
 */
const MIN_RELIEF_FRACTION = 0.15;

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
  const limit = account.target.requestsPerSecond;
  if (limit === undefined) return true;
  if (account.loadEstimate(model).fromStore) return false;
  const room = limit * (1 - round.load(account));
  return room >= round.demand(model) * MIN_RELIEF_FRACTION;
}
