/** Chooses which models and adapters need more or fewer copies. @packageDocumentation */

import {residentKey} from '../gateway/target_table.js';
import {COPY_LOAD_THRESHOLD, PlanRound} from './plan_round.js';
import {ResidencyAccount} from './residency_account.js';
import {UsageTable} from './usage_table.js';

/** Fraction of {@link COPY_LOAD_THRESHOLD} up to which a copy can take more requests. */
const RELIEF_FRACTION = 0.7;

/**
 * Fraction of a target's slots that a model's requests must use for the model
 * to be copied.
 */
const MIN_COPIED_MODEL_LOAD = 0.15;

/**
 * Time after which models of a limited target are copied. Other targets may
 * name limits at the same time, and copies there would be of little use.
 */
const RELIEF_DELAY_MS = 400;

/** Requests per second for a model that is copied because of a limit. */
const MIN_LIMITED_RATE = 1;

/** Load of the remaining copies, likewise, up to which one copy is surplus. */
const SURPLUS_LOAD_THRESHOLD = 0.25;

/** Copies requested in one round: each costs a swap on a target. */
const MAX_COPIES_PER_ROUND = 4;

/** Adapters copied in one round: a target loads four at a time. */
const MAX_ADAPTERS_PER_ROUND = 4;

/** Requests in flight on a full target from which an adapter is copied. */
const MIN_ADAPTER_REQUESTS = 2;

/** An adapter that one more of the given targets should load. */
export interface AdapterCopy {
  model: string;
  adapter: string;
  accounts: readonly ResidencyAccount[];
}

/** A model on a target. */
export interface ModelCopy {
  model: string;
  account: ResidencyAccount;
}

/** Copies that heavily loaded models need. */
export interface CopyNeeds {
  /** Retiring copies that should take requests again. */
  revived: ModelCopy[];
  /** One entry for each further copy that has to be loaded. */
  missing: string[];
  /**
   * Models whose targets cannot take their demand, the most wanted first: they
   * named limits, or their slots do not suffice for the work.
   */
  short: string[];
}

/**
 * Chooses copies for the models on targets whose slots fill up.
 *
 * A model gets all copies that its requests in flight call for at once. If they
 * were added one at a time, the queues of a model that has just become busy
 * would delay first events by as much as a whole swap takes.
 *
 * @param round - state of targets and demand.
 * @param usage - requests in flight.
 * @returns copies to keep and copies to load.
 */
export function chooseCopies(round: PlanRound, usage: UsageTable): CopyNeeds {
  const crowded = new Set<string>();
  const short = new Set<string>(round.work?.shortModels());
  for (const account of round.accounts) {
    if (round.load(account) <= COPY_LOAD_THRESHOLD) continue;
    const models = modelsByLoad(account, round).filter(
      each => copiesWithCapacity(each, round).length === 0,
    );
    if (models.length > 0) crowded.add(models[0]);
    const {limit, limitAgeMs} = account.target;
    if (limit.perSecond === undefined || limitAgeMs < RELIEF_DELAY_MS) continue;
    for (const model of models) {
      if (round.demand(model) >= MIN_LIMITED_RATE) short.add(model);
    }
  }
  const revived: ModelCopy[] = [];
  const missing: string[] = [];
  for (const model of short) {
    if (round.work === undefined || crowded.has(model)) continue;
    if (!round.isShort(model)) continue;
    const account = round
      .retiring(model)
      .find(({residents}) => !residents.get(model)!.isVictim);
    if (account !== undefined) revived.push({model, account});
  }
  for (const model of crowded) {
    const count = missingCopies(model, round, usage);
    const reusable = round.retiring(model).slice(0, count);
    for (const account of reusable) revived.push({model, account});
    for (let i = reusable.length; i < count; i++) missing.push(model);
  }
  return {
    revived,
    missing: missing.slice(0, MAX_COPIES_PER_ROUND),
    short: [...short].sort((a, b) => shortage(b, round) - shortage(a, round)),
  };
}

/**
 * Chooses adapters of full targets that idle copies of their models lack.
 *
 * Requests for an adapter only go to targets that hold it, so an idle copy of
 * the model takes load off a full one only once it has the adapter.
 *
 * @param round - state of targets and demand.
 * @param usage - requests in flight.
 * @returns the adapters, each with the targets that may load it.
 */
