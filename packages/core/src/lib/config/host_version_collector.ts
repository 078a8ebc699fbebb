/** Collection of the configuration versions that hosts have in force. @packageDocumentation */

import {z} from 'zod';
import {PeerMethod, PeerNetwork} from '../peers/peer_network.js';
import {ConfigSync, EXCHANGE_POSITIONS} from './config_sync.js';

const CALL_TIMEOUT_MS = 1_500;
const ZONE_CALL_TIMEOUT_MS = 2_500;

/** Number of hosts of a remote zone that are tried in turn. */
const MAX_HOSTS_TRIED = 3;

const hostVersionSchema = z.object({
  host: z.string(),
  zone: z.string(),
  /** Null if the host did not respond. */
  version: z.number().int().nullable(),
});

/** The version that a host has in force. */
export type HostVersion = z.output<typeof hostVersionSchema>;

/**
 * Call that returns the versions of all hosts in the zone of the called host.
 */
const ZONE_VERSIONS: PeerMethod<Record<string, never>, HostVersion[]> = {
  name: 'config.zone-versions',
  body: z.record(z.string(), z.never()),
  event: z.array(hostVersionSchema),
};

/** Dependencies of {@link HostVersionCollector}. */
export interface HostVersionCollectorOptions {
  network: PeerNetwork;
  sync: ConfigSync;
  /** Returns the members of this zone. */
  members: () => ReadonlyArray<{host: string; zone: string}>;
  /** Returns the known hosts of other zones. */
  remoteHosts: () => ReadonlyArray<{host: string; zone: string}>;
}

/**
 * Collects the configuration versions of all known hosts. Queries each member
 * of this zone directly, and one host of each other zone for the members of
 * that zone.
 */
export class HostVersionCollector {
  constructor(private readonly options: HostVersionCollectorOptions) {
    options.network.serveUnary(ZONE_VERSIONS, (unusedBody, {signal}) =>
      this.collectZone(signal),
    );
  }

  /**
   * Collects the versions of all known hosts.
   *
   * @param signal - cancels the calls.
   * @returns the versions, sorted by zone and host name.
   */
  async collectAll(signal: AbortSignal): Promise<HostVersion[]> {
    const zones = new Map<string, string[]>();
    for (const {host, zone} of this.options.remoteHosts()) {
      zones.set(zone, [...(zones.get(zone) ?? []), host]);
    }
    const remoteVersions = [...zones].map(([zone, hosts]) =>
      this.collectRemoteZone(zone, hosts, signal),
    );
    const parts = await Promise.all([
      this.collectZone(signal),
      ...remoteVersions,
    ]);
    return parts.flat().sort(byZoneAndName);
  }

  private async collectZone(signal: AbortSignal): Promise<HostVersion[]> {
    const {network, sync, members} = this.options;
    return Promise.all(
      members().map(async ({host, zone}) => {
        const own = sync.position();
        if (host === network.self.host) {
          return {host, zone, version: own.version};
        }
        const options = {timeoutMs: CALL_TIMEOUT_MS, signal};
        const answer = await network.call(
          host,
          EXCHANGE_POSITIONS,
          own,
          options,
        );
        const version = answer.isOk() ? answer.value.version : null;
        return {host, zone, version};
      }),
    );
  }

  private async collectRemoteZone(
    zone: string,
    hosts: readonly string[],
    signal: AbortSignal,
  ): Promise<HostVersion[]> {
    const {network} = this.options;
    const options = {timeoutMs: ZONE_CALL_TIMEOUT_MS, signal};
    for (const host of hosts.slice(0, MAX_HOSTS_TRIED)) {
      const answer = await network.call(host, ZONE_VERSIONS, {}, options);
      if (answer.isOk()) return answer.value;
    }
    return hosts.map(host => ({host, zone, version: null}));
  }
}

function byZoneAndName(a: HostVersion, b: HostVersion): number {
  if (a.zone !== b.zone) return a.zone < b.zone ? -1 : 1;
  return a.host < b.host ? -1 : 1;
}
