/** Wires the parts that keep the configuration in force. @packageDocumentation */

import {
  Clock,
  ConfigStore,
  ConfigSync,
  HostVersions,
  Logger,
  MemberTable,
  PeerAddress,
  PeerNetwork,
  Random,
  ZoneDirectory,
} from '@fuchsiacleat/core';

/** What {@link ConfigParts} are made from. */
export interface ConfigPartsOptions {
  store: ConfigStore;
  network: PeerNetwork;
  clock: Clock;
  logger: Logger;
  random: Random;
  seeds: readonly PeerAddress[] | undefined;
  members: MemberTable;
  zones: ZoneDirectory;
}

/** Follows the log and the peers. */
export class ConfigParts {
  /** Tells the versions of all hosts. */
  readonly versions: HostVersions;
  private readonly sync: ConfigSync;

  constructor(private readonly options: ConfigPartsOptions) {
    const {members, zones} = options;
    const seeds = (options.seeds ?? []).map(formatAddress);
    // One host of each other zone, so that few links cross zones.
    const remoteHosts = () => zones.preferredHosts(1);
    this.sync = new ConfigSync({...options, remoteHosts, seeds});
    this.versions = new HostVersions({
      network: options.network,
      sync: this.sync,
      members: () => members.all(),
      remoteHosts: () => zones.remoteHosts(),
    });
  }

  /**
   * Keeps the configuration current until the signal aborts.
   *
   * @param signal - ends the work.
   */
  run(signal: AbortSignal): void {
    void this.options.store.run(signal);
    void this.sync.run(signal);
    if (this.options.seeds === undefined) return;
    void this.sync.startFromSeeds(signal);
  }
}

/**
 * @param host - name of a host, or its address and port.
 * @returns the address, if it is one.
 */
export function parseAddress(host: string): PeerAddress | undefined {
  const match = /^(.+):(\d+)$/.exec(host);
  if (match === null) return undefined;
  return {address: match[1], port: Number(match[2])};
}

function formatAddress({address, port}: PeerAddress): string {
  return `${address}:${port}`;
}
