/** Chooses the target with the lowest expected cost of a load. @packageDocumentation */

import {LoadOption, TargetChoice} from './placement_policy.js';

/**
 * Minimises the duration of the load plus the expected cost of reloading what
 * it evicts. Ties go to the target with more free memory.
 */
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
