/** Tells a reset of a connection from its end. @packageDocumentation */

import {Socket} from 'node:net';

/**
 * Returns whether a connection whose reading has ended was reset.
 *
 * Node reports a reset that it finds together with the last bytes as the end,
 * without an error. A connection that was closed in order still has a peer
 * then, unless this process has ended its own side before. The peer must not be
 * read before, since Node remembers it.
 */
export function wasReset({remotePort}: Socket): boolean {
  return remotePort === undefined;
}
