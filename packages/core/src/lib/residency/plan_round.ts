/** Cached state of targets and demand for a round of planning. @packageDocumentation */

import {MIN_LIMIT} from './limit_relief.js';
import {reloadCost} from './reload_cost.js';
import {ResidencyAccount} from './residency_account.js';
import {UsageTable} from './usage_table.js';
import {VersionUse, versionsInUse} from './version_use.js';
import type {ModelWork} from './model_work.js';
import {WorkPlan} from './work_plan.js';

/** Requests in flight, as a fraction of the slots, from which to add a copy. */
export const COPY_LOAD_THRESHOLD = 0.45;

/** Copies of a model at each software version among which a stream can be moved. */
export const COPIES_PER_VERSION = 2;

/**
 * Fraction of the requests in flight at a software version that a model must
 * have for a second copy there.
 */
export const MIN_EXPOSED_SHARE = 0.1;

/**
 * Weight of the reload delay of requests that can go on at another copy, and
 * only have to wait if its target ends.
 */
const OTHER_COPY_FACTOR = 0.25;

/** Expected time until the requests of a model have ended before an unload. */
const DRAIN_MS = 1_500;

/** Requests a second up to which a model's only copy may be drained. */
const MAX_DRAINED_RATE = 1;

/** Time within which a model that is being loaded counts as ready. */
const SOON_MS = 2_000;

/** A model that a target could unload. */
export interface Eviction {
  held: string;
  /** Cost of the eviction as an equivalent delay of other requests. */
  cost: number;
  /** Expected time until its requests have ended. */
  drainMs: number;
  /** Requests per second that would lack a slot afterwards; 0 if unknown. */
  neededPerSecond: number;
}

/** Inputs of {@link PlanRound}. */
export interface PlanRoundParts {
  service: string;
  nowMs: number;
  usage: UsageTable;
  accounts: readonly ResidencyAccount[];
  /** Number of requests that wait for each model. */
  waiting: ReadonlyMap<string, number>;
  /** Set if the service is planned by the work of its models. */
  work?: ModelWork;
}

/**
 * Caches values that several decisions of one moment share: with hundreds of
 * models and targets, computing them for each waiting request takes too long. A
 * round is valid until something is ordered.
 */
export class PlanRound {
  private readonly copiesByModel = new Map<string, ResidencyAccount[]>();
  private readonly retiringByModel = new Map<string, ResidencyAccount[]>();
  private readonly reloads = new Map<string, number>();
  private readonly loads = new Map<string, number>();
  private cachedLocalCopyCounts: ReadonlyMap<string, number> | undefined;
  private cachedWork: WorkPlan | undefined;
  private cachedVersions: ReadonlyMap<string, VersionUse> | undefined;
  private readonly adapterRates = new Map<string, number>();
  private readonly evictionsById = new Map<string, Eviction[]>();

