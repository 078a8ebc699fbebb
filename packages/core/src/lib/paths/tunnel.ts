/** Passes bytes on between a client and a target. @packageDocumentation */

import {Socket} from 'node:net';
import {wasReset} from '../net/reset_check.js';
import {ListenerGuard, createGuard} from './listener_guard.js';
import {END_FRAME, frameHeader} from './tunnel_frames.js';

/** What has broken a tunnel. */
export const TUNNEL_SIDE = {
  client: 'client',
  target: 'target',
  /** The helper host itself. */
  host: 'host',
} as const;

/** One of {@link TUNNEL_SIDE}. */
export type TunnelSide = (typeof TUNNEL_SIDE)[keyof typeof TUNNEL_SIDE];

/** Why a tunnel has broken. */
export interface TunnelBreak {
  side: TunnelSide;
  /** Error code; undefined if there was no error. */
  code: string | undefined;
  /** The unexpected error of this process that has broken it, if any. */
  fault?: unknown;
}

const EMPTY = Buffer.alloc(0);

/**
 * Joins a connection of a client with one to a target. Reads from each no faster
 * than the other takes the bytes. The orderly end of one ends the other in order,
 * in this direction only; a reset or an error of one resets the other.
 */
export class Tunnel {
  private broken: TunnelBreak | undefined;
  private openSockets = 2;
  private hasTargetEnded = false;

  /**
   * @param client - receives frames, see {@link frameHeader}.
   * @param target - the established connection to the target.
   * @param onClosed - called when both connections are closed, with why they have
   *     broken; undefined if they were closed in order.
   */
  constructor(
    private readonly client: Socket,
    private readonly target: Socket,
    private readonly onClosed: (broken: TunnelBreak | undefined) => void,
  ) {}

  /**
   * Starts to pass bytes on.
   *
   * @param head - bytes that the client has already sent.
   */
  start(head: Buffer): void {
    const {client, target} = this;
    const guard = createGuard(fault =>
      this.break({side: TUNNEL_SIDE.host, code: undefined, fault}),
    );
    for (const socket of [client, target])
      socket.once('close', () => this.recordClosed());
    client.on('error', ({code}: NodeJS.ErrnoException) =>
      this.break({side: TUNNEL_SIDE.client, code}),
    );
    target.on('error', ({code}: NodeJS.ErrnoException) => {
      // What the target has sent is complete; the client has to receive it.
      if (this.hasTargetEnded) discardInput(client);
      else this.break({side: TUNNEL_SIDE.target, code});
    });
    const recordEnd = guard((side: 'client' | 'target') =>
      this.recordEnd(side),
    );
    client.on('end', () => recordEnd(TUNNEL_SIDE.client));
    target.on('end', () => recordEnd(TUNNEL_SIDE.target));
    if (head.length > 0) target.write(head);
    passOn(client, target, guard, bytes => target.write(bytes));
    passOn(target, client, guard, bytes => {
      client.cork();
      client.write(frameHeader(bytes.length));
      const isRead = client.write(bytes);
      client.uncork();
      return isRead;
    });
    // It may have ended while this host connected to the target.
    if (client.readableEnded) this.recordEnd(TUNNEL_SIDE.client);
  }

  /** Resets both connections; does nothing once they are closed. */
  break(broken: TunnelBreak): void {
    if (this.broken !== undefined || this.openSockets === 0) return;
    this.broken = broken;
    reset(this.client);
    reset(this.target);
  }

  private recordEnd(side: 'client' | 'target'): void {
    const {client, target} = this;
    const [from, to, last] =
      side === TUNNEL_SIDE.client
        ? [client, target, EMPTY]
        : [target, client, END_FRAME];
    // Once this host has ended its own side, a closed connection has no peer.
    if (!from.writableEnded && wasReset(from)) {
      this.break({side, code: 'ECONNRESET'});
      return;
    }
    if (side === TUNNEL_SIDE.target) this.hasTargetEnded = true;
    // A socket that has bytes to send before its end can't be reset.
    to.write(last, error => {
      if (!error) to.end();
    });
  }

  private recordClosed(): void {
    this.openSockets -= 1;
    if (this.openSockets === 0) this.onClosed(this.broken);
  }
}

function passOn(
  from: Socket,
  to: Socket,
  guard: ListenerGuard,
  write: (bytes: Buffer) => boolean,
): void {
  const pass = (bytes: Buffer) => {
    if (write(bytes)) return;
    from.pause();
    to.once('drain', () => from.resume());
  };
  from.on('data', guard(pass));
}

/** Reads to the end of a connection whose bytes nobody takes any more. */
function discardInput(socket: Socket): void {
  socket.removeAllListeners('data');
  socket.resume();
}

/**
 * Resets a connection. While Node sends its end, it would close the connection in
 * order instead, and the peer would take what it has received for complete.
 */
function reset(socket: Socket): void {
  const isEnding = socket.writableEnded && !socket.writableFinished;
  if (isEnding) socket.once('finish', () => socket.resetAndDestroy());
  else socket.resetAndDestroy();
}
