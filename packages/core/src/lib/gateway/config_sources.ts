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
 * next. A host that asks again was not served, and reads the store itself.
 */
export class ConfigSources {
  private version = -Infinity;
  private readonly byZone = new Map<string, Source[]>();
  private readonly asked = new Set<string>();

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
    if (this.asked.has(asker.incarnation)) return undefined;
    this.asked.add(asker.incarnation);
    const sources = this.byZone.get(zone) ?? [];
    this.byZone.set(zone, sources);
    const source = sources.find(({takers}) => takers < MAX_TAKERS);
    sources.push({host: asker.host, takers: 0});
    if (source === undefined) return undefined;
    source.takers += 1;
    return source.host;
  }

  private begin(version: number): void {
    this.version = version;
    this.byZone.clear();
    this.asked.clear();
    this.byZone.set(this.zone, [{host: this.self.host, takers: 0}]);
  }
}
