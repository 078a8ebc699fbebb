/** Simulates network partitions between hosts and from the log. @packageDocumentation */

import {
  HttpPlatformLog,
  LogError,
  LogPage,
  LogRecord,
  PlatformLog,
  ReadOptions,
  SystemClock,
} from '@fuchsiacleat/core';
import {Result, err} from 'neverthrow';

const SILENT_CALL_TIMEOUT_MS = 5_000;

/** Host with its zone. */
export interface PlacedHost {
  name: string;
  zone: string;
}

/**
 * Network partitions of a local cluster. They can be set and healed at any time.
 *
 * ```ts
 * cluster.partitions.partitionLog('a-1');
 * cluster.partitions.partitionZone('b');
 * cluster.partitions.heal();
 * ```
 */
export class NetworkPartitions {
  private readonly hostsWithoutLog = new Set<string>();
  private readonly hostsWithSilentLog = new Set<string>();
  private readonly partitionedPairs = new Set<string>();

  /** @param hosts - every host of the cluster. */
  constructor(private readonly hosts: readonly PlacedHost[]) {}

  /** Disconnects hosts from the log; their calls in progress fail too. */
  partitionLog(...hosts: string[]): void {
    for (const host of hosts) this.hostsWithoutLog.add(host);
  }

  /** Reconnects hosts to the log. */
  healLog(...hosts: string[]): void {
    for (const host of hosts) this.hostsWithoutLog.delete(host);
  }

  /** Leaves log calls of the hosts without a response until they time out. */
  silenceLog(...hosts: string[]): void {
    for (const host of hosts) this.hostsWithSilentLog.add(host);
  }

  /** Disconnects two hosts from each other in both directions. */
  partitionPeers(a: string, b: string): void {
    this.partitionedPairs.add(pairKey(a, b));
  }

  /** Reconnects two hosts. */
  healPeers(a: string, b: string): void {
    this.partitionedPairs.delete(pairKey(a, b));
  }

  /** Disconnects the hosts of a zone from the log and from all other zones. */
  partitionZone(zone: string): void {
    const inside = this.hosts.filter(host => host.zone === zone);
    const outside = this.hosts.filter(host => host.zone !== zone);
    this.partitionLog(...inside.map(host => host.name));
    for (const {name} of inside) {
      for (const other of outside) this.partitionPeers(name, other.name);
    }
  }

  /** Removes all partitions. */
  heal(): void {
    this.hostsWithoutLog.clear();
    this.hostsWithSilentLog.clear();
    this.partitionedPairs.clear();
  }

  /** @returns whether a host can reach the log. */
  canReachLog(host: string): boolean {
    return !this.hostsWithoutLog.has(host);
  }

  /** @returns whether two hosts can reach each other. */
  canReachPeer(host: string, peer: string): boolean {
    return !this.partitionedPairs.has(pairKey(host, peer));
  }

  /**
   * Returns the log as a host sees it.
   *
   * @param host - name of the host.
   * @param url - base URL of the log.
   * @returns the log client.
   */
  logOf(host: string, url: string): PlatformLog {
    return new PartitionedLog(new HttpPlatformLog(url), {
      isAllowed: () => this.canReachLog(host),
      isSilent: () => this.hostsWithSilentLog.has(host),
    });
  }
}

/** Log client whose disconnection also loses responses in transit. */
class PartitionedLog extends PlatformLog {
  constructor(
    private readonly inner: PlatformLog,
    private readonly state: {
      isAllowed: () => boolean;
      isSilent: () => boolean;
    },
  ) {
    super();
  }

  override async append(
    stream: string,
    records: readonly LogRecord[],
    signal: AbortSignal,
  ): Promise<Result<number[], LogError>> {
    return this.pass(signal, () => this.inner.append(stream, records, signal));
  }

  override async read(
    stream: string,
    from: number,
    options: ReadOptions,
  ): Promise<Result<LogPage, LogError>> {
    const {signal} = options;
    return this.pass(signal, () => this.inner.read(stream, from, options));
  }

  private async pass<T>(
    signal: AbortSignal,
    call: () => Promise<Result<T, LogError>>,
  ): Promise<Result<T, LogError>> {
    const {isAllowed, isSilent} = this.state;
    if (!isAllowed()) return unreachableError();
    const answer = await call();
    // A silent call times out after some seconds, as in the real client.
    if (isSilent()) await sleep(SILENT_CALL_TIMEOUT_MS, signal);
    return isAllowed() && !isSilent() ? answer : unreachableError();
  }
}

function sleep(ms: number, signal: AbortSignal): Promise<void> {
  return new SystemClock().sleep(ms, signal);
}

function unreachableError(): Result<never, LogError> {
  return err({type: 'log-unavailable', message: 'the host is cut off'});
}

function pairKey(a: string, b: string): string {
  return [a, b].sort().join('\n');
}
