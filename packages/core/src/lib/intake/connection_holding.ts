/** Counts what a connection holds beside bodies and answers. @packageDocumentation */

import {Socket} from 'node:net';
import {CallerMessage} from './caller_message.js';
import {ConnectionReads} from './connection_reads.js';
import {MemoryAccount, MemoryHolding} from './memory_account.js';

/** Memory of a request without its head, in bytes. */
const REQUEST_BYTES = 16_384;

/** Memory of a byte of a head, whose fields are strings of their own. */
const HEAD_FACTOR = 2;

/** Bytes of an unfinished head that do not count, as most heads are shorter. */
const MIN_UNFINISHED_BYTES = 4_096;

/** Most bytes of an unfinished head or trailer that the HTTP parser keeps. */
const MAX_UNFINISHED_BYTES = 65_536;

/** Returns the length of the head of a request, in bytes. */
export function headLength({rawHeaders}: CallerMessage): number {
  return rawHeaders.reduce((sum, text) => sum + text.length + 2, 0);
}

/**
 * Counts what the HTTP parser keeps of a head or a trailer that has not ended,
 * and the requests behind the first unanswered one. The connection closes if the
 * account needs the memory.
 */
export class ConnectionHolding {
  private holding: MemoryHolding | undefined;
  private readonly unanswered = new Map<CallerMessage, number>();
  /** The last request, until it has been received completely. */
  private unfinished: CallerMessage | undefined;
  /** Bytes that the connection had brought when its last request ended. */
  private readBytes = 0;
  /** Bytes that it and the body of the last request had brought at the last check. */
  private checkedBytes = 0;
  private checkedBodyBytes = 0;

  /**
   * @param socket - the connection.
   * @param account - counts the bytes.
   * @param onEvicted - called when the connection is closed for its memory.
   */
  constructor(
    private readonly socket: Socket,
    private readonly account: MemoryAccount,
    private readonly onEvicted: () => void,
  ) {
    socket.once('close', () => this.holding?.close());
  }

  /** Number of requests that are unanswered. */
  get unansweredCount(): number {
    return this.unanswered.size;
  }

  /** Records that the head of a request has arrived. */
  beginRequest(req: CallerMessage): void {
    const bytes = REQUEST_BYTES + headLength(req) * HEAD_FACTOR;
    this.unanswered.set(req, bytes);
    this.unfinished = req;
    if (this.unanswered.size > 1) this.update(0);
  }

  /** Records that nothing more of a request is to be received. */
  recordRead(req: CallerMessage): void {
    if (this.unfinished !== req) return;
    this.unfinished = undefined;
    this.readBytes = this.socket.bytesRead;
  }

  /** Records that the answer to a request has been passed on, or ended. */
  endRequest(req: CallerMessage): void {
    this.unanswered.delete(req);
    if (this.holding === undefined) return;
    this.holding.recordProgress();
    this.update(0);
  }

  /** Counts what has arrived of a head or trailer that has not ended. */
  check(): void {
    const {bytesRead} = this.socket;
    const bodyBytes = this.unfinished?.bodyBytes ?? 0;
    const hasBodyGrown = bodyBytes !== this.checkedBodyBytes;
    const movedBytes = bytesRead - this.checkedBytes;
    this.checkedBytes = bytesRead;
    this.checkedBodyBytes = bodyBytes;
    const bytes = bytesRead - this.readBytes;
    const isShort = bytes < MIN_UNFINISHED_BYTES;
    if (this.holding === undefined && (isShort || hasBodyGrown)) return;
    this.holding?.recordMoved(movedBytes);
    const isBody = hasBodyGrown || ConnectionReads.of(this.socket).isHeld;
    const counted = isShort || isBody ? 0 : bytes;
    this.update(Math.min(counted, MAX_UNFINISHED_BYTES) * HEAD_FACTOR);
  }

  private update(unfinishedBytes: number): void {
    let bytes = unfinishedBytes;
    let isFirst = true;
    for (const requestBytes of this.unanswered.values()) {
      // The number of connections bounds what the first ones hold.
      if (!isFirst) bytes += requestBytes;
      isFirst = false;
    }
    if (this.socket.destroyed) return;
    this.holding ??= this.open();
    this.holding.resize(bytes);
  }

  private open(): MemoryHolding {
    return this.account.open({
      isFavored: false,
      evict: () => {
        this.onEvicted();
        this.socket.destroy();
      },
      resume: () => {},
    });
  }
}
