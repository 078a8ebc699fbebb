/** Links between the members of a zone. @packageDocumentation */

import {MemberTable} from './member_table.js';

/** Maintains links; see `TcpPeerNetwork.maintainLink`. */
export interface LinkMaintainer {
  maintainLink(host: string, signal: AbortSignal): Promise<void>;
}

/** Maintains a link to every other member of this host's zone. */
export class ZoneLinks {
  private readonly kept = new Map<string, AbortController>();

  /**
   * @param self - name of this host.
   * @param members - members of the zone.
   * @param maintainer - maintains the links.
   */
  constructor(
    private readonly self: string,
    private readonly members: MemberTable,
    private readonly maintainer: LinkMaintainer,
  ) {}

  /**
   * Updates the links after each change of the members until the signal aborts.
   */
  run(signal: AbortSignal): void {
    this.members.onChange(() => this.update(signal));
    signal.addEventListener('abort', () => this.dropAll());
    this.update(signal);
  }

  private update(signal: AbortSignal): void {
    if (signal.aborted) return;
    const wanted = new Set(this.members.known().map(({host}) => host));
    wanted.delete(this.self);
    for (const host of wanted) {
      if (this.kept.has(host)) continue;
      const end = new AbortController();
      this.kept.set(host, end);
      void this.maintainer.maintainLink(host, end.signal);
    }
    for (const [host, end] of this.kept) {
      if (wanted.has(host)) continue;
      end.abort();
      this.kept.delete(host);
    }
  }

  private dropAll(): void {
    for (const end of this.kept.values()) end.abort();
    this.kept.clear();
  }
}
