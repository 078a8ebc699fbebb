/** Selects the source from which each host fetches a new configuration. @packageDocumentation */

import {PeerIdentity} from '../peers/peer_network.js';

/**
 * Maximum number of hosts that fetch a configuration from the same host.
 * Sending about 30 KB to each takes 50 ms in total on a link of 14 Mbit/s, the
 * slowest in the users' deployment sheets.
 */
const MAX_CLIENTS_PER_SOURCE = 3;

interface Source {
  host: string;
  clientCount: number;
}

/**
 * Reduces the load on the store: in each zone one host reads a new
 * configuration from the store, and the others fetch it from hosts of their
 * zone that have it or are about to have it. A host that asks again was not
 * served by its source: the store may be unreachable for it, or the other host
 * may be gone. It is then referred to the other kind of source.
 */
export class ConfigSources {
  private version = -Infinity;
  private readonly byZone = new Map<string, Source[]>();
  /**
   * Whether each requester was last referred to another host, by incarnation.
   */
  private readonly referredToPeer = new Map<string, boolean>();

  /**
   * @param self - the host that assigns the sources; it has every version.
   * @param zone - availability zone of that host.
   */
  constructor(
    private readonly self: PeerIdentity,
    private readonly zone: string,
  ) {}

  /**
   * Assigns a source to a host that lacks a version.
   *
   * @param requester - the host.
   * @param zone - availability zone of that host.
   * @param version - version of the configuration.
   * @returns name of the host to fetch it from, or undefined if the requester
   *     has to read the store.
   */
  sourceFor(
    requester: PeerIdentity,
    zone: string,
    version: number,
  ): string | undefined {
    if (version !== this.version) this.startVersion(version);
    const sources = this.byZone.get(zone) ?? [];
    this.byZone.set(zone, sources);
    const wasReferred = this.referredToPeer.get(requester.incarnation);
    const source = this.chooseSource(sources, requester.host, wasReferred);
    this.referredToPeer.set(requester.incarnation, source !== undefined);
    if (wasReferred === undefined)
      sources.push({host: requester.host, clientCount: 0});
    if (source === undefined) return undefined;
    source.clientCount += 1;
    return source.host;
  }

  private chooseSource(
    sources: readonly Source[],
    requester: string,
    wasReferred: boolean | undefined,
  ): Source | undefined {
    if (wasReferred) return undefined;
    const limit = wasReferred === undefined ? MAX_CLIENTS_PER_SOURCE : Infinity;
    // Prefers the host that receives the configuration first.
    return sources.find(
      ({host, clientCount}) => host !== requester && clientCount < limit,
    );
  }

  private startVersion(version: number): void {
    this.version = version;
    this.byZone.clear();
    this.referredToPeer.clear();
    this.byZone.set(this.zone, [{host: this.self.host, clientCount: 0}]);
  }
}
