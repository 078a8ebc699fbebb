/** Chooses where to load a model and what makes way. @packageDocumentation */

import {ResidencyAccount} from './residency_account.js';
import {UsageTable} from './usage_table.js';

/** In flight, as a share of the slots, that calls for another copy. */
export const COPY_LOAD = 0.45;

/** Delay of a request that a target full of other requests counts as. */
const LOAD_COST_MS = 1_500;

/** How long the requests of a model run that must end before it is unloaded. */
const DRAIN_MS = 1_500;

/** Requests a second up to which a model's only copy may be drained. */
const MAX_DRAINED_RATE = 1;

/** Delay that one evicted request of a kind with a short objective counts as. */
const MISS_FACTOR = 3;

/** Part of the requests with adapters whose adapter is not there. */
const ADAPTER_MISS_PART = 0.3;

/** Share of an evicted rare model's reload that counts as delay. */
const PATIENT_FACTOR = 0.25;

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

/** What a choice depends on. */
export interface SwapContext {
  service: string;
  nowMs: number;
  usage: UsageTable;
  accounts: readonly ResidencyAccount[];
  /** Whether the weight store grants a load now. */
  storeGrants: boolean;
  /** @returns requests that wait for a model. */
  waiting: (model: string) => number;
}

/**
 * @param model - a model that no target holds, or that needs another copy.
 * @param context - see {@link SwapContext}.
 * @returns the swap that costs the waiting requests and those of the evicted
 *     models the least time; undefined if it is best to wait for a target that
 *     is busy now, or if none can be used.
 */
export function chooseSwap(
  model: string,
  context: SwapContext,
): Swap | undefined {
  const waiting = Math.max(1, context.waiting(model));
  let best: Swap | undefined;
  let bestCost = Infinity;
  let bestWaitMs = 0;
  for (const account of context.accounts) {
    if (!canUse(account, context.nowMs)) continue;
    if (account.residents.has(model)) continue;
    const {loadMs, fromStore} = account.loadOf(model);
    if (fromStore && !context.storeGrants) continue;
    const made = makeRoom(account, model, context);
    if (made === undefined) continue;
    const waitMs = account.isBusy
      ? Math.max(0, account.busyUntilMs - context.nowMs)
      : 0;
    const readyInMs = made.drainMs + loadMs;
    const busyCost = adapterCost(account, readyInMs, context);
    const loadCost = LOAD_COST_MS * loadOf(account, context.usage);
    const delayMs = waitMs + readyInMs + loadCost;
    const cost = waiting * delayMs + made.cost + busyCost;
    if (cost >= bestCost) continue;
    const {victims, drainMs} = made;
    const mustDrain = drainMs > 0;
    best = {account, model, victims, readyInMs, fromStore, mustDrain};
    bestCost = cost;
    bestWaitMs = waitMs;
  }
  return bestWaitMs > 0 || best?.account.isBusy ? undefined : best;
}

/** @returns requests in flight at a target, as a share of its slots. */
export function loadOf(account: ResidencyAccount, usage: UsageTable): number {
  let running = 0;
  for (const model of account.residents.keys()) {
    running += usage.inFlight(account.id, model);
  }
  return running / account.engine.slots;
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
  {service, usage, accounts}: SwapContext,
): number {
  let perSecond = 0;
  for (const model of account.residents.keys()) {
    const copies = accounts.filter(other => other.keeps(model)).length;
    const demand = usage.demand(service, model);
    perSecond += demand.adapterPerSecond / Math.max(1, copies);
  }
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
  context: SwapContext,
): Room | undefined {
  const facts = account.engine.models.get(model)!;
  let freeMb = account.engine.weightsMb - account.usedMb;
  const room: Room = {victims: [], drainMs: 0, cost: 0};
  if (freeMb >= facts.weightsMb) return room;
  const candidates = [...account.residents.keys()]
    .map(held => ({held, ...evictionOf(account, held, context)}))
    .sort((a, b) => a.cost + a.drainMs - b.cost - b.drainMs);
  for (const {held, cost, drainMs, isBarred} of candidates) {
    if (isBarred) continue;
    const resident = account.residents.get(held)!;
    const heldFacts = account.engine.models.get(held)!;
    const adaptersMb = resident.adapters.size * heldFacts.adapterMb;
    freeMb += heldFacts.weightsMb + adaptersMb;
    room.victims.push(held);
    room.cost += cost;
    room.drainMs = Math.max(room.drainMs, drainMs);
    if (freeMb >= facts.weightsMb) return room;
  }
  return undefined;
}

function evictionOf(
  account: ResidencyAccount,
  held: string,
  context: SwapContext,
): {cost: number; drainMs: number; isBarred: boolean} {
  const {nowMs, service, usage} = context;
  const resident = account.residents.get(held)!;
  const isBarred =
    resident.isLeaving ||
    resident.readyMs > nowMs + Math.max(0, account.busyUntilMs - nowMs) ||
    context.waiting(held) > 0 ||
    !account.engine.models.has(held);
  const running = usage.inFlight(account.id, held);
  const drainMs = running > 0 ? DRAIN_MS : 0;
  const {perSecond, objectiveMs} = usage.demand(service, held);
  const others = otherCopies(account, held, context);
  if (others.length > 0) {
    const isNeeded = loadWithout(account, held, others, usage) > COPY_LOAD;
    return {cost: perSecond, drainMs, isBarred: isBarred || isNeeded};
  }
  // New requests would keep it running for ever.
  const neverDrains = running > 0 && perSecond > MAX_DRAINED_RATE;
  const reloadMs = reloadTime(held, context);
  const missed = (perSecond * reloadMs) / MS_PER_SECOND;
  const isLate = objectiveMs < reloadMs;
  const factor = isLate ? MISS_FACTOR : PATIENT_FACTOR;
  const cost = factor * (missed + perSecond) * reloadMs;
  return {cost, drainMs, isBarred: isBarred || neverDrains};
}

function otherCopies(
  account: ResidencyAccount,
  model: string,
  {accounts, nowMs}: SwapContext,
): ResidencyAccount[] {
  return accounts.filter(
    other =>
      other !== account && other.isReachable && other.isReady(model, nowMs),
  );
}

/** @returns what the other copies would bear, as a share of their slots. */
function loadWithout(
  account: ResidencyAccount,
  model: string,
  others: readonly ResidencyAccount[],
  usage: UsageTable,
): number {
  let running = usage.inFlight(account.id, model);
  for (const {id} of others) running += usage.inFlight(id, model);
  return running / (others.length * account.engine.slots);
}

function reloadTime(model: string, {accounts}: SwapContext): number {
  let reloadMs = Infinity;
  for (const account of accounts) {
    if (!account.target.isOpen) continue;
    reloadMs = Math.min(reloadMs, account.loadOf(model).loadMs);
  }
  return reloadMs;
}
