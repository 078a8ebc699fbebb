/** Requests whose connection can be held. @packageDocumentation */

import {IncomingMessage} from 'node:http';
import {ConnectionReads} from './connection_reads.js';

/** Reasons for which a connection is not read. */
export const HOLD = {
  /** The account has no memory for more. */
  memory: 'memory',
  /** Other connections have their turn. */
  turn: 'turn',
  /** The rest of the request is not wanted. */
  rest: 'rest',
} as const;

/** One of {@link HOLD}. */
export type HoldReason = (typeof HOLD)[keyof typeof HOLD];

/**
 * A request whose connection is not read while it is held. What was read before
 * still arrives, unlike that of a paused stream, which would keep each chunk as
 * an object of its own.
 */
export class CallerMessage extends IncomingMessage {
  private readonly holds = new Set<HoldReason>();

  /** Stops to read the connection until each reason is released. */
  hold(reason: HoldReason): void {
    this.holds.add(reason);
    ConnectionReads.of(this.socket).hold(this);
  }

  /** Ends a reason; the connection is read again after the last one. */
  release(reason: HoldReason): void {
    if (this.holds.delete(reason) && this.holds.size === 0)
      ConnectionReads.of(this.socket).release(this);
  }

  // eslint-disable-next-line @typescript-eslint/naming-convention -- Node's name
  override _read(size: number): void {
    // Node reads the connection on when the stream has room.
    if (!ConnectionReads.of(this.socket).isHeld) super._read(size);
  }
}