  /** @param parts - see {@link PlanRoundParts}. */
  constructor(private readonly parts: PlanRoundParts) {
    const {nowMs} = parts;
    for (const account of parts.accounts) {
      if (!account.isReachable) continue;
      for (const [model, {isRetiring}] of account.residents) {
        if (!account.isLoaded(model, nowMs)) continue;
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

  /** Work of the models; undefined if the service is not planned by it. */
  get work(): WorkPlan | undefined {
    const {work} = this.parts;
    if (work !== undefined) this.cachedWork ??= new WorkPlan(this, work);
    return this.cachedWork;
  }

  /** Software versions that serve; none while all targets run the same. */
  get versions(): ReadonlyMap<string, VersionUse> {
    const {accounts, usage} = this.parts;
    this.cachedVersions ??= versionsInUse(accounts, usage);
    return this.cachedVersions;
  }

  /** Returns the software version of a target, while several serve. */
  private versionOf(account: ResidencyAccount): VersionUse | undefined {
    const {softwareVersion = ''} = account.target.registration;
    return this.versions.get(softwareVersion);
  }

  /** Returns whether one target of a software version alone keeps a model. */
  isLone(softwareVersion: string, model: string): boolean {
    return this.versions.get(softwareVersion)?.keepers(model).length === 1;
  }

  /**
   * Returns whether a share of the requests in flight at a software version
   * could go on at one target at most if a target unloaded their model.
   *
   * @param account - the target that holds the model.
   * @param model - name of the model.
   */
  isNeededByVersion(account: ResidencyAccount, model: string): boolean {
    const version = this.versionOf(account);
    if (version === undefined) return false;
    const requests = version.inFlight(model);
    const isRelevant = requests >= version.requestCount * MIN_EXPOSED_SHARE;
    if (requests === 0 || !isRelevant) return false;
    const isOfVersion = (copy: ResidencyAccount) =>
      version.targets.includes(copy);
    const copies = this.copies(model).filter(isOfVersion);
    return copies.length <= COPIES_PER_VERSION;
  }

  /** Returns the number of requests that wait for a model. */
  waiting(model: string): number {
    return this.parts.waiting.get(model) ?? 0;
  }

  /** Returns the requests in flight at a target for a model, over all hosts. */
  inFlight(account: ResidencyAccount, model: string): number {
    return this.parts.usage.inFlight(account.id, model);
  }

  /** Returns the requests per second for a model, over all hosts. */
  demand(model: string): number {
    return this.parts.usage.demand(this.parts.service, model).perSecond;
  }

  /** Returns the reachable targets with a retiring copy of a model. */
  retiring(model: string): readonly ResidencyAccount[] {
    return this.retiringByModel.get(model) ?? [];
  }

  /** Returns the reachable targets that serve a model. */
  copies(model: string): readonly ResidencyAccount[] {
    return this.copiesByModel.get(model) ?? [];
  }

  /** Returns the models that are served, with their targets. */
  allCopies(): Iterable<[string, readonly ResidencyAccount[]]> {
    return this.copiesByModel;
  }

  /**
   * Number of reachable targets that have the weights of each model; computed
   * on first use, as few rounds need it.
   */
  private get localCopyCounts(): ReadonlyMap<string, number> {
    if (this.cachedLocalCopyCounts !== undefined)
      return this.cachedLocalCopyCounts;
    const counts = new Map<string, number>();
    for (const account of this.parts.accounts) {
      if (!account.isReachable) continue;
      for (const model of account.localModels()) {
        counts.set(model, (counts.get(model) ?? 0) + 1);
      }
    }
    this.cachedLocalCopyCounts = counts;
    return counts;
  }

  /** Returns whether no reachable target has the weights of a model. */
  isOnlyInStore(model: string): boolean {
    return !this.localCopyCounts.has(model);
  }

  /** Returns whether a further copy of a model needs a load from the store. */
  isNextCopyFromStore(model: string): boolean {
    return this.parts.accounts.every(
      account =>
        !account.isReachable ||
        account.isHeldOrLoading(model) ||
        account.loadEstimate(model).fromStore,
    );
  }

  /** Returns the number of models whose weights only this target has. */
  soleCopyCount(account: ResidencyAccount): number {
    let count = 0;
    for (const model of account.localModels()) {
      if (this.localCopyCounts.get(model) === 1) count += 1;
    }
    return count;
  }

  /** Returns the load of a target as a fraction of its capacity. */
  load(account: ResidencyAccount): number {
    let load = this.loads.get(account.id);
    if (load === undefined) {
      load = 0;
      for (const model of account.residents.keys())
        load += this.loadOf(account, model);
      this.loads.set(account.id, load);
    }
    return load;
  }

  /**
   * Returns the load of a target by one of its models: the requests in flight
   * as a fraction of its slots, or the model's demand as a fraction of the limit
   * that the target named, whichever is larger.
   */
  loadOf(account: ResidencyAccount, model: string): number {
    const {service, usage} = this.parts;
    const running = usage.inFlight(account.id, model) / account.slots;
    const limit = account.target.limit.perSecond;
    if (limit === undefined) return running;
    let slots = account.slots;
    for (const copy of this.copies(model)) {
      if (copy !== account) slots += copy.slots;
    }
    const {perSecond} = usage.demand(service, model);
    const share = (perSecond * account.slots) / slots;
    return Math.max(running, share / Math.max(limit, MIN_LIMIT));
  }

  /**
   * Returns whether the targets of a model cannot take its demand: within the
   * limits they named, or without queues if the service is planned by work.
   */
  isShort(model: string): boolean {
    if (this.limitCapacity(model) < this.demand(model)) return true;
    return this.work !== undefined && this.work.shortage(model) > 0;
  }

  /**
   * Returns the requests per second that the targets of a model can take within
   * the limits they named, besides the demand for their other models. Targets
   * that are about to load it count as well.
   *
   * @param model - name of the model.
   * @returns the rate; infinite if a target without a limit holds the model.
   */
  private limitCapacity(model: string): number {
    let perSecond = 0;
    for (const account of this.parts.accounts) {
      if (!account.isReachable || !this.isSoonReady(account, model)) continue;
      const limit = account.target.limit.perSecond;
      if (limit === undefined) return Infinity;
      const otherLoad = this.load(account) - this.loadOf(account, model);
      perSecond += limit * Math.max(0, 1 - otherLoad);
    }
    return perSecond;
  }

  private isSoonReady(account: ResidencyAccount, model: string): boolean {
    const resident = account.residents.get(model);
    if (resident?.isRetiring || resident?.isUnloading) return false;
    if (!account.isHeldOrLoading(model)) return false;
    return account.expectedReadyMs(model) - this.nowMs < SOON_MS;
  }

  /**
   * Returns a target's share of the requests a second that need an adapter of
   * one of its models.
   */
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

  /** Returns the models that a target could unload, the cheapest first. */
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
    if (resident.isUnloading || resident.readyMs > freeMs) return undefined;
    if (this.waiting(held) > 0 || !account.engine.models.has(held)) {
      return undefined;
    }
    const running = usage.inFlight(account.id, held);
    const drainMs = running > 0 ? DRAIN_MS : 0;
    const {objectiveMs} = usage.demand(service, held);
    const perSecond = this.work?.demand(held) ?? this.demand(held);
    const neededPerSecond = this.work?.lossWithout(account, held) ?? 0;
    const others = this.copies(held).filter(other => other !== account);
    if (others.length > 0) {
      const load = this.loadWithout(account, held, others);
      if (load > COPY_LOAD_THRESHOLD) return undefined;
      // Most rounds need no reload time for models with other copies.
      const relyingCost = this.isNeededByVersion(account, held)
        ? this.versionOf(account)!.inFlight(held) *
          this.reloadMs(held) *
          OTHER_COPY_FACTOR
        : 0;
      const lossCost =
        neededPerSecond === 0
          ? 0
          : reloadCost(neededPerSecond, objectiveMs, this.reloadMs(held));
      const cost = perSecond + relyingCost + lossCost;
      return {held, cost, drainMs, neededPerSecond};
    }
    // New requests would keep the model in use for ever.
    if (running > 0 && this.demand(held) > MAX_DRAINED_RATE) return undefined;
    const cost = reloadCost(perSecond, objectiveMs, this.reloadMs(held));
    return {held, cost, drainMs, neededPerSecond};
  }

  /**
   * Returns the load of the other copies if they took this target's requests,
   * as a fraction of their slots.
   */
  private loadWithout(
    account: ResidencyAccount,
    model: string,
    others: readonly ResidencyAccount[],
  ): number {
    const {usage} = this.parts;
    let running = usage.inFlight(account.id, model);
    for (const {id} of others) running += usage.inFlight(id, model);
    let slots = 0;
    for (const other of others) slots += other.slots;
    return running / slots;
  }

  /** Returns the shortest time in which any target could load a model. */
  reloadMs(model: string): number {
    let reloadMs = this.reloads.get(model);
    if (reloadMs !== undefined) return reloadMs;
    reloadMs = Infinity;
    for (const account of this.parts.accounts) {
      if (!account.isReachable) continue;
      reloadMs = Math.min(reloadMs, account.loadEstimate(model).loadMs);
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
