/** Publishes to the hosts what the targets hold and how loaded they are. @packageDocumentation */

import {PeerIdentity, PeerNetwork} from '../peers/peer_network.js';
import {Clock} from '../time/clock.js';
import {WakeableSleep} from '../time/wakeable_sleep.js';
import {AccountBook} from './account_book.js';
import {HostCensus} from './host_census.js';
import {OrderLease} from './order_lease.js';
import {ResidencyAccount, isUsable} from './residency_account.js';
import {RESIDENCY_VIEW, TargetView, ViewBody} from './residency_messages.js';
import {UsageTable} from './usage_table.js';

/** Shortest time between views if changes are not published at once. */
const VIEW_INTERVAL_MS = 100;

/** The same for each host that there is: each view is written to each host. */
const VIEW_MS_PER_HOST = 1;

/** Time between checks of whether this host has become the holder. */
const IDLE_MS = 500;

/** Time after which a view without changes is sent. */
const HEARTBEAT_MS = 300;

/**
 * Shortest time between views of all targets, and the same for each host that
 * there is. A new host gets a full view at once, and every host gets changes;
 * the regular full views repair what was lost on a link that fell behind.
 */
const FULL_VIEW_MS = 2_000;
const FULL_VIEW_MS_PER_HOST = 40;

/** Change of a target's load that is published at once. */
const TOLD_LOAD_CHANGE = 0.08;

/** Time after which a load that changed less is published again. */
const LOAD_REPEAT_MS = 500;

/**
 * Requests in flight, as a fraction of the slots, from which a target's load is
 * published; below it, all hosts may prefer a near target.
 */
const CROWDED_LOAD = 0.25;

/** Dependencies of {@link ViewTeller}. */
export interface ViewTellerParts {
  clock: Clock;
  lease: OrderLease;
  book: AccountBook;
  usage: UsageTable;
  census: HostCensus;
  network: PeerNetwork;
  /** Applies a view on this host. */
  apply: (view: Pick<ViewBody, 'targets' | 'crowded'>) => void;
}

/** Sends changes to all hosts, and a full view to each new host. */
export class ViewTeller {
  private readonly changed = new Map<string, ResidencyAccount>();
  private sentMs = -Infinity;
  private fullSentMs = -Infinity;
  /** Incarnations of the hosts that got a full view from this holder. */
  private readonly briefed = new Set<string>();
  private readonly toldLoads = new Map<string, {load: number; ms: number}>();

  /** @param parts - see {@link ViewTellerParts}. */
  constructor(private readonly parts: ViewTellerParts) {}

  /** Queues the view of a target for the hosts, and applies it on this host. */
  publish(account: ResidencyAccount): void {
    this.changed.set(account.id, account);
    this.parts.apply({targets: [this.viewOf(account)], crowded: []});
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
      await pause.sleep(lease.isHeld ? this.intervalMs : IDLE_MS, signal);
    }
  }

  private get intervalMs(): number {
    const hosts = this.parts.census.count ?? 1;
    return Math.max(VIEW_INTERVAL_MS, hosts * VIEW_MS_PER_HOST);
  }

  /** Sends a new host all that the other hosts were sent before. */
  brief({host, incarnation}: PeerIdentity): void {
    const {book, lease, network} = this.parts;
    if (!lease.isHeld || this.briefed.has(incarnation)) return;
    this.briefed.add(incarnation);
    const crowded: ViewBody['crowded'] = [];
    for (const [id, {load}] of this.toldLoads) crowded.push([id, load]);
    network.notify(host, RESIDENCY_VIEW, this.view(book.all(), crowded));
  }

  private view(
    accounts: Iterable<ResidencyAccount>,
    crowded: ViewBody['crowded'],
  ): ViewBody {
    const {census, lease, network, usage} = this.parts;
    const targets: TargetView[] = [];
    for (const account of accounts) {
      if (!account.needsReport) targets.push(this.viewOf(account));
    }
    census.note(Math.max(1, usage.hostCount));
    return {
      holder: network.self.incarnation,
      leaseEnd: lease.knownEnd,
      targets,
      crowded,
      hosts: census.count ?? 1,
    };
  }

  /** Sends a view now if there are changes or one is due. */
  send(): void {
    const {apply, book, census, clock, lease, network} = this.parts;
    if (!lease.isHeld) {
      this.changed.clear();
      this.briefed.clear();
      this.toldLoads.clear();
      return;
    }
    const nowMs = clock.now();
    const fullMs = FULL_VIEW_MS_PER_HOST * (census.count ?? 1);
    const fullAgeMs = nowMs - this.fullSentMs;
    const isFull = fullAgeMs >= Math.max(FULL_VIEW_MS, fullMs);
    const isDue = nowMs - this.sentMs >= HEARTBEAT_MS;
    if (!isFull && !isDue && this.changed.size === 0) return;
    const accounts = isFull ? book.all() : this.changed.values();
    const crowded = this.crowded();
    apply({targets: [], crowded});
    network.broadcast(RESIDENCY_VIEW, this.view(accounts, crowded));
    this.changed.clear();
    this.sentMs = nowMs;
    if (isFull) this.fullSentMs = nowMs;
  }

  /** Returns the loads to publish now: of targets that fill up or did so. */
  private crowded(): ViewBody['crowded'] {
    const {book, clock, usage} = this.parts;
    const nowMs = clock.now();
    const crowded: ViewBody['crowded'] = [];
    for (const account of book.all()) {
      const load = Number(account.load(usage).toFixed(2));
      const told = this.toldLoads.get(account.id);
      if (told === undefined && load < CROWDED_LOAD) continue;
      const change = Math.abs(load - (told?.load ?? 0));
      const isDue = nowMs - (told?.ms ?? -Infinity) >= LOAD_REPEAT_MS;
      if (change < TOLD_LOAD_CHANGE && !isDue) continue;
      crowded.push([account.id, load]);
      if (load < CROWDED_LOAD) this.toldLoads.delete(account.id);
      else this.toldLoads.set(account.id, {load, ms: nowMs});
    }
    return crowded;
  }

  private viewOf(account: ResidencyAccount): TargetView {
    const nowMs = this.parts.clock.now();
    const held: Array<[string, string[]]> = [];
    for (const [model, resident] of account.residents) {
      if (!account.isReady(model, nowMs)) continue;
      if (resident.isRetiring) continue;
      if (!account.isProven(model, nowMs)) continue;
      const adapters = [...resident.adapters]
        .filter(([, item]) => isUsable(item, nowMs))
        .map(([adapter]) => adapter);
      held.push([model, adapters]);
    }
    return {id: account.id, held};
  }
}
