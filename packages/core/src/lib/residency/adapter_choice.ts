/** Chooses where to load an adapter and which one to evict. @packageDocumentation */

import {residentKey} from '../gateway/target_table.js';
import {ResidencyAccount, isUsable} from './residency_account.js';
import {UsageTable} from './usage_table.js';

/** Adapters that one target may be loading at the same time. */
const MAX_ADAPTERS_LOADING = 4;

/** An adapter of a model. */
export interface AdapterName {
  model: string;
  adapter: string;
}

/** A load of an adapter and the adapter that it evicts. */
export interface AdapterSwap extends AdapterName {
  account: ResidencyAccount;
  victim: AdapterName | undefined;
}

/**
 * Chooses the target with the fewest requests for the model, and prefers a free
 * adapter slot to an eviction.
 *
 * @param wanted - an adapter that no target with its model ready holds.
 * @param accounts - the targets of the service.
 * @param usage - requests in flight.
 * @param nowMs - clock time.
 * @returns the load, or undefined if no target can take it.
 */
export function chooseAdapterSwap(
  wanted: AdapterName,
  accounts: readonly ResidencyAccount[],
  usage: UsageTable,
  nowMs: number,
): AdapterSwap | undefined {
  let best: AdapterSwap | undefined;
  let bestCost = Infinity;
  for (const account of accounts) {
    if (!canLoad(account, wanted, nowMs)) continue;
    const isFull = account.adapterCount >= account.engine.adapterSlots;
    const oldest = isFull
      ? leastRecentlyUsedIdle(account, usage, nowMs)
      : undefined;
    if (isFull && oldest === undefined) continue;
    const load = usage.inFlight(account.id, wanted.model);
    const cost = load + (isFull ? account.engine.slots : 0);
    if (cost >= bestCost) continue;
    best = {...wanted, account, victim: oldest};
    bestCost = cost;
  }
  return best;
}

function canLoad(
  account: ResidencyAccount,
  {model}: AdapterName,
  nowMs: number,
): boolean {
  const resident = account.residents.get(model);
  if (resident === undefined || resident.readyMs > nowMs) return false;
  if (resident.isUnloading || !account.target.isOpen) return false;
  if (account.needsReport || account.backoffUntilMs > nowMs) return false;
  // A target refuses every other order while it swaps models.
  if (account.isBusy) return false;
  if (loadingAdapterCount(account, nowMs) >= MAX_ADAPTERS_LOADING) {
    return false;
  }
  const facts = account.engine.models.get(model);
  if (facts === undefined) return false;
  return account.usedMb + facts.adapterMb <= account.engine.weightsMb;
}

function loadingAdapterCount(account: ResidencyAccount, nowMs: number): number {
  let count = 0;
  for (const {adapters} of account.residents.values()) {
    for (const {readyMs} of adapters.values()) if (readyMs > nowMs) count += 1;
  }
  return count;
}

function leastRecentlyUsedIdle(
  account: ResidencyAccount,
  usage: UsageTable,
  nowMs: number,
): AdapterName | undefined {
  let oldest: AdapterName | undefined;
  let oldestMs = Infinity;
  for (const [model, {adapters}] of account.residents) {
    for (const [adapter, held] of adapters) {
      if (!isUsable(held, nowMs)) continue;
      if (held.usedMs >= oldestMs) continue;
      if (usage.inFlight(account.id, residentKey(model, adapter)) > 0) continue;
      oldest = {model, adapter};
      oldestMs = held.usedMs;
    }
  }
  return oldest;
}
