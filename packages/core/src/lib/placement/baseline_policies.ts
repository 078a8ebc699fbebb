/** Baseline placement policies, for comparison in benchmarks. @packageDocumentation */

import {WaitingDemand, WaitingWork} from './waiting_demand.js';
import {
  EvictionCost,
  LoadOption,
  LoadPriority,
  TargetChoice,
} from './placement_policy.js';
import {Replica} from './target_account.js';

/** Ranks work by the time since when it has been waiting. */
export class FirstComeFirstServed extends LoadPriority {
  override rank({sinceMs}: WaitingWork): number {
    return sinceMs;
  }
}

/** Chooses the target with the most free memory. */
export class MostFreeMemory extends TargetChoice {
  override choose(options: readonly LoadOption[]): LoadOption {
    return options.reduce((best, next) =>
      next.account.freeBytes > best.account.freeBytes ? next : best,
    );
  }
}

/**
 * Evicts the least recently used model first. The cost is multiplied by the
 * replica's size because the planner compares costs per byte.
 */
export class LeastRecentlyUsed extends EvictionCost {
  /**
   * Creates the policy.
   *
   * @param demand - tracks when each model was last used.
   */
  constructor(private readonly demand: WaitingDemand) {
    super();
  }

  override cost({model, bytes}: Replica): number {
    return (this.demand.lastUsedMs(model) ?? 0) * bytes;
  }
}
