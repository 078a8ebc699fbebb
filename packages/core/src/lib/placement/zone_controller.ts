/** Controls which replicas the targets of a zone hold. @packageDocumentation */

import {ConfigState} from '../config/config_state.js';
import {LeaseAuthority} from '../membership/lease_authority.js';
import {MemberTable} from '../membership/member_table.js';
import {PeerNetwork} from '../peers/peer_network.js';
import {RecordIdGenerator} from '../platform/stream_tail.js';
import {EngineClient} from '../targets/engine_client.js';
import {Logger} from '../telemetry/logger.js';
import {Clock, Timer} from '../time/clock.js';
import {DecisionExecutor} from './decision_executor.js';
import {DecisionJournal} from './decision_journal.js';
import {WaitingDemand} from './waiting_demand.js';
import {FixedLoadPermits, LoadPermits, zoneCapacity} from './load_permits.js';
import {LoadTimes} from './load_times.js';
import {MemoryLedger} from './memory_ledger.js';
import {OrderSender} from './order_sender.js';
import {
  REQUEST_REPLICA,
  ReplicaRequest,
  ReplicaResponse,
} from './placement_messages.js';
import {PlacementMetrics} from './placement_metrics.js';
import {PlacementPlanner} from './placement_planner.js';
import {placementPolicies} from './placement_policies.js';
import {ReplicaCatalog} from './replica_catalog.js';
import {ReplicaDirectory} from './replica_directory.js';
import {TargetWatch} from './target_watch.js';
import {MaintenancePlanner} from './maintenance_planner.js';
import {ViewPublisher} from './view_publisher.js';

const POLL_INTERVAL_MS = 500;
const MIN_RETRY_MS = 20;
const MAX_RETRY_MS = 250;

/** Capacity of the weight store over all zones. */
const STORE_CAPACITY = {loadsPerSecond: 3, maxConcurrentLoads: 4};

/** Dependencies of a {@link ZoneController}. */
export interface ZoneControllerOptions {
  zone: string;
  config: ConfigState;
  lease: LeaseAuthority;
  members: MemberTable;
  network: PeerNetwork;
  directory: ReplicaDirectory;
  journal: DecisionJournal;
  clock: Clock;
  logger: Logger;
  ids: RecordIdGenerator;
  metrics: PlacementMetrics;
  /** Returns the client of a declared engine. */
  engineOf: (target: string) => EngineClient;
  /** Permits for loads from the store; by default a fixed share per zone. */
  permits?: LoadPermits;
  /** Returns whether the platform reports that a target is about to leave. */
  isLeaving?: (target: string) => boolean;
}

interface Waiter {
  model: string;
  adapter: string | undefined;
  finish: (answer: ReplicaResponse) => void;
}

/**
 * Plans and executes loads and evictions. Runs on every host, but is active
 * only on the one that holds the zone's lease.
 */
export class ZoneController {
  private readonly catalog: ReplicaCatalog;
  private readonly ledger: MemoryLedger;
  private readonly demand = new WaitingDemand();
  private readonly planner: PlacementPlanner;
  private readonly maintenance: MaintenancePlanner;
  private readonly watch: TargetWatch;
  private readonly views: ViewPublisher;
  private readonly executor: DecisionExecutor;
  private readonly permits: LoadPermits;
  private readonly waiters = new Set<Waiter>();
  private signal = new AbortController().signal;
  private retryTimer: Timer | undefined;
  private nextRequestId = 0;

  constructor(private readonly options: ZoneControllerOptions) {
    const {network, config, clock} = options;
    this.catalog = new ReplicaCatalog(options.zone, () => config.declared);
    this.ledger = new MemoryLedger(replica => this.catalog.kvBytes(replica));
    this.permits =
      options.permits ??
      new FixedLoadPermits(clock, () =>
        zoneCapacity(STORE_CAPACITY, this.catalog.zonesWithEngines()),
      );
    const times = new LoadTimes();
    const {catalog, ledger, demand, permits} = this;
    this.planner = new PlacementPlanner({
      ...{ledger, demand, catalog, permits, times, clock, ids: options.ids},
      ...placementPolicies(demand, times),
    });
    const {ids} = options;
    const {planner} = this;
    this.maintenance = new MaintenancePlanner({
      ledger,
      catalog,
      planner,
      clock,
      ids,
    });
    const sender = new OrderSender(options);
    this.watch = new TargetWatch({
      ...options,
      ...{ledger, demand, sender},
      isLeaving: options.isLeaving ?? (() => false),
      checksFencing: target =>
        config.declared.get('target', target)?.fencing ?? false,
    });
    const {watch} = this;
    this.views = new ViewPublisher({...options, ledger});
    this.executor = new DecisionExecutor({
      ...options,
      ...{ledger, sender, watch, planner, permits, times},
      onChange: () => this.publish(),
    });
    network.serveUnary(REQUEST_REPLICA, (want, {signal}) =>
      this.want(want, signal),
    );
  }

