/** Chooses where to load a model and what to evict. @packageDocumentation */

import {addedLoad} from './limit_relief.js';
import {ResidencyAccount} from './residency_account.js';
import {PlanRound} from './plan_round.js';

/** Cost of a fully loaded target as an equivalent delay of a request. */
const LOAD_COST_MS = 1_500;

/** Load beyond which a target, whose limit may be low, costs no more. */
const MAX_COSTED_LOAD = 2;

/** Weight of the delay of a request that misses its latency objective. */
const MISS_FACTOR = 3;

/** Fraction of the requests with adapters whose adapter is not loaded. */
const ADAPTER_MISS_FRACTION = 0.3;

/**
 * Cost, as an equivalent delay, of each model whose weights only this target
 * has: a load from the store may evict them from its disk.
 */
const SOLE_COPY_COST_MS = 300;

const MS_PER_SECOND = 1_000;

/** A load of a model and the models that it evicts. */
export interface Swap {
  account: ResidencyAccount;
  model: string;
  victims: string[];
  /** Expected time until the model takes requests. */
  readyInMs: number;
  /** Whether requests for a victim are running, which must end first. */
  mustDrain: boolean;
  fromStore: boolean;
}

/**
 * Chooses the swap that costs the waiting requests and those of the evicted
 * models the least time.
 *
 * @param model - a model that no target holds, or that needs another copy.
 * @param round - state of targets and demand.
 * @param canLoadFromStore - whether a load from the weight store may start now.
 * @param isAllowed - whether a target may load the model.
 * @param priority - requests per second that lack the model; only models that
 *     fewer would lack afterwards are evicted.
 * @returns the swap; its target may be busy now, if it is best to wait for it.
 *     Undefined if no target can be used.
 */
export function cheapestSwap(
  model: string,
  round: PlanRound,
  canLoadFromStore: boolean,
  isAllowed: (account: ResidencyAccount) => boolean,
  priority = Infinity,
): Swap | undefined {
  const shortage = round.work?.shortage(model) ?? 0;
  const waiting = Math.max(1, round.waiting(model), shortage);
  let best: Swap | undefined;
  let bestCost = Infinity;
  for (const account of round.accounts) {
    if (!isAllowed(account) || !canOrderTo(account, round.nowMs)) continue;
    if (account.residents.has(model) || account.loadingModel === model)
      continue;
    const {loadMs, fromStore} = account.loadEstimate(model);
    if (fromStore && !canLoadFromStore) continue;
    const evictionPlan = planEvictions(account, model, round, priority);
    if (evictionPlan === undefined) continue;
    const waitMs = account.isBusy
      ? Math.max(0, account.busyUntilMs - round.nowMs)
      : 0;
    const readyInMs = evictionPlan.drainMs + loadMs;
    const load = round.load(account) + addedLoad(account, model, round);
    const loadCost = LOAD_COST_MS * Math.min(MAX_COSTED_LOAD, load);
    const delayMs = waitMs + readyInMs + loadCost;
    const busyCost = adapterCost(account, readyInMs, round);
    const diskCost = fromStore
      ? SOLE_COPY_COST_MS * round.soleCopyCount(account)
      : 0;
    const paceCost = round.work?.extraMs(account, model) ?? 0;
    const cost =
      waiting * delayMs + evictionPlan.cost + busyCost + diskCost + paceCost;
    if (cost >= bestCost) continue;
    const {victims, drainMs} = evictionPlan;
    const mustDrain = drainMs > 0;
    best = {account, model, victims, readyInMs, fromStore, mustDrain};
    bestCost = cost;
  }
  return best;
}

/**
 * Returns whether a target could load a model from the weight store, now or
 * once an order for another model has ended.
 *
 * @param model - the model.
 * @param round - state of targets and demand.
 * @param isAllowed - whether a target may load the model.
 */
export function canPlace(
  model: string,
  round: PlanRound,
  isAllowed: (account: ResidencyAccount) => boolean,
): boolean {
  return cheapestSwap(model, round, true, isAllowed) !== undefined;
}

/** Returns whether orders for models can be sent to a target now or soon. */
function canOrderTo(account: ResidencyAccount, nowMs: number): boolean {
  if (account.needsReport || account.backoffUntilMs > nowMs) return false;
  return account.isReachable;
}

/**
 * Returns the cost of requests whose adapters cannot be loaded while a swap is
 * under way.
 */
function adapterCost(
  account: ResidencyAccount,
  busyMs: number,
  round: PlanRound,
): number {
  const perSecond = round.adapterRate(account);
  const misses = (perSecond * busyMs * ADAPTER_MISS_FRACTION) / MS_PER_SECOND;
  return misses * MISS_FACTOR * busyMs;
}

interface EvictionPlan {
  victims: string[];
  drainMs: number;
  cost: number;
}

function planEvictions(
  account: ResidencyAccount,
  model: string,
  round: PlanRound,
  priority: number,
): EvictionPlan | undefined {
  const {engine} = account;
  const neededMb = account.weightsMbOf(model);
  let freeMb = engine.weightsMb - account.usedMb;
  const plan: EvictionPlan = {victims: [], drainMs: 0, cost: 0};
  if (freeMb >= neededMb) return plan;
  for (const eviction of round.evictions(account)) {
    const {held, cost, drainMs, neededPerSecond} = eviction;
    if (neededPerSecond > 0 && neededPerSecond >= priority) continue;
    freeMb += account.sizeOf(held);
    plan.victims.push(held);
    plan.cost += cost;
    plan.drainMs = Math.max(plan.drainMs, drainMs);
    if (freeMb >= neededMb) return plan;
  }
  return undefined;
}
