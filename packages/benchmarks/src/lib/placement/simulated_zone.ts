/** Simulates a zone with the production planner and fake targets. @packageDocumentation */

import {
  AdapterDecision,
  Clock,
  DeclarationSet,
  WaitingDemand,
  EvictDecision,
  LoadDecision,
  LoadPermits,
  LoadTimes,
  MemoryLedger,
  CHECKPOINT_LOCATION,
  PlacementPlanner,
  PlacementPolicies,
  RecordIdGenerator,
  Replica,
  ReplicaCatalog,
  TargetAccount,
  Timer,
} from '@fuchsiacleat/core';
import {FakeStore} from './fake_store.js';
import {FakeTarget, LOCAL_BYTES_PER_MS} from './fake_target.js';
import {WorkItem, weightsOf} from './placement_workload.js';

const RECORD_MS = 8;
const EVICT_MS = 15;
const ADAPTER_LOAD_MS = 5;
const MIN_RETRY_MS = 5;

/** Start of the measurement; earlier wake-ups find empty disks and do not count. */
export const WARM_UP_MS = 24 * 3_600_000;

/** Creates the policies of one zone. */
export type PolicyFactory = (
  demand: WaitingDemand,
  times: LoadTimes,
) => PlacementPolicies;

/** Options of a {@link SimulatedZone}. */
export interface SimulatedZoneOptions {
  zone: string;
  declared: DeclarationSet;
  clock: Clock;
  store: FakeStore;
  permits: LoadPermits;
  policies: PolicyFactory;
}

/** Counters of a zone. */
export class ZoneCounts {
  /** Time from first request to ready replica, by wake-up, in milliseconds. */
  readonly coldStartsMs: number[] = [];
  /** Number of started loads of base models. */
  loads = 0;
  served = 0;
  refused = 0;
  /** Idle time summed over targets while a request waited for a model that was not loading. */
  idleWhileWaitingMs = 0;
}

/** Drives the planner with arrivals and with the responses of fake targets. */
export class SimulatedZone {
  readonly counts = new ZoneCounts();
  readonly ledger: MemoryLedger;
  private readonly catalog: ReplicaCatalog;
  private readonly demand = new WaitingDemand();
  private readonly planner: PlacementPlanner;
  private readonly times = new LoadTimes();
  private readonly targets = new Map<string, FakeTarget>();
  private readonly waiting = new Map<string, WorkItem>();
  /** Ids of requests that started a wake-up and wait for their replica. */
  private readonly coldRequestIds = new Set<string>();
  private readonly loading = new Set<string>();
  private readonly busyLoads = new Map<string, number>();
  private retryTimer: Timer | undefined;
  private accountedMs = 0;

  constructor(private readonly options: SimulatedZoneOptions) {
    const {zone, declared, clock, permits, policies} = options;
    this.catalog = new ReplicaCatalog(zone, () => declared);
    this.ledger = new MemoryLedger(replica => this.catalog.kvBytes(replica));
    this.ledger.setTargets(this.catalog.targets());
    for (const account of this.ledger.all()) {
      account.canReceiveOrders = true;
      this.targets.set(account.spec.name, new FakeTarget());
    }
    const {ledger, demand, catalog, times} = this;
    this.planner = new PlacementPlanner({
      ...{ledger, demand, catalog, permits, times, clock},
      ids: new RecordIdGenerator(zone),
      ...policies(demand, times),
    });
  }

  /** Plans without an event, as the controller does at every poll. */
  poll(): void {
    this.account();
    this.executePlan();
  }

  /** Whether a replica of the model is ready and its target has a slot. */
  canServe(model: string): boolean {
    return this.ledger.replicasOf(model).some(({replica, account}) => {
      if (replica.state !== 'ready') return false;
      return runningOn(account) < account.spec.slots;
    });
  }

  /** Handles the arrival of a request at a host of the zone. */
  arrive(item: WorkItem): void {
    this.account();
    this.waiting.set(item.id, item);
    if (item.isFirstOfWake && item.atMs >= WARM_UP_MS) this.classifyStart(item);
    this.dispatch();
    if (!this.waiting.has(item.id)) return;
    const {id, model, adapter, deadlineMs} = item;
    const {clock} = this.options;
    const demand = {host: id, model, adapter, waiting: 1, deadlineMs};
    this.demand.set(demand, clock.now());
    clock.after(deadlineMs - clock.now(), () => this.expire(item));
    this.executePlan();
  }

  private classifyStart(item: WorkItem): void {
    if (this.findReplica(item) !== undefined) this.counts.coldStartsMs.push(0);
    else this.coldRequestIds.add(item.id);
  }

  private expire(item: WorkItem): void {
    if (!this.waiting.has(item.id)) return;
    this.account();
    this.counts.refused += 1;
    this.recordColdStart(item);
    this.removeRequest(item);
  }

  private removeRequest({id, model, adapter}: WorkItem): void {
    this.waiting.delete(id);
    this.demand.remove(id, model, adapter);
  }

  private recordColdStart(item: WorkItem): void {
    if (!this.coldRequestIds.delete(item.id)) return;
    const tookMs = this.options.clock.now() - item.atMs;
    this.counts.coldStartsMs.push(tookMs);
  }

