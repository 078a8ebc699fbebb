/** Cuts between hosts and towards the log. @packageDocumentation */

import {
  HttpPlatformLog,
  LogError,
  LogPage,
  LogRecord,
  PlatformLog,
  ReadOptions,
} from '@fuchsiacleat/core';
import {Result, err} from 'neverthrow';

/** Where a host stands. */
export interface PlacedHost {
  name: string;
  zone: string;
}

/**
 * The cuts of a local cluster; they can be set and healed at any time.
 *
 * ```ts
 * cluster.cuts.cutLog('a-1');
 * cluster.cuts.cutZone('b');
 * cluster.cuts.heal();
 * ```
 */
export class Cuts {
  private readonly withoutLog = new Set<string>();
  private readonly withoutPeers = new Set<string>();

  /** @param hosts - every host of the cluster. */
  constructor(private readonly hosts: readonly PlacedHost[]) {}

  /** Cuts hosts off from the log; their calls in progress fail too. */
  cutLog(...hosts: string[]): void {
    for (const host of hosts) this.withoutLog.add(host);
  }

  /** Ends the cut between hosts and the log. */
  healLog(...hosts: string[]): void {
    for (const host of hosts) this.withoutLog.delete(host);
  }

  /** Cuts the link between two hosts, in both directions. */
  cutPeers(a: string, b: string): void {
    this.withoutPeers.add(pairOf(a, b));
  }

  /** Ends the cut between two hosts. */
  healPeers(a: string, b: string): void {
    this.withoutPeers.delete(pairOf(a, b));
  }

  /** Cuts the hosts of a zone off from the log and from all other zones. */
  cutZone(zone: string): void {
    const inside = this.hosts.filter(host => host.zone === zone);
    const outside = this.hosts.filter(host => host.zone !== zone);
    this.cutLog(...inside.map(host => host.name));
    for (const {name} of inside) {
      for (const other of outside) this.cutPeers(name, other.name);
    }
  }

  /** Ends every cut. */
  heal(): void {
    this.withoutLog.clear();
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
   * @param host - name of the host.
   * @param url - base URL of the log.
   * @returns the log as the host sees it.
   */
  logOf(host: string, url: string): PlatformLog {
    return new CutLog(new HttpPlatformLog(url), () => this.allowsLog(host));
  }
}

/** A log that can be cut off; a cut also loses answers on their way. */
class CutLog extends PlatformLog {
  constructor(
    private readonly inner: PlatformLog,
    private readonly allowed: () => boolean,
  ) {
    super();
  }

  override async append(
    stream: string,
    records: readonly LogRecord[],
    signal: AbortSignal,
  ): Promise<Result<number[], LogError>> {
    if (!this.allowed()) return cutOff();
    const answer = await this.inner.append(stream, records, signal);
    return this.allowed() ? answer : cutOff();
  }

  override async read(
    stream: string,
    from: number,
    options: ReadOptions,
  ): Promise<Result<LogPage, LogError>> {
    if (!this.allowed()) return cutOff();
    const answer = await this.inner.read(stream, from, options);
    return this.allowed() ? answer : cutOff();
  }
}

function cutOff(): Result<never, LogError> {
  return err({type: 'log-unavailable', message: 'the host is cut off'});
}

function pairOf(a: string, b: string): string {
  return [a, b].sort().join('\n');
}
