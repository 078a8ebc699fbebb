/** Components that keep a host's configuration up to date. @packageDocumentation */

import {
  Clock,
  ConfigStore,
  ConfigSync,
  HostVersionCollector,
  Logger,
  MemberTable,
  PeerAddress,
  PeerNetwork,
  Random,
  ZoneDirectory,
} from '@fuchsiacleat/core';

/** Options of {@link ConfigComponents}. */
export interface ConfigComponentsOptions {
  store: ConfigStore;
  network: PeerNetwork;
  clock: Clock;
  logger: Logger;
  random: Random;
  seeds: readonly PeerAddress[] | undefined;
  members: MemberTable;
  zones: ZoneDirectory;
}

/** Reads the configuration from the log and synchronizes it with peers. */
export class ConfigComponents {
  /** Collects the configuration versions in force on all hosts. */
  readonly versions: HostVersionCollector;
  private readonly sync: ConfigSync;

  constructor(private readonly options: ConfigComponentsOptions) {
    const {members, zones} = options;
    const seeds = (options.seeds ?? []).map(formatAddress);
    // Only one host per remote zone, to limit the links between zones.
    const remoteHosts = () => zones.preferredHosts(1);
    this.sync = new ConfigSync({...options, remoteHosts, seeds});
    this.versions = new HostVersionCollector({
      network: options.network,
      sync: this.sync,
      members: () => members.all(),
      remoteHosts: () => zones.remoteHosts(),
    });
  }

  /**
   * Keeps the configuration up to date until the signal aborts.
   *
   * @param signal - stops the tasks.
   */
  run(signal: AbortSignal): void {
    void this.options.store.run(signal);
    void this.sync.run(signal);
    if (this.options.seeds === undefined) return;
    void this.sync.startFromSeeds(signal);
  }
}

/**
 * Parses an address of the form `address:port`.
 *
 * @param host - name of a host, or its address and port.
 * @returns the address, or undefined if the text is a host name.
 */
export function parseAddress(host: string): PeerAddress | undefined {
  const match = /^(.+):(\d+)$/.exec(host);
  if (match === null) return undefined;
  return {address: match[1], port: Number(match[2])};
}

function formatAddress({address, port}: PeerAddress): string {
  return `${address}:${port}`;
}
