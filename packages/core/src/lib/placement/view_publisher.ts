/** Publishes what a zone's targets hold to the hosts of the zone. @packageDocumentation */

import {LeaseAuthority} from '../membership/lease_authority.js';
import {MemberTable} from '../membership/member_table.js';
import {PeerNetwork} from '../peers/peer_network.js';
import {Clock} from '../time/clock.js';
import {MemoryLedger} from './memory_ledger.js';
import {GET_VIEW, ZONE_VIEW} from './placement_messages.js';
import {ReplicaDirectory, TargetView, ZoneView} from './replica_directory.js';
import {buildTargetView} from './target_view.js';

/**
 * Interval at which an unchanged view is repeated, so that hosts notice when
 * they have missed one.
 */
const REPEAT_INTERVAL_MS = 5_000;

const FETCH_TIMEOUT_MS = 2_000;

/** Dependencies of a {@link ViewPublisher}. */
export interface ViewPublisherOptions {
  zone: string;
  lease: LeaseAuthority;
  members: MemberTable;
  network: PeerNetwork;
  directory: ReplicaDirectory;
  ledger: MemoryLedger;
  clock: Clock;
}

/**
 * Publishes the zone's view, after the first full view only the targets that
 * changed. A host that has missed a message fetches the full view.
 */
export class ViewPublisher {
  private readonly publishedStates = new Map<string, string>();
  private publishedFencing = -1;
  private sequence = 0;
  private publishedMs = -Infinity;
  private isFetching = false;

  constructor(private readonly options: ViewPublisherOptions) {
    const {network, directory} = options;
    network.serveUnary(GET_VIEW, () => ({view: this.currentView() ?? null}));
    network.onNotification(ZONE_VIEW, (view, from) => {
      if (!directory.update(view)) void this.fetchView(from.host);
    });
  }

  /** Sends the changes since the last call, or a repetition if one is due. */
  publish(): void {
    const {clock, directory} = this.options;
    const fullView = this.currentView();
    if (fullView === undefined) return;
    const isFirst = fullView.fencing !== this.publishedFencing;
    if (isFirst) this.publishedStates.clear();
    const delta = this.takeChanges(fullView);
    const isDue = clock.now() - this.publishedMs >= REPEAT_INTERVAL_MS;
    const hasChanges = delta.targets.length > 0 || delta.removed.length > 0;
    if (!isFirst && !hasChanges && !isDue) return;
    const base = this.sequence;
    this.sequence += 1;
    this.publishedFencing = fullView.fencing;
    this.publishedMs = clock.now();
    directory.update({...fullView, sequence: this.sequence});
    const numberedView = {...fullView, sequence: this.sequence};
    this.broadcast(isFirst ? numberedView : {...numberedView, ...delta, base});
  }

  /** Returns the full view if this host holds the lease. */
  currentView(): ZoneView | undefined {
    const {lease, ledger, clock, zone} = this.options;
    const authority = lease.check();
    if (authority.isErr()) return undefined;
    const {fencing} = authority.value;
    const nowMs = clock.now();
    const targets = [...ledger.all()]
      .filter(({reachable}) => reachable)
      .map(account => buildTargetView(account, nowMs));
    return {zone, fencing, sequence: this.sequence, targets};
  }

  private takeChanges({targets}: ZoneView): {
    targets: TargetView[];
    removed: string[];
  } {
    const names = new Set(targets.map(({target}) => target));
    const removed = [...this.publishedStates.keys()].filter(
      name => !names.has(name),
    );
    for (const name of removed) this.publishedStates.delete(name);
    const changed = targets.filter(view => {
      const state = serializeState(view);
      if (this.publishedStates.get(view.target) === state) return false;
      this.publishedStates.set(view.target, state);
      return true;
    });
    return {targets: changed, removed};
  }

  private broadcast(view: ZoneView): void {
    const {members, network} = this.options;
    for (const {host} of members.all()) {
      if (host !== network.self.host) network.notify(host, ZONE_VIEW, view);
    }
  }

  private async fetchView(host: string): Promise<void> {
    if (this.isFetching) return;
    this.isFetching = true;
    const {network, directory} = this.options;
    const signal = new AbortController().signal;
    const options = {timeoutMs: FETCH_TIMEOUT_MS, signal};
    const answer = await network.call(host, GET_VIEW, {}, options);
    this.isFetching = false;
    if (answer.isOk() && answer.value.view !== null) {
      directory.update(answer.value.view);
    }
  }
}

/**
 * Serialises the state whose changes are published. Counts of running requests
 * are left out, because hosts use them only as hints.
 */
function serializeState({
  target,
  slots,
  leaving,
  residents,
}: TargetView): string {
  const held = residents.map(({model, version, state, adapters}) => {
    return [model, version, state, adapters];
  });
  return JSON.stringify([target, slots, leaving, held]);
}
