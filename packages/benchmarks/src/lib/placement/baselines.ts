/** Baseline policies for comparison with the production policies. @packageDocumentation */

import {
  WaitingDemand,
  FirstComeFirstServed,
  LeastRecentlyUsed,
  LoadOption,
  MostFreeMemory,
  PlacementPolicies,
  Random,
  TargetChoice,
} from '@fuchsiacleat/core';

class RandomTarget extends TargetChoice {
  constructor(private readonly random: Random) {
    super();
  }

  override choose(options: readonly LoadOption[]): LoadOption {
    return this.random.pick(options);
  }
}

/** @returns policies with least-recently-used eviction and first-come-first-served order. */
export function leastRecentlyUsed(demand: WaitingDemand): PlacementPolicies {
  return {
    priority: new FirstComeFirstServed(),
    choice: new MostFreeMemory(),
    eviction: new LeastRecentlyUsed(demand),
  };
}

/** @returns the policies of {@link leastRecentlyUsed} with a random choice of target. */
export function randomTarget(
  demand: WaitingDemand,
  seed: number,
): PlacementPolicies {
  return {
    ...leastRecentlyUsed(demand),
    choice: new RandomTarget(new Random(seed)),
  };
}
