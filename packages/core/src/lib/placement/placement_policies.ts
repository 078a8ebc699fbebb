/** The policies in force. @packageDocumentation */

import {DemandBook} from './demand_book.js';
import {LoadTimes} from './load_times.js';
import {EvictionCost, LoadOrder, TargetChoice} from './placement_policy.js';
import {SlackOrder} from './slack_order.js';
import {CheapestTarget} from './cheapest_target.js';
import {ExpectedReload} from './expected_reload.js';

/** The choices that a planner makes by policy. */
export interface PlacementPolicies {
  order: LoadOrder;
  choice: TargetChoice;
  eviction: EvictionCost;
}

/**
 * @param demand - what waits and past use.
 * @param times - how long loads take.
 * @returns the policies that controllers run.
 */
export function placementPolicies(
  demand: DemandBook,
  times: LoadTimes,
): PlacementPolicies {
  return {
    order: new SlackOrder(),
    choice: new CheapestTarget(),
    eviction: new ExpectedReload(demand, times),
  };
}
