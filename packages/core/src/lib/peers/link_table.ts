/** Table of the live links of a host. @packageDocumentation */

import {PeerLink} from './peer_link.js';
import {PeerIdentity} from './peer_network.js';

/**
 * Links created within this time of each other count as dialled simultaneously.
 */
const SIMULTANEOUS_DIAL_WINDOW_MS = 2_000;

/** Maps each peer to the link that new calls use. */
export class LinkTable {
  private readonly current = new Map<string, PeerLink>();

  /** @returns the live link to a peer, or undefined if there is none. */
  get(host: string): PeerLink | undefined {
    const link = this.current.get(host);
    return link?.isAlive ? link : undefined;
  }

  /** @returns the peers that have a live link. */
  peers(): PeerIdentity[] {
    return [...this.current.values()]
      .filter(link => link.isAlive)
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
    const existing = this.get(host);
    if (existing === undefined || existing === link) {
      this.current.set(host, link);
      return link;
    }
    if (existing.peer!.incarnation !== incarnation) {
      existing.close('the peer was restarted');
      this.current.set(host, link);
      return link;
    }
    const kept = chooseLink(existing, link);
    (kept === link ? existing : link).retire();
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
function chooseLink(older: PeerLink, newer: PeerLink): PeerLink {
  const isSimultaneous =
    newer.createdMs - older.createdMs < SIMULTANEOUS_DIAL_WINDOW_MS;
  if (!isSimultaneous || older.dialler === newer.dialler) return newer;
  return older.dialler! < newer.dialler! ? older : newer;
}
