/** From whom each host takes a new configuration. @packageDocumentation */

import {PeerIdentity} from '../peers/peer_network.js';

/**
 * Hosts that take a configuration from one other: some 30 KB to each cost a
 * host with 14 Mbit/s, the slowest of the users' sheets, 50 ms altogether.
 */
const MAX_TAKERS = 3;

interface Source {
  host: string;
  takers: number;
}

/**
 * Spares the store: in each zone one host reads a new configuration there, and
 * the others take it from hosts of their own zone that have it or will have it
 * next. A host that asks again was not served: by the store if it had to read
 * that, which it may not reach, or by another host, which may be gone. It is sent
 * the other way then.
 */
export class ConfigSources {
  private version = -Infinity;
  private readonly byZone = new Map<string, Source[]>();
  /** Whether each host that asked was last sent to another, by incarnation. */
  private readonly sent = new Map<string, boolean>();

  /**
   * @param self - the host that tells the others, which has each version.
   * @param zone - availability zone of that host.
   */
  constructor(
    private readonly self: PeerIdentity,
    private readonly zone: string,
  ) {}

  /**
   * @param asker - a host that lacks a version.
   * @param zone - availability zone of that host.
   * @param version - the version.
   * @returns whom it asks, or nothing if it has to read the store.
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
    // The earliest one is the nearest to the store.
    return sources.find(({host, takers}) => host !== asker && takers < limit);
  }

  private begin(version: number): void {
    this.version = version;
    this.byZone.clear();
    this.sent.clear();
    this.byZone.set(this.zone, [{host: this.self.host, takers: 0}]);
  }
}
