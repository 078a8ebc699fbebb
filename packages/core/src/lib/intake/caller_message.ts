/** Requests whose connection can be held. @packageDocumentation */

import {IncomingMessage} from 'node:http';
import {ConnectionReads} from './connection_reads.js';

/** Reasons for which a request holds its connection. */
export const HOLD = {
  /** The account has no memory for more. */
  memory: 'memory',
  /** Many earlier requests of the connection are unanswered. */
  pipelined: 'pipelined',
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
  private consumer: ((chunk: Buffer) => void) | undefined;
  private receivedBytes = 0;

  /** Bytes of the body that have arrived. */
  get bodyBytes(): number {
    return this.receivedBytes;
  }

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

  /**
   * Passes the chunks of the body on as the parser finds them. A stream would
   * spend more time on a small chunk than the parser.
   *
   * @param consumer - called with each chunk; replaces an earlier one.
   */
  consume(consumer: (chunk: Buffer) => void): void {
    this.stopConsuming();
    this.consumer = consumer;
    // What has arrived before, and the end, come by the stream.
    this.on('data', consumer);
  }

  /** Ends {@link CallerMessage.consume}; what arrives later is lost. */
  stopConsuming(): void {
    if (this.consumer !== undefined) this.off('data', this.consumer);
    this.consumer = undefined;
  }

  override push(chunk: Buffer | null, encoding?: BufferEncoding): boolean {
    if (chunk === null) return super.push(chunk);
    this.receivedBytes += chunk.length;
    if (this.consumer === undefined || this.readableLength > 0)
      return super.push(chunk, encoding);
    this.consumer(chunk);
    return true;
  }

  // eslint-disable-next-line @typescript-eslint/naming-convention -- Node's name
  override _read(size: number): void {
    // Node reads the connection on when the stream has room.
    if (!ConnectionReads.of(this.socket).isHeld) super._read(size);
  }
}
