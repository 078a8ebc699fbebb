/** Publishes to the hosts what the targets hold and how loaded they are. @packageDocumentation */

import {PeerIdentity, PeerNetwork} from '../peers/peer_network.js';
import {Clock} from '../time/clock.js';
import {WakeableSleep} from '../time/wakeable_sleep.js';
import {WorkPublication} from '../work/work_publication.js';
import {AccountRegistry} from './account_registry.js';
import {HostCounter} from './host_counter.js';
import {OrderLease} from './order_lease.js';
import {ResidencyAccount, isUsable} from './residency_account.js';
import {
  RESIDENCY_VIEW,
  TargetModelsView,
  ViewBody,
} from './residency_messages.js';
import {UsageTable} from './usage_table.js';

/** Shortest time between views if changes are not published at once. */
const VIEW_INTERVAL_MS = 100;

/** The same for each host that there is: each view is written to each host. */
const VIEW_MS_PER_HOST = 1;

/** Time between checks of whether this host has become the holder. */
const IDLE_INTERVAL_MS = 500;

/** Time after which a view without changes is sent. */
const HEARTBEAT_MS = 300;

/**
 * Shortest time between views of all targets, and the same for each host that
 * there is. A new host gets a full view at once, and every host gets changes;
 * the regular full views repair what was lost on a link that fell behind.
 */
const FULL_VIEW_INTERVAL_MS = 2_000;
const FULL_VIEW_MS_PER_HOST = 40;

/** Change of a target's load that is published at once. */
const IMMEDIATE_LOAD_CHANGE = 0.08;

/** Time after which a load that changed less is published again. */
const LOAD_REPEAT_MS = 500;

/**
 * Requests in flight, as a fraction of the slots, from which a target's load is
 * published; below it, all hosts may prefer a near target.
 */
const CROWDED_LOAD = 0.25;

/** Dependencies of {@link ResidencyViewPublisher}. */
export interface ResidencyViewPublisherParts {
  clock: Clock;
  lease: OrderLease;
  registry: AccountRegistry;
  usage: UsageTable;
  hostCounter: HostCounter;
  network: PeerNetwork;
  /** Applies a view on this host. */
  applyView: (view: Pick<ViewBody, 'targets' | 'crowded' | 'work'>) => void;
}

/** Sends changes to all hosts, and a full view to each new host. */
export class ResidencyViewPublisher {
  private readonly changed = new Map<string, ResidencyAccount>();
  private sentMs = -Infinity;
  private fullSentMs = -Infinity;
  /** Incarnations of the hosts that got a full view from this holder. */
  private readonly fullyInformed = new Set<string>();
  private readonly publishedLoads = new Map<
    string,
    {load: number; ms: number}
  >();

  private readonly work: WorkPublication;

  /** @param parts - see {@link ResidencyViewPublisherParts}. */
  constructor(private readonly parts: ResidencyViewPublisherParts) {
    this.work = new WorkPublication(
      parts.clock,
      parts.usage.work,
      id => parts.registry.get(id)?.slots,
    );
  }

  /** Queues the view of a target for the hosts, and applies it on this host. */
  publish(account: ResidencyAccount): void {
    this.changed.set(account.id, account);
    this.parts.applyView({targets: [this.viewOf(account)], crowded: []});
  }

  /**
   * Sends views while this host holds the lease.
   *
   * @param signal - stops the task.
   */
  async run(signal: AbortSignal): Promise<void> {
    const {clock, lease} = this.parts;
    const pause = new WakeableSleep(clock);
    lease.onChange(() => pause.wake());
    while (!signal.aborted) {
      this.send();
      await pause.sleep(
        lease.isHeld ? this.intervalMs : IDLE_INTERVAL_MS,
        signal,
      );
    }
  }

  private get intervalMs(): number {
    const hosts = this.parts.hostCounter.count ?? 1;
    return Math.max(VIEW_INTERVAL_MS, hosts * VIEW_MS_PER_HOST);
  }

