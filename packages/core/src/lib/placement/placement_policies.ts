/** The policies in force. @packageDocumentation */

import {DemandBook} from './demand_book.js';
import {EvictionCost, LoadOrder, TargetChoice} from './placement_policy.js';
import {
  FirstComeFirstServed,
  LeastRecentlyUsed,
  MostFreeMemory,
} from './plain_policy.js';

/** The choices that a planner makes by policy. */
export interface PlacementPolicies {
  order: LoadOrder;
  choice: TargetChoice;
  eviction: EvictionCost;
}

/**
 * @param demand - what waits and past use.
 * @returns the policies that controllers run.
 */
export function placementPolicies(demand: DemandBook): PlacementPolicies {
  return {
    order: new FirstComeFirstServed(),
    choice: new MostFreeMemory(),
    eviction: new LeastRecentlyUsed(demand),
  };
}
