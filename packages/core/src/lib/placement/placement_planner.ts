/** Plans loads and evictions for the waiting requests of a zone. @packageDocumentation */

import {RecordIdGenerator} from '../platform/stream_tail.js';
import {Clock} from '../time/clock.js';
import {AdapterPlanner, findMostFreeMemory} from './adapter_planner.js';
import {Decision, EvictDecision, LoadDecision} from './decision.js';
import {WaitingDemand, WaitingWork} from './waiting_demand.js';
import {LoadPermits} from './load_permits.js';
import {
  LoadTimes,
  CHECKPOINT_LOCATION,
  locateCheckpoint,
} from './load_times.js';
import {MemoryLedger, PlacedReplica} from './memory_ledger.js';
import {
  EvictionCost,
  LoadOption,
  LoadPriority,
  TargetChoice,
} from './placement_policy.js';
import {ReplicaCatalog, ReplicaSpec} from './replica_catalog.js';
import {Replica, TargetAccount, replicaBytes} from './target_account.js';

/**
 * How long a target gets no further load of a model after one has failed
 * there, in milliseconds.
 */
const FAILED_LOAD_BACKOFF_MS = 2_000;

/**
 * A pending load that has taken longer than this multiple of its expected
 * duration no longer prevents another load of the same model.
 */
const OVERDUE_FACTOR = 3;

/** Dependencies and policies of a {@link PlacementPlanner}. */
export interface PlannerOptions {
  ledger: MemoryLedger;
  demand: WaitingDemand;
  catalog: ReplicaCatalog;
  permits: LoadPermits;
  times: LoadTimes;
  clock: Clock;
  ids: RecordIdGenerator;
  priority: LoadPriority;
  choice: TargetChoice;
  eviction: EvictionCost;
}

/**
 * Decides loads and evictions.
 *
 * The planner depends only on the ledger, the demand, the catalog and the
 * clock, so that the controller and the benchmarks run the same code. It
 * reserves memory in the ledger for each decision; the caller settles the
 * reservation when the decision has been executed.
 */
export class PlacementPlanner {
  private readonly adapters: AdapterPlanner;
  private readonly backoffUntilMs = new Map<string, number>();

  constructor(private readonly options: PlannerOptions) {
    this.adapters = new AdapterPlanner(options);
  }

  /**
   * Plans loads and evictions for all waiting requests.
   *
   * @returns the decisions, in the order in which they should start.
   */
  plan(): Decision[] {
    const decisions: Decision[] = [];
    for (const work of this.rankWork()) {
      const decision = this.decide(work);
      if (decision !== undefined) decisions.push(decision);
    }
    return decisions;
  }

  /** Records that a load failed, so that the next one uses another target. */
  recordFailure({target, model}: LoadDecision): void {
    const untilMs = this.options.clock.now() + FAILED_LOAD_BACKOFF_MS;
    this.backoffUntilMs.set(failureKey(target, model), untilMs);
  }

  /**
   * Returns why this zone can never serve a model, or undefined if waiting for
   * it can succeed.
   *
   * @param model - name of the model.
   * @param adapter - name of an adapter that must be loaded as well.
   */
  unservableReason(model: string, adapter?: string): string | undefined {
    const {catalog, ledger} = this.options;
    const spec = catalog.spec(model);
    if (spec === undefined) return `no model "${model}"`;
    if (
      adapter !== undefined &&
      catalog.adapterBytes(model, adapter) === undefined
    ) {
      return `no adapter "${adapter}" of the model`;
    }
    if (ledger.replicasOf(model).length > 0) return undefined;
    if (spec.maxReplicas === 0) return 'this zone has no part in the model';
    const fits = catalog
      .targets()
      .some(({memoryBytes}) => memoryBytes >= spec.bytes);
    return fits ? undefined : 'no target has room for the model';
  }

