/** Selects the source from which each host fetches a new configuration. @packageDocumentation */

import {PeerIdentity} from '../peers/peer_network.js';

/**
 * Maximum number of hosts that fetch a configuration from the same host.
 * Sending about 30 KB to each takes 50 ms in total on a link of 14 Mbit/s, the
 * slowest in the users' deployment sheets.
 */
const MAX_TAKERS = 3;

interface Source {
  host: string;
  takers: number;
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
  private readonly sent = new Map<string, boolean>();

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
   * @param asker - the host.
   * @param zone - availability zone of that host.
   * @param version - version of the configuration.
   * @returns name of the host to fetch it from, or undefined if the requester
   *     has to read the store.
   */
  sourceFor(
    asker: PeerIdentity,
    zone: string,
    version: number,
  ): string | undefined {
    if (version !== this.version) this.begin(version);
    const sources = this.byZone.get(zone) ?? [];
    this.byZone.set(zone, sources);
    const wasSent = this.sent.get(asker.incarnation);
    const source = this.choose(sources, asker.host, wasSent);
    this.sent.set(asker.incarnation, source !== undefined);
    if (wasSent === undefined) sources.push({host: asker.host, takers: 0});
    if (source === undefined) return undefined;
    source.takers += 1;
    return source.host;
  }

  private choose(
    sources: readonly Source[],
    asker: string,
    wasSent: boolean | undefined,
  ): Source | undefined {
    if (wasSent) return undefined;
    const limit = wasSent === undefined ? MAX_TAKERS : Infinity;
    // Prefers the host that receives the configuration first.
    return sources.find(({host, takers}) => host !== asker && takers < limit);
  }

  private begin(version: number): void {
    this.version = version;
    this.byZone.clear();
    this.sent.clear();
    this.byZone.set(this.zone, [{host: this.self.host, takers: 0}]);
  }
}
