/** Table of the live links of a host. @packageDocumentation */

import {PeerLink} from './peer_link.js';
import {PeerIdentity} from './peer_network.js';

/**
 * Links created within this time of each other count as dialled simultaneously.
 */
const SAME_TIME_MS = 2_000;

/** Maps each peer to the link that new calls use. */
export class LinkTable {
  private readonly current = new Map<string, PeerLink>();

  /** @returns the live link to a peer, or undefined if there is none. */
  get(host: string): PeerLink | undefined {
    const link = this.current.get(host);
    return link?.alive ? link : undefined;
  }

  /** @returns the peers that have a live link. */
  peers(): PeerIdentity[] {
    return [...this.current.values()]
      .filter(link => link.alive)
      .map(link => link.peer!);
  }

  /** @returns the name and the link of each peer. */
  entries(): IterableIterator<[string, PeerLink]> {
    return this.current.entries();
  }

  /**
   * Adds a link after its handshake. If the peer already has a link, one of the
   * two is retired; both ends choose the same one.
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
      known.close('the peer was restarted');
      this.current.set(host, link);
      return link;
    }
    const kept = choose(known, link);
    (kept === link ? known : link).retire();
    this.current.set(host, kept);
    return kept;
  }

  /** Removes a closed link. */
  remove(link: PeerLink): void {
    const host = link.peer?.host;
    if (host !== undefined && this.current.get(host) === link) {
      this.current.delete(host);
    }
  }
}

/**
 * Chooses which of two links to the same peer to keep. If both ends dialled
 * simultaneously, this is the link that was dialled by the host whose name
 * sorts first. Otherwise it is the newer one, because the peer has given up the
 * older link.
 */
function choose(older: PeerLink, newer: PeerLink): PeerLink {
  const isSameTime = newer.sinceMs - older.sinceMs < SAME_TIME_MS;
  if (!isSameTime || older.dialler === newer.dialler) return newer;
  return older.dialler! < newer.dialler! ? older : newer;
}
