/** Chooses which models and adapters need more copies, and which fewer. @packageDocumentation */

import {residentKey} from '../gateway/target_table.js';
import {COPY_LOAD, PlanRound} from './plan_round.js';
import {ResidencyAccount} from './residency_account.js';
import {UsageTable} from './usage_table.js';

/** Part of {@link COPY_LOAD} up to which a copy still relieves another. */
const RELIEF_PART = 0.7;

/** In flight, as a share of the slots, from which a model is copied. */
const LEAST_MODEL_LOAD = 0.15;

/** In flight on the copies that are left, likewise, up to which one may go. */
const SURPLUS_LOAD = 0.25;

/** Copies that one look asks for: each takes a target an exchange. */
const MAX_COPIES_AT_ONCE = 4;

/** Adapters that one look copies: a target takes four at a time. */
const MAX_ADAPTERS_AT_ONCE = 4;

/** Requests in flight for an adapter on a full target that make it worth a copy. */
const LEAST_ADAPTER_USE = 2;

/** An adapter that should be on one of some targets too. */
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

/** What crowded models need. */
export interface CopyNeeds {
  /** Copies that were to go and are wanted again. */
  revived: ModelCopy[];
  /** A model for each further copy that has to be loaded. */
  missing: string[];
}

/**
 * A model gets as many copies as the requests in flight call for, all at once: a
 * model that has just become busy has queues as long as its time to the first
 * event after one exchange.
 *
 * @param round - what is known of targets and demand.
 * @param usage - requests in flight.
 * @returns what the models on targets whose slots fill up need.
 */
export function chooseCopies(round: PlanRound, usage: UsageTable): CopyNeeds {
  const crowded = new Set<string>();
  for (const account of round.accounts) {
    if (round.load(account) <= COPY_LOAD) continue;
    const model = modelsByUse(account, usage).find(
      each => relieving(each, round).length === 0,
    );
    if (model !== undefined) crowded.add(model);
  }
  const revived: ModelCopy[] = [];
  const missing: string[] = [];
  for (const model of crowded) {
    const count = missingCopies(model, round, usage);
    const back = round.retiring(model).slice(0, count);
    for (const account of back) revived.push({model, account});
    for (let i = back.length; i < count; i++) missing.push(model);
  }
  return {revived, missing: missing.slice(0, MAX_COPIES_AT_ONCE)};
}

/**
 * Requests for an adapter only go where it is, so that an idle copy of its model
 * relieves a full one only once it has the adapter.
 *
 * @param round - what is known of targets and demand.
 * @param usage - requests in flight.
 * @returns adapters of full targets that idle copies of their models lack.
 */
export function chooseAdapterCopies(
  round: PlanRound,
  usage: UsageTable,
): AdapterCopy[] {
  const copies: AdapterCopy[] = [];
  for (const account of round.accounts) {
    if (round.load(account) <= COPY_LOAD) continue;
    for (const [model, {adapters}] of account.residents) {
      const idle = relieving(model, round);
      if (idle.length === 0) continue;
      for (const adapter of adapters.keys()) {
        const key = residentKey(model, adapter);
        if (usage.inFlight(account.id, key) < LEAST_ADAPTER_USE) continue;
        if (idle.some(other => hasAdapter(other, model, adapter))) continue;
        copies.push({model, adapter, accounts: idle});
      }
    }
  }
  return copies.slice(0, MAX_ADAPTERS_AT_ONCE);
}

/**
 * @param round - what is known of targets and demand.
 * @param usage - requests in flight.
 * @returns copies that the others can do without.
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
    const load = inFlight(model, holders, usage) / holders[0].engine.slots;
    if (load > (holders.length - 1) * SURPLUS_LOAD) continue;
    const account = leastUsed(model, holders, usage);
    if (account !== undefined) surplus.push({model, account});
  }
  return surplus;
}

/** @returns the models of a target that fill its slots, the busiest first. */
function modelsByUse(account: ResidencyAccount, usage: UsageTable): string[] {
  const least = account.engine.slots * LEAST_MODEL_LOAD;
  const use = (model: string) => usage.inFlight(account.id, model);
  return [...account.residents.keys()]
    .filter(model => use(model) >= least)
    .sort((a, b) => use(b) - use(a));
}

/** @returns the copies of a model that can take requests of others. */
function relieving(model: string, round: PlanRound): ResidencyAccount[] {
  return round
    .copies(model)
    .filter(account => round.load(account) <= COPY_LOAD * RELIEF_PART);
}

function missingCopies(
  model: string,
  round: PlanRound,
  usage: UsageTable,
): number {
  const copies = round.copies(model);
  const coming = round.accounts.filter(
    account =>
      account.coming === model ||
      (account.residents.get(model)?.readyMs ?? 0) > round.nowMs,
  ).length;
  const slots = copies[0]?.engine.slots ?? 1;
  const needed = inFlight(model, copies, usage) / (slots * COPY_LOAD);
  const missing = Math.ceil(needed) - copies.length - coming;
  // Its targets are full, be it with requests for other models.
  return Math.max(missing, coming === 0 ? 1 : 0);
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

function leastUsed(
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
