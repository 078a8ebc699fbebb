/** Announcement of ready models to other zones. @packageDocumentation */

import {LeaseAuthority} from '../membership/lease_authority.js';
import {Member, MemberTable} from '../membership/member_table.js';
import {PeerNetwork} from '../peers/peer_network.js';
import {ReplicaDirectory} from '../placement/replica_directory.js';
import {Clock} from '../time/clock.js';
import {Random} from '../time/random.js';
import {
  READY_RELAY,
  READY_SUMMARY,
  ReadySummary,
  ReadyZones,
} from './ready_zones.js';

const CHECK_INTERVAL_MS = 250;
const FULL_SUMMARY_INTERVAL_MS = 30_000;
const TIMEOUT_MS = 2_000;

/** Dependencies of a {@link ReadyAnnouncer}. */
export interface ReadyAnnouncerOptions {
  zone: string;
  lease: LeaseAuthority;
  directory: ReplicaDirectory;
  ready: ReadyZones;
  members: MemberTable;
  network: PeerNetwork;
  clock: Clock;
  random: Random;
  /** Returns the hosts of all other zones. */
  remoteHosts: () => Member[];
}

/**
 * Announces to the other zones which models are ready in this one.
 *
 * The zone controller sends changes to one host of each other zone, which
 * relays them within its zone. A full summary is sent at intervals and after a
 * change of controller.
 */
export class ReadyAnnouncer {
  private announcedModels = new Set<string>();
  private announcedFencing = -1;
  private lastFullSummaryMs = -Infinity;
  private sequence = 0;

  constructor(private readonly options: ReadyAnnouncerOptions) {
    const {network, ready} = options;
    network.serveUnary(READY_SUMMARY, summary => {
      ready.update(summary);
      this.relay(summary);
      return {taken: true as const};
    });
    network.onNotification(READY_RELAY, summary => ready.update(summary));
  }

  /** Announces changes until the signal aborts. */
  run(signal: AbortSignal): Promise<void> {
    return this.options.clock.every(CHECK_INTERVAL_MS, signal, () =>
      this.announce(signal),
    );
  }

  private announce(signal: AbortSignal): void {
    const {lease, clock, zone} = this.options;
    const authority = lease.check();
    if (authority.isErr()) return;
    const {fencing} = authority.value;
    const models = this.modelsWithFreeSlots();
    const isFullSummaryDue =
      clock.now() - this.lastFullSummaryMs >= FULL_SUMMARY_INTERVAL_MS;
    const whole = isFullSummaryDue || fencing !== this.announcedFencing;
    const ready = [...models].filter(
      model => whole || !this.announcedModels.has(model),
    );
    const gone = [...this.announcedModels].filter(model => !models.has(model));
    if (!whole && ready.length === 0 && gone.length === 0) return;
    if (whole) this.lastFullSummaryMs = clock.now();
    this.announcedModels = models;
    this.announcedFencing = fencing;
    this.sequence += 1;
    const {sequence} = this;
    this.send({zone, fencing, sequence, whole, ready, gone}, signal);
  }

  /** Returns the models that have a ready replica with a free slot. */
  private modelsWithFreeSlots(): Set<string> {
    const models = new Set<string>();
    for (const view of this.options.directory.targets()) {
      if (view.leaving || view.running >= view.slots) continue;
      for (const {model, state} of view.residents) {
        if (state === 'ready') models.add(model);
      }
    }
    return models;
  }

  private send(summary: ReadySummary, signal: AbortSignal): void {
    const {remoteHosts, network, random} = this.options;
    const byZone = new Map<string, string[]>();
    for (const {zone, host} of remoteHosts()) {
      byZone.set(zone, [...(byZone.get(zone) ?? []), host]);
    }
    for (const hosts of byZone.values()) {
      const options = {timeoutMs: TIMEOUT_MS, signal};
      void network.call(random.pick(hosts), READY_SUMMARY, summary, options);
    }
  }

  private relay(summary: ReadySummary): void {
    const {members, network} = this.options;
    for (const {host} of members.all()) {
      if (host !== network.self.host)
        network.notify(host, READY_RELAY, summary);
    }
  }
}
