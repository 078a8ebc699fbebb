/** What one round of planning knows, worked out once. @packageDocumentation */

import {ResidencyAccount} from './residency_account.js';
import {UsageTable} from './usage_table.js';

/** In flight, as a share of the slots, that calls for another copy. */
export const COPY_LOAD = 0.45;

/** How long the requests of a model run that must end before it is unloaded. */
const DRAIN_MS = 1_500;

/** Requests a second up to which a model's only copy may be drained. */
const MAX_DRAINED_RATE = 1;

/** Delay that one evicted request of a kind with a short objective counts as. */
const MISS_FACTOR = 3;

/** Share of an evicted rare model's reload that counts as delay. */
const PATIENT_FACTOR = 0.25;

const MS_PER_SECOND = 1_000;

/** A model that a target could drop. */
export interface Eviction {
  held: string;
  /** Delay of other requests that the eviction counts as. */
  cost: number;
  /** Time until its requests have ended. */
  drainMs: number;
}

/** What a {@link PlanRound} is made from. */
export interface PlanRoundParts {
  service: string;
  nowMs: number;
  usage: UsageTable;
  accounts: readonly ResidencyAccount[];
  /** Requests that wait for each model. */
  waiting: ReadonlyMap<string, number>;
}

/**
 * Keeps what several choices of one moment need: with hundreds of models and
 * targets, working it out for each waiting request takes too long. It holds
 * until something is ordered.
 */
export class PlanRound {
  private readonly copiesByModel = new Map<string, ResidencyAccount[]>();
  private readonly retiringByModel = new Map<string, ResidencyAccount[]>();
  private readonly reloads = new Map<string, number>();
  private readonly loads = new Map<string, number>();
  private nearCountsByModel: ReadonlyMap<string, number> | undefined;
  private readonly adapterRates = new Map<string, number>();
  private readonly evictionsById = new Map<string, Eviction[]>();

  /** @param parts - see {@link PlanRoundParts}. */
  constructor(private readonly parts: PlanRoundParts) {
    const {nowMs} = parts;
    for (const account of parts.accounts) {
      if (!account.isReachable) continue;
      for (const [model, {isRetiring}] of account.residents) {
        if (!account.isThere(model, nowMs)) continue;
        const copies = isRetiring ? this.retiringByModel : this.copiesByModel;
        addCopy(copies, model, account);
      }
    }
  }

  /** Clock time of the round. */
  get nowMs(): number {
    return this.parts.nowMs;
  }

  /** The targets of the service. */
  get accounts(): readonly ResidencyAccount[] {
    return this.parts.accounts;
  }

  /** @returns requests that wait for a model. */
  waiting(model: string): number {
    return this.parts.waiting.get(model) ?? 0;
  }

  /** @returns reachable targets that hold a model and get no requests for it. */
  retiring(model: string): readonly ResidencyAccount[] {
    return this.retiringByModel.get(model) ?? [];
  }

  /** @returns the reachable targets that serve a model. */
  copies(model: string): readonly ResidencyAccount[] {
    return this.copiesByModel.get(model) ?? [];
  }

  /** @returns the models that are served, with their targets. */
  allCopies(): Iterable<[string, readonly ResidencyAccount[]]> {
    return this.copiesByModel;
  }

  /** Reachable targets that have the weights of each model; few rounds ask. */
  private get nearCounts(): ReadonlyMap<string, number> {
    if (this.nearCountsByModel !== undefined) return this.nearCountsByModel;
    const counts = new Map<string, number>();
    for (const account of this.parts.accounts) {
      if (!account.isReachable) continue;
      for (const model of account.nearModels()) {
        counts.set(model, (counts.get(model) ?? 0) + 1);
      }
    }
    this.nearCountsByModel = counts;
    return counts;
  }

  /** @returns whether no reachable target has the weights of a model. */
  isOnlyInStore(model: string): boolean {
    return !this.nearCounts.has(model);
  }

  /** @returns whether a further copy of a model has to come from the store. */
  isNextInStore(model: string): boolean {
    return this.parts.accounts.every(
      account =>
        !account.isReachable ||
        account.keeps(model) ||
        account.loadOf(model).fromStore,
    );
  }

