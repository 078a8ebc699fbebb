/** The placement policies in use. @packageDocumentation */

import {WaitingDemand} from './waiting_demand.js';
import {LoadTimes} from './load_times.js';
import {EvictionCost, LoadPriority, TargetChoice} from './placement_policy.js';
import {SlackPriority} from './slack_priority.js';
import {CheapestTarget} from './cheapest_target.js';
import {ExpectedReload} from './expected_reload.js';

/** The policies of a planner. */
export interface PlacementPolicies {
  priority: LoadPriority;
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
  demand: WaitingDemand,
  times: LoadTimes,
): PlacementPolicies {
  return {
    priority: new SlackPriority(),
    choice: new CheapestTarget(),
    eviction: new ExpectedReload(demand, times),
  };
}