  /**
   * Plans a load of the declared version, unless this zone holds or loads it
   * already, may hold no replica, or no target can take it.
   */
  planVersionLoad(spec: ReplicaSpec): LoadDecision | undefined {
    if (spec.maxReplicas === 0 || this.hasLoadUnderWay(spec)) return undefined;
    if (this.options.ledger.count(spec.model, spec.version) > 0) {
      return undefined;
    }
    return this.planLoad(spec, this.loadOptions(spec));
  }

  /** Returns whether any target can free enough memory for a replica now. */
  canMakeRoomFor(spec: ReplicaSpec): boolean {
    return this.loadOptions(spec).length > 0;
  }

  private rankWork(): WaitingWork[] {
    const {demand, priority: loadPriority, clock} = this.options;
    const nowMs = clock.now();
    return demand
      .all()
      .map(work => {
        const rank = loadPriority.rank(
          work,
          this.fastestLoadMs(work.model),
          nowMs,
        );
        return {work, rank};
      })
      .sort((a, b) => a.rank - b.rank)
      .map(({work}) => work);
  }

  private fastestLoadMs(model: string): number {
    const {catalog, ledger, times} = this.options;
    const spec = catalog.spec(model);
    if (spec === undefined) return 0;
    let fastestMs = Infinity;
    for (const account of ledger.all()) {
      const place = locateCheckpoint(account, spec.version);
      const loadMs = times.estimateMs(place, spec.weightBytes);
      fastestMs = Math.min(fastestMs, loadMs);
    }
    return fastestMs;
  }

  private decide(work: WaitingWork): Decision | undefined {
    const {catalog, ledger} = this.options;
    const {model, adapter} = work;
    const spec = catalog.spec(model);
    if (spec === undefined) return undefined;
    const usable = ledger.replicasOf(model).filter(({replica, account}) => {
      return replica.state === 'ready' && canReceiveLoads(account);
    });
    if (usable.length > 0) {
      if (adapter === undefined) return undefined;
      return this.planAdapterLoad(model, adapter, usable);
    }
    if (this.hasLoadUnderWay(spec)) return undefined;
    if (ledger.count(model, spec.version) >= spec.maxReplicas) return undefined;
    return this.planLoad(spec, this.loadOptions(spec));
  }

  /**
   * Plans an adapter load onto a loaded replica; no other replica is loaded for
   * the adapter. Without room for it, plans an eviction instead.
   */
  private planAdapterLoad(
    model: string,
    adapter: string,
    usable: readonly PlacedReplica[],
  ): Decision | undefined {
    if (this.adapters.isLoadedOrOrdered(model, adapter, usable))
      return undefined;
    const decision = this.adapters.decide(model, adapter, usable);
    if (decision !== undefined) return decision;
    const bytes = this.options.catalog.adapterBytes(model, adapter);
    if (bytes === undefined) return undefined;
    return this.planEvictionForAdapter(
      findMostFreeMemory(usable).account,
      bytes,
    );
  }

  /**
   * Plans an eviction that frees memory for an adapter. The adapter's load is
   * planned after the eviction. Plans nothing while a replica is draining.
   */
  private planEvictionForAdapter(
    account: TargetAccount,
    bytes: number,
  ): EvictDecision | undefined {
    const isDraining = [...account.replicas.values()].some(
      ({state}) => state === 'draining',
    );
    if (isDraining) return undefined;
    const victim = this.selectVictims(account, bytes)?.victims[0];
    if (victim === undefined) return undefined;
    account.startEviction(victim);
    const {model, version} = victim;
    const id = this.options.ids.generate();
    return {kind: 'evict', id, target: account.spec.name, model, version};
  }

  /**
   * Returns whether a load of the version is in progress that requests can wait
   * for. Pending orders that are overdue or whose outcome is unknown do not
   * count; a replica that a target reports as loading does.
   */
  private hasLoadUnderWay({model, version}: ReplicaSpec): boolean {
    const {ledger, clock} = this.options;
    const nowMs = clock.now();
    const ordered = ledger.pendingOf(model).some(order => {
      const {sentMs, expectedMs, unknown} = order;
      if (unknown || order.version !== version) return false;
      return nowMs < sentMs + OVERDUE_FACTOR * (expectedMs - sentMs);
    });
    if (ordered) return true;
    return ledger.replicasOf(model).some(({replica}) => {
      return replica.version === version && replica.state === 'loading';
    });
  }

