/** The placement policies in use. @packageDocumentation */

import {DemandBook} from './demand_book.js';
import {LoadTimes} from './load_times.js';
import {EvictionCost, LoadOrder, TargetChoice} from './placement_policy.js';
import {SlackOrder} from './slack_order.js';
import {CheapestTarget} from './cheapest_target.js';
import {ExpectedReload} from './expected_reload.js';

/** The policies of a planner. */
export interface PlacementPolicies {
  order: LoadOrder;
  choice: TargetChoice;
  eviction: EvictionCost;
}

/**
 * Creates the policies that zone controllers use.
 *
 * @param demand - waiting requests and past use.
 * @param times - estimates of load durations.
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
