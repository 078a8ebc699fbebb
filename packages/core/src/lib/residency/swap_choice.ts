/** Chooses where to load a model and what makes way. @packageDocumentation */

import {ResidencyAccount} from './residency_account.js';
import {PlanRound} from './plan_round.js';

/** Delay of a request that a target full of other requests counts as. */
const LOAD_COST_MS = 1_500;

/** Delay that one evicted request of a kind with a short objective counts as. */
const MISS_FACTOR = 3;

/** Part of the requests with adapters whose adapter is not there. */
const ADAPTER_MISS_PART = 0.3;

/**
 * Delay that each model counts as which lies on the disk of one target alone: a
 * load from the store may push it out there.
 */
const SOLE_COPY_COST_MS = 300;

const MS_PER_SECOND = 1_000;

/** A load and what it evicts. */
export interface Swap {
  account: ResidencyAccount;
  model: string;
  victims: string[];
  /** Expected time until the model can take requests. */
  readyInMs: number;
  /** Whether requests still run on a victim, which must end first. */
  mustDrain: boolean;
  fromStore: boolean;
}

/**
 * @param model - a model that no target holds, or that needs another copy.
 * @param round - what is known of targets and demand.
 * @param storeGrants - whether the weight store grants a load now.
 * @returns the swap that costs the waiting requests and those of the evicted
 *     models the least time; undefined if it is best to wait for a target that
 *     is busy now, or if none can be used.
 */
export function chooseSwap(
  model: string,
  round: PlanRound,
  storeGrants: boolean,
): Swap | undefined {
  const waiting = Math.max(1, round.waiting(model));
  let best: Swap | undefined;
  let bestCost = Infinity;
  for (const account of round.accounts) {
    if (!canUse(account, round.nowMs)) continue;
    if (account.residents.has(model) || account.coming === model) continue;
    const {loadMs, fromStore} = account.loadOf(model);
    if (fromStore && !storeGrants) continue;
    const made = makeRoom(account, model, round);
    if (made === undefined) continue;
    const waitMs = account.isBusy
      ? Math.max(0, account.busyUntilMs - round.nowMs)
      : 0;
    const readyInMs = made.drainMs + loadMs;
    const loadCost = LOAD_COST_MS * round.load(account);
    const delayMs = waitMs + readyInMs + loadCost;
    const busyCost = adapterCost(account, readyInMs, round);
    const diskCost = fromStore
      ? SOLE_COPY_COST_MS * round.soleCopies(account)
      : 0;
    const cost = waiting * delayMs + made.cost + busyCost + diskCost;
    if (cost >= bestCost) continue;
    const {victims, drainMs} = made;
    const mustDrain = drainMs > 0;
    best = {account, model, victims, readyInMs, fromStore, mustDrain};
    bestCost = cost;
  }
  return best?.account.isBusy ? undefined : best;
}

/** @returns whether orders for models can go to a target, now or soon. */
function canUse(account: ResidencyAccount, nowMs: number): boolean {
  if (account.needsReport || account.quietUntilMs > nowMs) return false;
  return account.isReachable;
}

/** Delay of requests whose adapters cannot be loaded during an exchange. */
function adapterCost(
  account: ResidencyAccount,
  busyMs: number,
  round: PlanRound,
): number {
  const perSecond = round.adapterRate(account);
  const misses = (perSecond * busyMs * ADAPTER_MISS_PART) / MS_PER_SECOND;
  return misses * MISS_FACTOR * busyMs;
}

interface Room {
  victims: string[];
  drainMs: number;
  cost: number;
}

function makeRoom(
  account: ResidencyAccount,
  model: string,
  round: PlanRound,
): Room | undefined {
  const {engine} = account;
  const neededMb = engine.models.get(model)!.weightsMb;
  let freeMb = engine.weightsMb - account.usedMb;
  const room: Room = {victims: [], drainMs: 0, cost: 0};
  if (freeMb >= neededMb) return room;
  for (const {held, cost, drainMs} of round.evictions(account)) {
    freeMb += account.sizeOf(held);
    room.victims.push(held);
    room.cost += cost;
    room.drainMs = Math.max(room.drainMs, drainMs);
    if (freeMb >= neededMb) return room;
  }
  return undefined;
}