  /** Sends a new host all that the other hosts were sent before. */
  sendFullView({host, incarnation}: PeerIdentity): void {
    const {registry, lease, network} = this.parts;
    if (!lease.isHeld || this.fullyInformed.has(incarnation)) return;
    this.fullyInformed.add(incarnation);
    const crowded: ViewBody['crowded'] = [];
    for (const [id, {load}] of this.publishedLoads) crowded.push([id, load]);
    const work = this.work.current();
    const view = this.view(registry.all(), crowded, work);
    network.notify(host, RESIDENCY_VIEW, view);
  }

  private view(
    accounts: Iterable<ResidencyAccount>,
    crowded: ViewBody['crowded'],
    work: ViewBody['work'],
  ): ViewBody {
    const {hostCounter, lease, network, usage} = this.parts;
    const targets: TargetModelsView[] = [];
    for (const account of accounts) {
      if (!account.needsReport) targets.push(this.viewOf(account));
    }
    hostCounter.record(Math.max(1, usage.hostCount));
    return {
      holder: network.self.incarnation,
      leaseEnd: lease.knownEnd,
      fencing: lease.fencingNumber,
      targets,
      crowded,
      work,
      hosts: hostCounter.count ?? 1,
    };
  }

  /** Sends a view now if there are changes or one is due. */
  send(): void {
    const {applyView, registry, hostCounter, clock, lease, network} =
      this.parts;
    if (!lease.isHeld) {
      this.changed.clear();
      this.fullyInformed.clear();
      this.publishedLoads.clear();
      this.work.clear();
      return;
    }
    const nowMs = clock.now();
    const fullMs = FULL_VIEW_MS_PER_HOST * (hostCounter.count ?? 1);
    const fullAgeMs = nowMs - this.fullSentMs;
    const isFull = fullAgeMs >= Math.max(FULL_VIEW_INTERVAL_MS, fullMs);
    const isDue = nowMs - this.sentMs >= HEARTBEAT_MS;
    if (!isFull && !isDue && this.changed.size === 0) return;
    const accounts = isFull ? registry.all() : this.changed.values();
    const crowded = this.crowded();
    const work = this.work.take();
    applyView({targets: [], crowded, work});
    network.broadcast(RESIDENCY_VIEW, this.view(accounts, crowded, work));
    this.changed.clear();
    this.sentMs = nowMs;
    if (isFull) this.fullSentMs = nowMs;
  }

  /** Returns the loads to publish now: of targets that fill up or did so. */
  private crowded(): ViewBody['crowded'] {
    const {registry, clock, usage} = this.parts;
    const nowMs = clock.now();
    const crowded: ViewBody['crowded'] = [];
    for (const account of registry.all()) {
      const load = Number(account.load(usage).toFixed(2));
      const published = this.publishedLoads.get(account.id);
      if (published === undefined && load < CROWDED_LOAD) continue;
      const change = Math.abs(load - (published?.load ?? 0));
      const isDue = nowMs - (published?.ms ?? -Infinity) >= LOAD_REPEAT_MS;
      if (change < IMMEDIATE_LOAD_CHANGE && !isDue) continue;
      crowded.push([account.id, load]);
      if (load < CROWDED_LOAD) this.publishedLoads.delete(account.id);
      else this.publishedLoads.set(account.id, {load, ms: nowMs});
    }
    return crowded;
  }

  private viewOf(account: ResidencyAccount): TargetModelsView {
    const nowMs = this.parts.clock.now();
    const held: Array<[string, string[]]> = [];
    for (const [model, resident] of account.residents) {
      if (!account.isReady(model, nowMs)) continue;
      if (resident.isRetiring) continue;
      if (!account.isConfirmed(model, nowMs)) continue;
      const adapters = [...resident.adapters]
        .filter(([, item]) => isUsable(item, nowMs))
        .map(([adapter]) => adapter);
      held.push([model, adapters]);
    }
    return {id: account.id, held};
  }
}
