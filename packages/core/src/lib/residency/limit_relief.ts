/** Copies of models whose targets named limits. @packageDocumentation */

import {PlanRound} from './plan_round.js';
import {ResidencyAccount} from './residency_account.js';

/**
 * Fraction of a model's demand that a limited target must have room for to load
 * a copy of it.
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
  const limit = account.target.limit.perSecond;
  if (limit === undefined) return true;
  if (account.loadEstimate(model).fromStore) return false;
  const room = limit * (1 - round.load(account));
  return room >= round.demand(model) * MIN_RELIEF_FRACTION;
}