  private planLoad(
    spec: ReplicaSpec,
    options: LoadOption[],
  ): LoadDecision | undefined {
    const {choice, permits, ledger, clock, ids} = this.options;
    while (options.length > 0) {
      const best = choice.choose(options);
      options.splice(options.indexOf(best), 1);
      if (best.place === CHECKPOINT_LOCATION.remote && !permits.tryAcquire())
        continue;
      const {model, version, bytes} = spec;
      const target = best.account.spec.name;
      const evict = best.victims.map(victim => {
        best.account.startEviction(victim);
        return {model: victim.model, version: victim.version};
      });
      const id = ids.generate();
      const nowMs = clock.now();
      const reserved = ledger.reserve(target, {
        id,
        model,
        version,
        bytes,
        evict: [...evict],
        sentMs: nowMs,
        expectedMs: nowMs + best.loadMs,
        unknown: false,
      });
      if (reserved.isErr()) throw new Error(reserved.error.message);
      const {place} = best;
      return {kind: 'load', id, target, model, version, bytes, place, evict};
    }
    return undefined;
  }

  private loadOptions(spec: ReplicaSpec): LoadOption[] {
    const {ledger, times} = this.options;
    const options: LoadOption[] = [];
    for (const account of ledger.all()) {
      if (!canReceiveLoads(account) || account.isHeldOrOrdered(spec)) continue;
      if (this.isBackingOff(account, spec.model)) continue;
      const selection = this.selectVictims(account, spec.bytes);
      if (selection === undefined) continue;
      const place = locateCheckpoint(account, spec.version);
      const loadMs = times.estimateMs(place, spec.weightBytes);
      options.push({account, place, loadMs, ...selection});
    }
    return options;
  }

  /**
   * Selects the replicas to evict so that `bytes` fit. Returns undefined if
   * evictions cannot free enough.
   */
  private selectVictims(
    account: TargetAccount,
    bytes: number,
  ): Pick<LoadOption, 'victims' | 'evictionCost'> | undefined {
    let missing = bytes - account.freeBytes;
    const victims: Replica[] = [];
    let evictionCost = 0;
    for (const {replica, cost} of this.rankEvictable(account, missing)) {
      if (missing <= 0) break;
      missing -= replicaBytes(replica);
      victims.push(replica);
      evictionCost += cost;
    }
    return missing > 0 ? undefined : {victims, evictionCost};
  }

  private rankEvictable(account: TargetAccount, missing: number) {
    if (missing <= 0) return [];
    const {demand, eviction, clock} = this.options;
    const nowMs = clock.now();
    return [...account.replicas.values()]
      .filter(replica => {
        const {state, running, model} = replica;
        if (state !== 'ready' || running > 0) return false;
        return !demand.hasDemandFor(model) && !account.isVictimOfLoad(replica);
      })
      .map(replica => {
        return {replica, cost: eviction.cost(replica, account, nowMs)};
      })
      .filter(({cost}) => Number.isFinite(cost))
      .sort((a, b) => {
        return (
          a.cost / replicaBytes(a.replica) - b.cost / replicaBytes(b.replica)
        );
      });
  }

  private isBackingOff(account: TargetAccount, model: string): boolean {
    const key = failureKey(account.spec.name, model);
    const untilMs = this.backoffUntilMs.get(key);
    if (untilMs === undefined) return false;
    if (this.options.clock.now() < untilMs) return true;
    this.backoffUntilMs.delete(key);
    return false;
  }
}

function canReceiveLoads(account: TargetAccount): boolean {
  return account.canReceiveOrders && account.reachable && !account.leaving;
}

function failureKey(target: string, model: string): string {
  return `${target}\n${model}`;
}
