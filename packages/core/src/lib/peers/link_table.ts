/** The live links of a host, one for each peer. @packageDocumentation */

import {PeerLink} from './peer_link.js';
import {PeerIdentity} from './peer_network.js';

/** Links made within this time of each other were dialled at once. */
const SAME_TIME_MS = 2_000;

/** Keeps the link that new calls to a peer use. */
export class LinkTable {
  private readonly current = new Map<string, PeerLink>();

  /** @returns the live link to a peer. */
  get(host: string): PeerLink | undefined {
    const link = this.current.get(host);
    return link?.alive ? link : undefined;
  }

  /** @returns the peers to which a live link exists. */
  peers(): PeerIdentity[] {
    return [...this.current.values()]
      .filter(link => link.alive)
      .map(link => link.peer!);
  }

  /** @returns each peer's name and its link. */
  entries(): IterableIterator<[string, PeerLink]> {
    return this.current.entries();
  }

  /**
   * Takes a link whose peer has said hello. If there was one already, one of
   * the two is retired, the same one at both ends.
   *
   * @returns the link to use.
   */
  add(link: PeerLink): PeerLink {
    const {host, incarnation} = link.peer!;
    const known = this.get(host);
    if (known === undefined || known === link) {
      this.current.set(host, link);
      return link;
    }
    if (known.peer!.incarnation !== incarnation) {
      known.close('the peer was started again');
      this.current.set(host, link);
      return link;
    }
    const kept = choose(known, link);
    (kept === link ? known : link).retire();
    this.current.set(host, kept);
    return kept;
  }

  /** Removes a link that has ended. */
  remove(link: PeerLink): void {
    const host = link.peer?.host;
    if (host !== undefined && this.current.get(host) === link) {
      this.current.delete(host);
    }
  }
}

/**
 * If both ends dialled at once, the link of the host whose name comes first
 * stays; otherwise the peer has given up the older link.
 */
function choose(older: PeerLink, newer: PeerLink): PeerLink {
  const isSameTime = newer.sinceMs - older.sinceMs < SAME_TIME_MS;
  if (!isSameTime || older.dialler === newer.dialler) return newer;
  return older.dialler! < newer.dialler! ? older : newer;
}
