/** Simple placement policies. @packageDocumentation */

import {DemandBook, WaitingWork} from './demand_book.js';
import {
  EvictionCost,
  LoadOption,
  LoadOrder,
  TargetChoice,
} from './placement_policy.js';
import {Replica} from './target_account.js';

/** Loads in the order in which work came. */
export class FirstComeFirstServed extends LoadOrder {
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

/** Evicts the model that has not been used for longest. */
export class LeastRecentlyUsed extends EvictionCost {
  /** @param demand - knows when each model was used. */
  constructor(private readonly demand: DemandBook) {
    super();
  }

  override cost({model, bytes}: Replica): number {
    return (this.demand.lastUse(model) ?? 0) * bytes;
  }
}