  /** @returns how many models only this target has the weights of. */
  soleCopies(account: ResidencyAccount): number {
    let count = 0;
    for (const model of account.nearModels()) {
      if (this.nearCounts.get(model) === 1) count += 1;
    }
    return count;
  }

  /** @returns requests in flight at a target, as a share of its slots. */
  load(account: ResidencyAccount): number {
    let load = this.loads.get(account.id);
    if (load === undefined) {
      load = account.load(this.parts.usage);
      this.loads.set(account.id, load);
    }
    return load;
  }

  /** @returns requests a second that need an adapter of a target's models. */
  adapterRate(account: ResidencyAccount): number {
    let rate = this.adapterRates.get(account.id);
    if (rate !== undefined) return rate;
    rate = 0;
    const {service, usage} = this.parts;
    for (const model of account.residents.keys()) {
      const copies = Math.max(1, this.copies(model).length);
      rate += usage.demand(service, model).adapterPerSecond / copies;
    }
    this.adapterRates.set(account.id, rate);
    return rate;
  }

  /** @returns what a target could drop, the cheapest first. */
  evictions(account: ResidencyAccount): readonly Eviction[] {
    let evictions = this.evictionsById.get(account.id);
    if (evictions === undefined) {
      evictions = [];
      for (const held of account.residents.keys()) {
        const eviction = this.evictionOf(account, held);
        if (eviction !== undefined) evictions.push(eviction);
      }
      evictions.sort((a, b) => a.cost + a.drainMs - b.cost - b.drainMs);
      this.evictionsById.set(account.id, evictions);
    }
    return evictions;
  }

  private evictionOf(
    account: ResidencyAccount,
    held: string,
  ): Eviction | undefined {
    const {nowMs, service, usage} = this.parts;
    const resident = account.residents.get(held)!;
    const freeMs = Math.max(nowMs, account.busyUntilMs);
    if (resident.isLeaving || resident.readyMs > freeMs) return undefined;
    if (this.waiting(held) > 0 || !account.engine.models.has(held)) {
      return undefined;
    }
    const running = usage.inFlight(account.id, held);
    const drainMs = running > 0 ? DRAIN_MS : 0;
    const {perSecond, objectiveMs} = usage.demand(service, held);
    const others = this.copies(held).filter(other => other !== account);
    if (others.length > 0) {
      const load = this.loadWithout(account, held, others);
      if (load > COPY_LOAD) return undefined;
      return {held, cost: perSecond, drainMs};
    }
    // New requests would keep it running for ever.
    if (running > 0 && perSecond > MAX_DRAINED_RATE) return undefined;
    const reloadMs = this.reloadMs(held);
    const missed = (perSecond * reloadMs) / MS_PER_SECOND;
    const isLate = objectiveMs < reloadMs;
    const factor = isLate ? MISS_FACTOR : PATIENT_FACTOR;
    const cost = factor * (missed + perSecond) * reloadMs;
    return {held, cost, drainMs};
  }

  /** @returns what the other copies would bear, as a share of their slots. */
  private loadWithout(
    account: ResidencyAccount,
    model: string,
    others: readonly ResidencyAccount[],
  ): number {
    const {usage} = this.parts;
    let running = usage.inFlight(account.id, model);
    for (const {id} of others) running += usage.inFlight(id, model);
    return running / (others.length * account.engine.slots);
  }

  /** @returns the shortest time in which any target could load a model. */
  reloadMs(model: string): number {
    let reloadMs = this.reloads.get(model);
    if (reloadMs !== undefined) return reloadMs;
    reloadMs = Infinity;
    for (const account of this.parts.accounts) {
      if (!account.isReachable) continue;
      reloadMs = Math.min(reloadMs, account.loadOf(model).loadMs);
    }
    this.reloads.set(model, reloadMs);
    return reloadMs;
  }
}

function addCopy(
  copies: Map<string, ResidencyAccount[]>,
  model: string,
  account: ResidencyAccount,
): void {
  const others = copies.get(model);
  if (others === undefined) copies.set(model, [account]);
  else others.push(account);
}
