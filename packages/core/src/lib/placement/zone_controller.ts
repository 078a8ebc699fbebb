/** Decides which replicas a zone's targets hold. @packageDocumentation */

import {ConfigState} from '../config/config_state.js';
import {LeaseAuthority} from '../membership/lease_authority.js';
import {MemberTable} from '../membership/member_table.js';
import {PeerNetwork} from '../peers/peer_network.js';
import {RecordIds} from '../platform/stream_tail.js';
import {EngineClient} from '../targets/engine_client.js';
import {Logger} from '../telemetry/logger.js';
import {Clock, Timer} from '../time/clock.js';
import {DecisionExecutor} from './decision_executor.js';
import {DecisionJournal} from './decision_journal.js';
import {DemandBook} from './demand_book.js';
import {FixedLoadPermits, LoadPermits, zoneCapacity} from './load_permits.js';
import {LoadTimes} from './load_times.js';
import {MemoryLedger} from './memory_ledger.js';
import {OrderSender} from './order_sender.js';
import {WANT, Want, WantAnswer, ZONE_VIEW} from './placement_messages.js';
import {PlacementPlanner} from './placement_planner.js';
import {placementPolicies} from './placement_policies.js';
import {ReplicaCatalog} from './replica_catalog.js';
import {ReplicaDirectory, ZoneView} from './replica_directory.js';
import {TargetWatch} from './target_watch.js';
import {viewTarget} from './target_view.js';

const POLL_INTERVAL_MS = 500;
const VIEW_REPEAT_MS = 5_000;
const MIN_RETRY_MS = 20;
const MAX_RETRY_MS = 250;

/** What the weight store allows over all zones. */
const STORE_CAPACITY = {loadsPerSecond: 3, atOnce: 4};

/** What a {@link ZoneController} works with. */
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
  ids: RecordIds;
  /** @returns the client of a declared engine. */
  engineOf: (target: string) => EngineClient;
  /** A fixed part for each zone by default. */
  permits?: LoadPermits;
  /** @returns whether the platform says that a target is about to leave. */
  isLeaving?: (target: string) => boolean;
}

interface Waiter {
  model: string;
  adapter: string | undefined;
  finish: (answer: WantAnswer) => void;
}

/** Runs on every host and acts on the one that holds the zone's lease. */
export class ZoneController {
  private readonly catalog: ReplicaCatalog;
  private readonly ledger: MemoryLedger;
  private readonly demand = new DemandBook();
  private readonly planner: PlacementPlanner;
  private readonly watch: TargetWatch;
  private readonly executor: DecisionExecutor;
  private readonly permits: LoadPermits;
  private readonly waiters = new Set<Waiter>();
  private signal = new AbortController().signal;
  private retry: Timer | undefined;
  private nextWant = 0;
  private sequence = 0;
  private viewSentMs = -Infinity;

  constructor(private readonly options: ZoneControllerOptions) {
    const {network, directory, config, clock} = options;
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
    const sender = new OrderSender(options);
    this.watch = new TargetWatch({
      ...options,
      ...{ledger, demand, sender},
      isLeaving: options.isLeaving ?? (() => false),
      checksFencing: target =>
        config.declared.get('target', target)?.fencing ?? false,
    });
    const {planner, watch} = this;
    this.executor = new DecisionExecutor({
      ...options,
      ...{ledger, sender, watch, planner, permits, times},
      onChange: () => this.broadcast(),
    });
    network.serveUnary(WANT, (want, {signal}) => this.want(want, signal));
    network.onNote(ZONE_VIEW, view => directory.update(view));
  }

  /** Watches the zone's targets until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    this.signal = signal;
    const {clock, lease} = this.options;
    lease.onGained(() => void this.poll());
    lease.onLost(() => this.standDown());
    await clock.every(POLL_INTERVAL_MS, signal, () => this.poll());
  }

  private async poll(): Promise<void> {
    const {clock, lease} = this.options;
    if (lease.check().isErr()) return this.standDown();
    // A target that is no longer declared must get no new work at once.
    if (this.ledger.setTargets(this.catalog.targets())) this.broadcast();
    const changed = await this.watch.refreshAll(this.signal);
    const isDue = clock.now() - this.viewSentMs >= VIEW_REPEAT_MS;
    if (changed || isDue) this.broadcast();
    this.act();
  }

  /**
   * Provides a replica. Wants for the same model join one load.
   *
   * @param want - what waits.
   * @param signal - aborts when the host no longer wants it.
   * @returns the zone's view once the replica is ready, or why it cannot be.
   */
  async want(want: Want, signal: AbortSignal): Promise<WantAnswer> {
    const {lease, clock} = this.options;
    if (lease.check().isErr()) return {type: 'not-controller'};
    const {model, adapter, waiting, slackMs} = want;
    const message = this.planner.impossible(model, adapter);
    if (message !== undefined) return {type: 'impossible', message};
    const host = String(this.nextWant++);
    const deadlineMs = clock.now() + slackMs;
    this.demand.set({host, model, adapter, waiting, deadlineMs}, clock.now());
    const answer = this.untilReady(model, adapter, slackMs, signal);
    this.act();
    this.settleWaiters();
    const result = await answer;
    this.demand.remove(host, model, adapter);
    return result;
  }

  private untilReady(
    model: string,
    adapter: string | undefined,
    slackMs: number,
    signal: AbortSignal,
  ): Promise<WantAnswer> {
    return new Promise(resolve => {
      const giveUp = () =>
        finish({type: 'impossible', message: 'no replica came in time'});
      const timer = this.options.clock.after(slackMs, giveUp);
      const finish = (answer: WantAnswer) => {
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

  /** Decides and starts to carry out what was decided. */
  private act(): void {
    if (this.options.lease.check().isErr()) return;
    for (const decision of this.planner.plan()) {
      void this.executor.carryOut(decision, this.signal).then(() => {
        this.act();
      });
    }
    this.retryLater();
  }

  /** Decides again soon while work waits, for a permit or for room. */
  private retryLater(): void {
    if (this.waiters.size === 0 || this.retry !== undefined) return;
    const waitMs = Math.max(MIN_RETRY_MS, this.permits.waitMs());
    this.retry = this.options.clock.after(
      Math.min(MAX_RETRY_MS, waitMs),
      () => {
        this.retry = undefined;
        if (!this.signal.aborted) this.act();
      },
    );
  }

  /** Sends those who wait here to the host that holds the lease now. */
  private standDown(): void {
    for (const {finish} of [...this.waiters]) finish({type: 'not-controller'});
  }

  private settleWaiters(): void {
    for (const {model, adapter, finish} of [...this.waiters]) {
      const ready = this.options.directory.ready(model, adapter);
      const view = this.currentView();
      if (ready.length > 0 && view !== undefined) finish({type: 'ready', view});
    }
  }

  private broadcast(): void {
    const {members, network, directory, clock} = this.options;
    this.sequence += 1;
    const view = this.currentView();
    if (view === undefined) return;
    this.viewSentMs = clock.now();
    directory.update(view);
    for (const {host} of members.all()) {
      if (host !== network.self.host) network.notify(host, ZONE_VIEW, view);
    }
    this.settleWaiters();
  }

  private currentView(): ZoneView | undefined {
    const authority = this.options.lease.check();
    if (authority.isErr()) return undefined;
    const {fencing} = authority.value;
    const nowMs = this.options.clock.now();
    const targets = [...this.ledger.all()]
      .filter(({reachable}) => reachable)
      .map(account => viewTarget(account, nowMs));
    const {zone} = this.options;
    return {zone, fencing, sequence: this.sequence, targets};
  }
}