export function chooseAdapterCopies(
  round: PlanRound,
  usage: UsageTable,
): AdapterCopy[] {
  const copies: AdapterCopy[] = [];
  for (const account of round.accounts) {
    if (round.load(account) <= COPY_LOAD_THRESHOLD) continue;
    for (const [model, {adapters}] of account.residents) {
      const idle = copiesWithCapacity(model, round);
      if (idle.length === 0) continue;
      for (const adapter of adapters.keys()) {
        const key = residentKey(model, adapter);
        if (usage.inFlight(account.id, key) < MIN_ADAPTER_REQUESTS) continue;
        if (idle.some(other => hasAdapter(other, model, adapter))) continue;
        copies.push({model, adapter, accounts: idle});
      }
    }
  }
  return copies.slice(0, MAX_ADAPTERS_PER_ROUND);
}

/**
 * Chooses copies that are not needed, as the others can take their requests.
 *
 * @param round - state of targets and demand.
 * @param usage - requests in flight.
 * @returns at most one copy of each model.
 */
export function chooseSurplus(
  round: PlanRound,
  usage: UsageTable,
): ModelCopy[] {
  const surplus: ModelCopy[] = [];
  for (const [model, copies] of round.allCopies()) {
    const holders = copies.filter(
      account => account.residents.get(model)?.isRetiring === false,
    );
    if (holders.length < 2) continue;
    const account = leastUsedHolder(model, holders, usage);
    if (account === undefined) continue;
    const others = holders.filter(other => other !== account);
    const capacity = slotsOf(others) * SURPLUS_LOAD_THRESHOLD;
    const isNeeded = (round.work?.lossWithout(account, model) ?? 0) > 0;
    if (!isNeeded && inFlight(model, holders, usage) <= capacity)
      surplus.push({model, account});
  }
  return surplus;
}

/** Returns the rank among the models that are short of capacity. */
function shortage(model: string, round: PlanRound): number {
  return round.work?.shortage(model) ?? round.demand(model);
}

/** Returns the models that use most of a target's slots, the busiest first. */
function modelsByLoad(account: ResidencyAccount, round: PlanRound): string[] {
  const load = (model: string) => round.loadOf(account, model);
  return [...account.residents.keys()]
    .filter(model => load(model) >= MIN_COPIED_MODEL_LOAD)
    .sort((a, b) => load(b) - load(a));
}

/** Returns the copies of a model that can take requests from full copies. */
function copiesWithCapacity(
  model: string,
  round: PlanRound,
): ResidencyAccount[] {
  return round
    .copies(model)
    .filter(
      account => round.load(account) <= COPY_LOAD_THRESHOLD * RELIEF_FRACTION,
    );
}

function missingCopies(
  model: string,
  round: PlanRound,
  usage: UsageTable,
): number {
  const copies = round.copies(model);
  const loadingCount = round.accounts.filter(
    account =>
      !account.target.isEvacuated &&
      (account.loadingModel === model ||
        (account.residents.get(model)?.readyMs ?? 0) > round.nowMs),
  ).length;
  const slots = copies[0]?.engine.slots ?? 1;
  const excess =
    inFlight(model, copies, usage) - slotsOf(copies) * COPY_LOAD_THRESHOLD;
  const missing = Math.ceil(excess / (slots * COPY_LOAD_THRESHOLD));
  // Its targets are full, possibly with requests for other models.
  return Math.max(missing - loadingCount, loadingCount === 0 ? 1 : 0);
}

function slotsOf(accounts: readonly ResidencyAccount[]): number {
  let sum = 0;
  for (const {slots} of accounts) sum += slots;
  return sum;
}

function inFlight(
  model: string,
  accounts: readonly ResidencyAccount[],
  usage: UsageTable,
): number {
  let sum = 0;
  for (const {id} of accounts) sum += usage.inFlight(id, model);
  return sum;
}

function hasAdapter(
  account: ResidencyAccount,
  model: string,
  adapter: string,
): boolean {
  return account.residents.get(model)?.adapters.has(adapter) === true;
}

function leastUsedHolder(
  model: string,
  holders: readonly ResidencyAccount[],
  usage: UsageTable,
): ResidencyAccount | undefined {
  let least: ResidencyAccount | undefined;
  for (const account of holders) {
    if (account.isBusy || account.needsReport) continue;
    const use = usage.inFlight(account.id, model);
    if (least === undefined || use < usage.inFlight(least.id, model)) {
      least = account;
    }
  }
  return least;
}
