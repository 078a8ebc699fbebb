/** Chooses the target that costs the least time. @packageDocumentation */

import {LoadOption, TargetChoice} from './placement_policy.js';

/** Weighs the load itself against loading again what it evicts. */
export class CheapestTarget extends TargetChoice {
  override choose(options: readonly LoadOption[]): LoadOption {
    return options.reduce((best, next) =>
      isCheaper(next, best) ? next : best,
    );
  }
}

function isCheaper(a: LoadOption, b: LoadOption): boolean {
  const difference = costMs(a) - costMs(b);
  if (difference !== 0) return difference < 0;
  return a.account.freeBytes > b.account.freeBytes;
}

function costMs({loadMs, evictionCost}: LoadOption): number {
  return loadMs + evictionCost;
}