  /** Polls the zone's targets until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    this.signal = signal;
    const {clock, lease} = this.options;
    lease.onGained(() => void this.poll());
    lease.onLost(() => this.redirectWaiters());
    await clock.every(POLL_INTERVAL_MS, signal, () => this.poll());
  }

  private async poll(): Promise<void> {
    if (this.options.lease.check().isErr()) return this.redirectWaiters();
    // A target that is no longer declared must stop getting new work now.
    this.ledger.setTargets(this.catalog.targets());
    this.publish();
    await this.watch.refreshAll(this.signal);
    this.publish();
    this.planAndExecute();
  }

  /**
   * Provides a replica. Requests for the same model share one load.
   *
   * @param want - what is needed.
   * @param signal - aborts when the host no longer needs the replica.
   * @returns the zone's view once the replica is ready, or why none can be
   *     provided.
   */
  async want(
    want: ReplicaRequest,
    signal: AbortSignal,
  ): Promise<ReplicaResponse> {
    const {lease, clock} = this.options;
    if (lease.check().isErr()) return {type: 'not-controller'};
    const {model, adapter, waiting, slackMs} = want;
    const message = this.planner.unservableReason(model, adapter);
    if (message !== undefined) return {type: 'impossible', message};
    const requestId = String(this.nextRequestId++);
    const deadlineMs = clock.now() + slackMs;
    this.demand.set(
      {host: requestId, model, adapter, waiting, deadlineMs},
      clock.now(),
    );
    const answer = this.waitUntilReady(model, adapter, slackMs, signal);
    this.planAndExecute();
    this.answerReadyWaiters();
    const result = await answer;
    this.demand.remove(requestId, model, adapter);
    return result;
  }

  private waitUntilReady(
    model: string,
    adapter: string | undefined,
    slackMs: number,
    signal: AbortSignal,
  ): Promise<ReplicaResponse> {
    return new Promise(resolve => {
      const giveUp = () =>
        finish({
          type: 'impossible',
          message: 'no replica came in time',
        });
      const timer = this.options.clock.after(slackMs, giveUp);
      const finish = (answer: ReplicaResponse) => {
        this.waiters.delete(waiter);
        timer.cancel();
        signal.removeEventListener('abort', giveUp);
        resolve(answer);
      };
      const waiter = {model, adapter, finish};
      this.waiters.add(waiter);
      signal.addEventListener('abort', giveUp);
    });
  }

  /** Plans decisions and starts their execution. */
  private planAndExecute(): void {
    if (this.options.lease.check().isErr()) return;
    for (const decision of [
      ...this.planner.plan(),
      ...this.maintenance.plan(),
    ]) {
      void this.executor.execute(decision, this.signal).then(() => {
        this.planAndExecute();
      });
    }
    this.updateWaitingMetric();
    this.scheduleRetry();
  }

  private updateWaitingMetric(): void {
    const allWork = this.demand.all();
    const waiting = allWork.reduce((sum, work) => sum + work.waiting, 0);
    this.options.metrics.waiting.set(waiting);
  }

  /**
   * Schedules another planning run while requests wait for a permit or memory.
   */
  private scheduleRetry(): void {
    if (this.waiters.size === 0 || this.retryTimer !== undefined) return;
    const waitMs = Math.max(MIN_RETRY_MS, this.permits.waitMs());
    this.retryTimer = this.options.clock.after(
      Math.min(MAX_RETRY_MS, waitMs),
      () => {
        this.retryTimer = undefined;
        if (!this.signal.aborted) this.planAndExecute();
      },
    );
  }

  /** Redirects waiting requests to the host that holds the lease now. */
  private redirectWaiters(): void {
    for (const {finish} of [...this.waiters]) finish({type: 'not-controller'});
  }

  private answerReadyWaiters(): void {
    for (const {model, adapter, finish} of [...this.waiters]) {
      const ready = this.options.directory.readyTargets(model, adapter);
      const view = this.views.currentView();
      if (ready.length > 0 && view !== undefined) finish({type: 'ready', view});
    }
  }

  /**
   * Publishes changes to hosts and answers the requests that waited for them.
   */
  private publish(): void {
    this.views.publish();
    this.answerReadyWaiters();
  }
}