  private executePlan(): void {
    for (const decision of this.planner.plan()) {
      const {clock} = this.options;
      if (decision.kind === 'load') {
        this.counts.loads += 1;
        this.loading.add(decision.model);
        this.countLoad(decision.target, 1);
        clock.after(RECORD_MS, () => this.evictFor(decision));
      } else if (decision.kind === 'load-adapter') {
        clock.after(ADAPTER_LOAD_MS, () => this.adapterLoaded(decision));
      } else {
        clock.after(RECORD_MS + EVICT_MS, () => this.evicted(decision));
      }
    }
    this.scheduleRetry();
  }

  private scheduleRetry(): void {
    if (this.waiting.size === 0 || this.retryTimer !== undefined) return;
    // Only load permits need a timer; all other conditions change by an event.
    const waitMs = this.options.permits.waitMs();
    if (waitMs <= 0) return;
    this.retryTimer = this.options.clock.after(waitMs + MIN_RETRY_MS, () => {
      this.retryTimer = undefined;
      this.account();
      this.executePlan();
    });
  }

  private evictFor(decision: LoadDecision): void {
    const account = this.ledger.account(decision.target)!;
    const {clock} = this.options;
    for (const victim of decision.evict) {
      account.removeReplica(victim, clock.now());
    }
    const delayMs = decision.evict.length > 0 ? EVICT_MS : 0;
    clock.after(delayMs, () => this.startLoad(decision, account));
  }

  private startLoad(decision: LoadDecision, account: TargetAccount): void {
    const {clock, store, declared} = this.options;
    const {target, version, bytes} = decision;
    this.checkMemory(account);
    const weights = weightsOf(declared, version);
    const place = this.targets.get(target)!.locationOf(version);
    const startMs = clock.now();
    const done = () => {
      this.times.observe(place, bytes, clock.now() - startMs);
      this.loaded(decision, account);
    };
    if (place === CHECKPOINT_LOCATION.remote) store.copy(weights, done);
    else clock.after(weights / LOCAL_BYTES_PER_MS[place], done);
  }

  private loaded(decision: LoadDecision, account: TargetAccount): void {
    this.account();
    const {clock, permits, declared} = this.options;
    const {id, version, place, model, target} = decision;
    account.settle(id, 'done', clock.now());
    this.checkMemory(account);
    const fake = this.targets.get(target)!;
    fake.keep(version, weightsOf(declared, version));
    account.onDisk = fake.onDisk();
    account.inMemory = fake.inMemory();
    this.loading.delete(model);
    this.countLoad(target, -1);
    if (place === CHECKPOINT_LOCATION.remote) permits.release();
    this.dispatch();
    this.executePlan();
  }

  private evicted(decision: EvictDecision): void {
    this.account();
    const account = this.ledger.account(decision.target)!;
    account.removeReplica(decision, this.options.clock.now());
    this.executePlan();
  }

  private adapterLoaded(decision: AdapterDecision): void {
    this.account();
    const account = this.ledger.account(decision.target)!;
    const nowMs = this.options.clock.now();
    for (const victim of decision.evict) {
      account.removeAdapter(victim, victim.adapter, nowMs);
    }
    account.settle(decision.id, 'done', nowMs);
    this.dispatch();
    this.executePlan();
  }

  private dispatch(): void {
    for (const item of [...this.waiting.values()]) {
      const found = this.findReplica(item);
      if (found === undefined) continue;
      this.recordColdStart(item);
      if (runningOn(found.account) >= found.account.spec.slots) continue;
      this.run(item, found.replica);
    }
  }

  private run(item: WorkItem, replica: Replica): void {
    const {clock} = this.options;
    this.removeRequest(item);
    this.counts.served += 1;
    replica.running += 1;
    this.demand.recordUse(item.model, clock.now());
    clock.after(item.serviceMs, () => {
      this.account();
      replica.running -= 1;
      this.demand.recordUse(item.model, clock.now());
      this.dispatch();
      this.executePlan();
    });
  }

  private findReplica({model, adapter}: WorkItem) {
    const ready = this.ledger.replicasOf(model).filter(({replica}) => {
      if (replica.state !== 'ready') return false;
      return adapter === undefined || replica.adapters.has(adapter);
    });
    return ready.sort((a, b) => {
      return runningOn(a.account) - runningOn(b.account);
    })[0];
  }

  private countLoad(target: string, change: number): void {
    const loads = this.busyLoads.get(target) ?? 0;
    this.busyLoads.set(target, loads + change);
  }

  /** Adds the time since the last event to the idle time of targets. */
  private account(): void {
    const nowMs = this.options.clock.now();
    const spanMs = nowMs - this.accountedMs;
    this.accountedMs = nowMs;
    if (spanMs === 0 || this.waiting.size === 0) return;
    const starved = [...this.waiting.values()].some(({model}) => {
      return !this.loading.has(model);
    });
    if (!starved) return;
    for (const account of this.ledger.all()) {
      const isLoading = (this.busyLoads.get(account.spec.name) ?? 0) > 0;
      if (isLoading || runningOn(account) > 0) continue;
      this.counts.idleWhileWaitingMs += spanMs;
    }
  }

  private checkMemory({usedBytes, spec: facts}: TargetAccount): void {
    if (usedBytes <= facts.memoryBytes) return;
    throw new Error(`${facts.name} exceeds its memory capacity`);
  }
}

function runningOn({replicas}: TargetAccount): number {
  let running = 0;
  for (const replica of replicas.values()) running += replica.running;
  return running;
}
