/** Callers that do not keep to the usual course of a request. @packageDocumentation */

import {Socket, connect} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {HOST_NAME, ROUTE_PATH, TEAM_KEY} from '@fuchsiacleat/local-cluster';

/** Most of an answer that a caller keeps, in characters. */
const MAX_KEPT = 500;

/**
 * A crowd has settled if the host has taken no bytes of it for this time. A host
 * that collects garbage on a busy machine took none for 1.5 s.
 */
const SETTLE_MS = 3_000;

/** Longest time until a crowd counts as settled. */
const MAX_SETTLE_MS = 30_000;
const POLL_MS = 50;

/** Head fields of a request of a crowd. */
export interface CrowdHead {
  id: string;
  /** Path below the route that is not repeatable. */
  path?: string;
  key?: string;
  /** Announced length of the body in bytes; chunks without. */
  length?: number;
}

/** Returns the head of a request. */
export function crowdHead({id, path, key, length}: CrowdHead): Buffer {
  const framing =
    length === undefined
      ? 'transfer-encoding: chunked'
      : `content-length: ${length}`;
  return Buffer.from(
    `POST ${ROUTE_PATH.once}${path ?? ''} HTTP/1.1\r\nhost: ${HOST_NAME}\r\n` +
      `x-fuchsiacleat-attempt-id: ${id}\r\n` +
      `x-fuchsiacleat-key: ${key ?? TEAM_KEY}\r\n${framing}\r\n\r\n`,
  );
}

/**
 * Returns a body in chunks, without the chunk that ends it, as pieces to write.
 *
 * @param bodyBytes - length of the body.
 * @param chunkBytes - length of each chunk but the last.
 */
export function* chunkedBody(
  bodyBytes: number,
  chunkBytes: number,
): Generator<Buffer> {
  const chunk = encodeChunk(chunkBytes);
  const perPiece = Math.max(1, Math.floor(65_536 / chunk.length));
  const piece = Buffer.concat(Array<Buffer>(perPiece).fill(chunk));
  let left = bodyBytes;
  for (; left >= perPiece * chunkBytes; left -= perPiece * chunkBytes)
    yield piece;
  for (; left >= chunkBytes; left -= chunkBytes) yield chunk;
  if (left > 0) yield encodeChunk(left);
}

/** The chunk that ends a body. */
export const LAST_CHUNK = Buffer.from('0\r\n\r\n');

function encodeChunk(bytes: number): Buffer {
  return Buffer.from(`${bytes.toString(16)}\r\n${'a'.repeat(bytes)}\r\n`);
}

/** A caller of a crowd on a connection of its own. */
export class CrowdCaller {
  /** Beginning of what was received. */
  text = '';
  isClosed = false;
  private readonly socket: Socket;

  /**
   * @param url - base URL of the host.
   * @param reads - whether the caller reads answers.
   */
  constructor(url: string, reads = true) {
    const {hostname, port} = new URL(url);
    this.socket = connect(Number(port), hostname);
    if (reads)
      this.socket.on('data', chunk => {
        if (this.text.length < MAX_KEPT) this.text += chunk.toString('latin1');
      });
    this.socket.on('close', () => (this.isClosed = true));
    // Hosts close connections of crowds.
    this.socket.on('error', () => (this.isClosed = true));
  }

  /** Bytes that were passed on to the operating system. */
  get sentBytes(): number {
    return this.socket.bytesWritten - this.socket.writableLength;
  }

  /**
   * Writes pieces as fast as the host takes them, until the connection ends or
   * an answer begins.
   */
  async send(pieces: Iterable<Buffer>): Promise<void> {
    for (const piece of pieces) {
      if (this.isClosed || this.text !== '') return;
      if (!this.socket.write(piece)) await this.untilDrained();
      // Lets answers and the end of the connection be noticed.
      else await new Promise(setImmediate);
    }
  }

  /** Closes the connection. */
  destroy(): void {
    this.socket.destroy();
  }

  private untilDrained(): Promise<void> {
    const {socket} = this;
    return new Promise(resolve => {
      const finish = () => {
        for (const event of ['drain', 'close', 'data'])
          socket.off(event, finish);
        resolve();
      };
      socket.once('drain', finish).once('close', finish);
      if (socket.listenerCount('data') > 0) socket.once('data', finish);
    });
  }
}

/** Waits until a host takes no more bytes of a crowd. */
export async function whenSettled(
  callers: readonly CrowdCaller[],
): Promise<void> {
  const endMs = performance.now() + MAX_SETTLE_MS;
  let changedMs = performance.now();
  let lastBytes = -1;
  while (performance.now() < endMs) {
    const bytes = callers.reduce((sum, caller) => sum + caller.sentBytes, 0);
    if (bytes !== lastBytes) changedMs = performance.now();
    lastBytes = bytes;
    if (performance.now() - changedMs > SETTLE_MS) return;
    await sleep(POLL_MS);
  }
}
