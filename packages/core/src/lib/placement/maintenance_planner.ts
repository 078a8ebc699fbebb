/** Plans changes of replicas that no waiting request asks for. @packageDocumentation */

import {RecordIdGenerator} from '../platform/stream_tail.js';
import {Clock} from '../time/clock.js';
import {Decision, EvictDecision} from './decision.js';
import {MemoryLedger, PlacedReplica} from './memory_ledger.js';
import {PlacementPlanner} from './placement_planner.js';
import {ReplicaCatalog, ReplicaSpec} from './replica_catalog.js';
import {replicaKey} from './target_account.js';

/**
 * A load that an earlier controller ordered is evicted if it is still loading
 * after this time.
 */
const ADOPTED_LOAD_TIMEOUT_MS = 60_000;

/** Dependencies of a {@link MaintenancePlanner}. */
export interface MaintenanceOptions {
  ledger: MemoryLedger;
  catalog: ReplicaCatalog;
  planner: PlacementPlanner;
  clock: Clock;
  ids: RecordIdGenerator;
}

/**
 * Replaces versions that are no longer declared and evicts replicas beyond the
 * number that this zone may hold.
 *
 * A new version is loaded beside the old one if memory allows. Once it is
 * ready, the old one gets no new requests and is evicted when its last request
 * has ended. If there is not enough memory for both, the old one is drained
 * first.
 */
export class MaintenancePlanner {
  private readonly loadingSinceMs = new Map<string, number>();

  constructor(private readonly options: MaintenanceOptions) {}

  /** Plans loads and evictions for all models that targets hold. */
  plan(): Decision[] {
    const decisions: Decision[] = [];
    const models = new Set<string>();
    for (const account of this.options.ledger.all()) {
      if (!account.canReceiveOrders || !account.reachable) continue;
      for (const replica of account.replicas.values()) {
        models.add(replica.model);
        const decision = this.evictHungLoad({account, replica});
        if (decision !== undefined) decisions.push(decision);
      }
    }
    for (const model of models) decisions.push(...this.planModel(model));
    return decisions;
  }

  private planModel(model: string): Decision[] {
    const {ledger, catalog, planner} = this.options;
    const spec = catalog.spec(model);
    const replicas = ledger
      .replicasOf(model)
      .filter(({account}) => account.canReceiveOrders && account.reachable);
    const stale = replicas.filter(
      ({replica}) => replica.version !== spec?.version,
    );
    if (spec === undefined) return this.retire(stale);
    const current = replicas.filter(placed => !stale.includes(placed));
    this.restoreDraining(current);
    if (stale.length === 0) return this.retireSurplusReplicas(current, spec);
    const isReady = current.some(({replica}) => replica.state === 'ready');
    if (isReady) return this.retire(stale);
    const load = planner.planVersionLoad(spec);
    if (load !== undefined) return [load];
    if (ledger.count(model, spec.version) > 0) return [];
    if (planner.canMakeRoomFor(spec)) return [];
    return this.retire(stale);
  }

  /**
   * Makes draining replicas of the declared version ready again if none is
   * ready. They are draining if a rollback declares their version again.
   */
  private restoreDraining(current: readonly PlacedReplica[]): void {
    const isReady = current.some(({replica}) => replica.state === 'ready');
    if (isReady) return;
    for (const {account, replica} of current) {
      if (account.isEvicting(replica)) continue;
      if (replica.state === 'draining') replica.state = 'ready';
    }
  }

  private retireSurplusReplicas(
    current: readonly PlacedReplica[],
    {maxReplicas: limit}: ReplicaSpec,
  ): Decision[] {
    const held = current.filter(({replica}) => replica.state !== 'loading');
    const surplus = held.length - limit;
    if (surplus <= 0) return [];
    const idleFirst = [...held].sort((a, b) => {
      return a.replica.running - b.replica.running;
    });
    return this.retire(idleFirst.slice(0, surplus));
  }

  /** Drains replicas and evicts those on which no request runs. */
  private retire(replicas: readonly PlacedReplica[]): EvictDecision[] {
    const decisions: EvictDecision[] = [];
    for (const placed of replicas) {
      const {replica} = placed;
      if (replica.state === 'loading' || placed.account.isEvicting(replica)) {
        continue;
      }
      replica.state = 'draining';
      if (replica.running === 0) decisions.push(this.evict(placed));
    }
    return decisions;
  }

  private evictHungLoad(placed: PlacedReplica): EvictDecision | undefined {
    const {account, replica} = placed;
    const {model, version, state} = replica;
    const key = `${account.spec.name}\n${replicaKey(model, version)}`;
    const isAdopted = state === 'loading' && !account.isOrdered(replica);
    if (!isAdopted) {
      this.loadingSinceMs.delete(key);
      return undefined;
    }
    const nowMs = this.options.clock.now();
    const sinceMs = this.loadingSinceMs.get(key) ?? nowMs;
    this.loadingSinceMs.set(key, sinceMs);
    if (nowMs - sinceMs < ADOPTED_LOAD_TIMEOUT_MS) return undefined;
    if (account.isEvicting(replica)) return undefined;
    return this.evict(placed);
  }

  private evict({account, replica}: PlacedReplica): EvictDecision {
    const {model, version} = replica;
    account.startEviction(replica);
    const id = this.options.ids.generate();
    return {kind: 'evict', id, target: account.spec.name, model, version};
  }
}
