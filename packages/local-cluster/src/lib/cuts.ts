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

const SILENT_MS = 5_000;

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
export class Cuts {
  private readonly withoutLog = new Set<string>();
  private readonly withSilentLog = new Set<string>();
  private readonly withoutPeers = new Set<string>();

  /** @param hosts - every host of the cluster. */
  constructor(private readonly hosts: readonly PlacedHost[]) {}

  /** Disconnects hosts from the log; their calls in progress fail too. */
  cutLog(...hosts: string[]): void {
    for (const host of hosts) this.withoutLog.add(host);
  }

  /** Reconnects hosts to the log. */
  healLog(...hosts: string[]): void {
    for (const host of hosts) this.withoutLog.delete(host);
  }

  /** Leaves log calls of the hosts without a response until they time out. */
  silenceLog(...hosts: string[]): void {
    for (const host of hosts) this.withSilentLog.add(host);
  }

  /** Disconnects two hosts from each other in both directions. */
  cutPeers(a: string, b: string): void {
    this.withoutPeers.add(pairOf(a, b));
  }

  /** Reconnects two hosts. */
  healPeers(a: string, b: string): void {
    this.withoutPeers.delete(pairOf(a, b));
  }

  /** Disconnects the hosts of a zone from the log and from all other zones. */
  cutZone(zone: string): void {
    const inside = this.hosts.filter(host => host.zone === zone);
    const outside = this.hosts.filter(host => host.zone !== zone);
    this.cutLog(...inside.map(host => host.name));
    for (const {name} of inside) {
      for (const other of outside) this.cutPeers(name, other.name);
    }
  }

  /** Removes all partitions. */
  heal(): void {
    this.withoutLog.clear();
    this.withSilentLog.clear();
    this.withoutPeers.clear();
  }

  /** @returns whether a host can reach the log. */
  allowsLog(host: string): boolean {
    return !this.withoutLog.has(host);
  }

  /** @returns whether two hosts can reach each other. */
  allowsPeer(host: string, peer: string): boolean {
    return !this.withoutPeers.has(pairOf(host, peer));
  }

  /**
   * Returns the log as a host sees it.
   *
   * @param host - name of the host.
   * @param url - base URL of the log.
   * @returns the log client.
   */
  logOf(host: string, url: string): PlatformLog {
    return new CutLog(new HttpPlatformLog(url), {
      isAllowed: () => this.allowsLog(host),
      isSilent: () => this.withSilentLog.has(host),
    });
  }
}

/** Log client whose disconnection also loses responses in transit. */
class CutLog extends PlatformLog {
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
    if (!isAllowed()) return cutOff();
    const answer = await call();
    // A silent call times out after some seconds, as in the real client.
    if (isSilent()) await sleep(SILENT_MS, signal);
    return isAllowed() && !isSilent() ? answer : cutOff();
  }
}

function sleep(ms: number, signal: AbortSignal): Promise<void> {
  return new SystemClock().sleep(ms, signal);
}

function cutOff(): Result<never, LogError> {
  return err({type: 'log-unavailable', message: 'the host is cut off'});
}

function pairOf(a: string, b: string): string {
  return [a, b].sort().join('\n');
}
