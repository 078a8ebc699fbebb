/** Simple policies that the real ones are compared with. @packageDocumentation */

import {
  DemandBook,
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

/** @returns least recently used, with first come first served. */
export function leastRecentlyUsed(demand: DemandBook): PlacementPolicies {
  return {
    order: new FirstComeFirstServed(),
    choice: new MostFreeMemory(),
    eviction: new LeastRecentlyUsed(demand),
  };
}

/** @returns the same with one random target. */
export function randomTarget(
  demand: DemandBook,
  seed: number,
): PlacementPolicies {
  return {
    ...leastRecentlyUsed(demand),
    choice: new RandomTarget(new Random(seed)),
  };
}
