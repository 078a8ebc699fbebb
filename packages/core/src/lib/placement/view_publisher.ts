/** Publishes what a zone's targets hold to the hosts of the zone. @packageDocumentation */

import {LeaseAuthority} from '../membership/lease_authority.js';
import {MemberTable} from '../membership/member_table.js';
import {PeerNetwork} from '../peers/peer_network.js';
import {Clock} from '../time/clock.js';
import {MemoryLedger} from './memory_ledger.js';
import {GET_VIEW, ZONE_VIEW} from './placement_messages.js';
import {ReplicaDirectory, TargetView, ZoneView} from './replica_directory.js';
import {viewTarget} from './target_view.js';

/**
 * Interval at which an unchanged view is repeated, so that hosts notice when
 * they have missed one.
 */
const REPEAT_MS = 5_000;

const PULL_TIMEOUT_MS = 2_000;

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
  private readonly sent = new Map<string, string>();
  private sentFencing = -1;
  private sequence = 0;
  private sentMs = -Infinity;
  private pulling = false;

  constructor(private readonly options: ViewPublisherOptions) {
    const {network, directory} = options;
    network.serveUnary(GET_VIEW, () => ({view: this.current() ?? null}));
    network.onNote(ZONE_VIEW, (view, from) => {
      if (!directory.update(view)) void this.pull(from.host);
    });
  }

  /** Sends the changes since the last call, or a repetition if one is due. */
  publish(): void {
    const {clock, directory} = this.options;
    const whole = this.current();
    if (whole === undefined) return;
    const isFirst = whole.fencing !== this.sentFencing;
    if (isFirst) this.sent.clear();
    const delta = this.changesIn(whole);
    const isDue = clock.now() - this.sentMs >= REPEAT_MS;
    const hasChanges = delta.targets.length > 0 || delta.removed.length > 0;
    if (!isFirst && !hasChanges && !isDue) return;
    const base = this.sequence;
    this.sequence += 1;
    this.sentFencing = whole.fencing;
    this.sentMs = clock.now();
    directory.update({...whole, sequence: this.sequence});
    const head = {...whole, sequence: this.sequence};
    this.send(isFirst ? head : {...head, ...delta, base});
  }

  /** Returns the full view if this host holds the lease. */
  current(): ZoneView | undefined {
    const {lease, ledger, clock, zone} = this.options;
    const authority = lease.check();
    if (authority.isErr()) return undefined;
    const {fencing} = authority.value;
    const nowMs = clock.now();
    const targets = [...ledger.all()]
      .filter(({reachable}) => reachable)
      .map(account => viewTarget(account, nowMs));
    return {zone, fencing, sequence: this.sequence, targets};
  }

  private changesIn({targets}: ZoneView): {
    targets: TargetView[];
    removed: string[];
  } {
    const names = new Set(targets.map(({target}) => target));
    const removed = [...this.sent.keys()].filter(name => !names.has(name));
    for (const name of removed) this.sent.delete(name);
    const changed = targets.filter(view => {
      const text = textOf(view);
      if (this.sent.get(view.target) === text) return false;
      this.sent.set(view.target, text);
      return true;
    });
    return {targets: changed, removed};
  }

  private send(view: ZoneView): void {
    const {members, network} = this.options;
    for (const {host} of members.all()) {
      if (host !== network.self.host) network.notify(host, ZONE_VIEW, view);
    }
  }

  private async pull(host: string): Promise<void> {
    if (this.pulling) return;
    this.pulling = true;
    const {network, directory} = this.options;
    const signal = new AbortController().signal;
    const options = {timeoutMs: PULL_TIMEOUT_MS, signal};
    const answer = await network.call(host, GET_VIEW, {}, options);
    this.pulling = false;
    if (answer.isOk() && answer.value.view !== null) {
      directory.update(answer.value.view);
    }
  }
}

/**
 * Serialises the state whose changes are published. Counts of running requests
 * are left out, because hosts use them only as hints.
 */
function textOf({target, slots, leaving, residents}: TargetView): string {
  const held = residents.map(({model, version, state, adapters}) => {
    return [model, version, state, adapters];
  });
  return JSON.stringify([target, slots, leaving, held]);
}
