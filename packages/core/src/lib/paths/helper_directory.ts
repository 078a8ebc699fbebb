/** Learns which hosts can help. @packageDocumentation */

import {PeerNetwork} from '../peers/peer_network.js';
import {Clock} from '../time/clock.js';
import {HelperChoice} from './helper_choice.js';
import {HelperTable} from './helper_table.js';
import {HELPER_HOSTS} from './path_messages.js';

/**
 * Age from which the list is fetched again while tunnels are used, and if it
 * names a single helper: others may have found their paths again.
 */
const REFRESH_INTERVAL_MS = 5_000;
const SINGLE_HELPER_INTERVAL_MS = 1_000;

/**
 * Pause between fetches when it is not needed, and the same for each host, which
 * bounds the work of the lease holder. The list is kept in case that the holder
 * is lost together with the paths.
 */
const CALM_INTERVAL_MS = 15_000;
const CALM_MS_PER_HOST = 150;

/** Pause between fetches as long as no helper is known. */
const MISSING_INTERVAL_MS = 1_000;

/** Pause before the next attempt after one that failed. */
const RETRY_INTERVAL_MS = 300;

/** Timeout of a fetch: a reachable holder replies at once. */
const FETCH_TIMEOUT_MS = 250;

/** Dependencies of a {@link HelperDirectory}. */
export interface HelperDirectoryParts {
  clock: Clock;
  network: PeerNetwork;
  /** Zone of this host. */
  zone: string;
  /** What hosts report to this host, if it is the lease holder. */
  table: HelperTable;
  choice: HelperChoice;
  /** The holder of the order lease, while it is heard. */
  holder: () => {host: string; incarnation: string} | undefined;
  hostCount: () => number;
}

/** Fetches the helper hosts from the lease holder, and keeps the last list. */
export class HelperDirectory {
  private fetchedMs = -Infinity;
  private triedMs = -Infinity;
  private fetching: Promise<void> | undefined;

  /** @param parts - see {@link HelperDirectoryParts}. */
  constructor(private readonly parts: HelperDirectoryParts) {
    const {network, table} = parts;
    network.serveUnary(HELPER_HOSTS, ({zone}, {from}) => {
      // A rejected call makes the host keep the list that it has.
      if (!this.isHolder) throw new Error('not the lease holder');
      return {hosts: table.list(from.host, zone)};
    });
  }

  /**
   * Fetches the list now and then until the signal aborts.
   *
   * @param signal - stops the task.
   */
  async run(signal: AbortSignal): Promise<void> {
    const {clock, hostCount} = this.parts;
    while (!signal.aborted) {
      await this.fetch(signal);
      const hosts = hostCount();
      const calmMs = Math.max(CALM_INTERVAL_MS, hosts * CALM_MS_PER_HOST);
      // A holder that has just started has not yet heard of the others.
      const isMissing = this.parts.choice.isEmpty && hosts > 1;
      await clock.sleep(isMissing ? MISSING_INTERVAL_MS : calmMs, signal);
    }
  }

  /**
   * Makes sure that the list is recent. Keeps the last one without a holder.
   *
   * @param signal - cancels the fetch.
   * @param maxAgeMs - age up to which the list is recent; it is fetched sooner if
   *     there is but one helper, or none that can be used.
   */
  async refresh(
    signal: AbortSignal,
    maxAgeMs = REFRESH_INTERVAL_MS,
  ): Promise<void> {
    const nowMs = this.parts.clock.now();
    const {count, hasUsable} = this.parts.choice;
    const listAgeMs =
      count > 1 ? maxAgeMs : Math.min(maxAgeMs, SINGLE_HELPER_INTERVAL_MS);
    const limitMs = hasUsable ? listAgeMs : RETRY_INTERVAL_MS;
    if (nowMs - this.fetchedMs < limitMs) return;
    if (nowMs - this.triedMs < RETRY_INTERVAL_MS) return this.fetching;
    await this.fetch(signal);
  }

  private get isHolder(): boolean {
    const {holder, network} = this.parts;
    return holder()?.incarnation === network.self.incarnation;
  }

  private fetch(signal: AbortSignal): Promise<void> {
    this.fetching ??= this.fetchOnce(signal).finally(
      () => (this.fetching = undefined),
    );
    return this.fetching;
  }

  private async fetchOnce(signal: AbortSignal): Promise<void> {
    const {choice, clock, holder, network, table, zone} = this.parts;
    this.triedMs = clock.now();
    const known = holder();
    if (known === undefined) return;
    if (this.isHolder) {
      choice.update(table.list(network.self.host, zone));
      this.fetchedMs = clock.now();
      return;
    }
    const fetched = await network.call(
      known.host,
      HELPER_HOSTS,
      {zone},
      {timeoutMs: FETCH_TIMEOUT_MS, signal},
    );
    if (fetched.isErr()) return;
    const {hosts} = fetched.value;
    // A new holder has not yet heard of the others.
    if (hosts.length > 0 || choice.isEmpty) choice.update(hosts);
    this.fetchedMs = clock.now();
  }
}
