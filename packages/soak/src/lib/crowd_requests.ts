/** What the callers of a crowd send. @packageDocumentation */

import {daemonHead} from './crowd_daemon.js';
import {ANSWER_PATH} from './crowd_host.js';
import {LAST_CHUNK, chunkedBody, crowdHead} from './crowd.js';

/** Largest body of the platform's configuration, in bytes. */
export const MAX_BODY_BYTES = 4_194_304;

/** Bytes by which the bodies of crowds stop short of their end. */
const SHORT_BYTES = 100;

const PIECE = Buffer.alloc(65_536, 'a');

/** Somewhat less than the parser takes of a head. */
const LARGE_FIELD = 'a'.repeat(60_000);

const SHORT_FIELD = `x-field: ${'a'.repeat(26)}\r\n`;

/** What one caller sends, in pieces; `id` is unique in the crowd. */
export type CrowdRequest = (id: string) => Iterable<Buffer>;

/** Returns many copies of a piece. */
export function* repeat(count: number, piece: Buffer): Generator<Buffer> {
  for (let i = 0; i < count; i++) yield piece;
}

/**
 * A body in chunks that stops short of its end.
 *
 * @param chunkBytes - length of each chunk.
 * @param bodyBytes - length of the body.
 * @param key - API key of the caller.
 */
export function shortBody(
  chunkBytes: number,
  bodyBytes = MAX_BODY_BYTES,
  key?: string,
): CrowdRequest {
  return function* (id) {
    yield crowdHead({id, key});
    yield* chunkedBody(bodyBytes - SHORT_BYTES, chunkBytes);
  };
}

/**
 * A body of an announced length that stops short of its end.
 *
 * @param pieces - number of pieces of 64 KiB that are sent.
 */
export function shortOfLength(pieces: number): CrowdRequest {
  return function* (id) {
    yield crowdHead({id, length: MAX_BODY_BYTES});
    yield* repeat(pieces, PIECE);
  };
}

/** Whole bodies of the largest size, one after another. */
export function wholeBodies(count: number): CrowdRequest {
  return function* (id) {
    for (let i = 0; i < count; i++) {
      yield crowdHead({id: `${id}-${i}`});
      yield* chunkedBody(MAX_BODY_BYTES, PIECE.length);
      yield LAST_CHUNK;
    }
  };
}

/** A body in 1-byte chunks behind requests whose answers are slow. */
export function* bodyBehindSlowAnswers(id: string): Generator<Buffer> {
  for (let i = 0; i < 10; i++)
    yield crowdHead({id: `${id}-${i}`, path: ANSWER_PATH.slow, length: 0});
  yield crowdHead({id});
  yield* chunkedBody(1_048_576, 1);
}

/** Many requests with large heads at once, whose answers are slow. */
export function* pipelinedHeads(id: string): Generator<Buffer> {
  const field = `x-field: ${'a'.repeat(15_000)}\r\n`;
  for (let i = 0; i < 60; i++) {
    const request = {id: `${id}-${i}`, path: ANSWER_PATH.slow, length: 0};
    const head = crowdHead(request).toString();
    yield Buffer.from(head.replace('\r\n\r\n', `\r\n${field}\r\n`));
  }
}

/** Many requests with large answers at once. */
export function* pipelinedLarge(id: string): Generator<Buffer> {
  for (let i = 0; i < 60; i++)
    yield crowdHead({id: `${id}-${i}`, path: ANSWER_PATH.large, length: 0});
}

/** A head of many fields that does not end. */
export function* openHead(id: string): Generator<Buffer> {
  const fields = SHORT_FIELD.repeat(1_600);
  yield Buffer.from(`GET /once/${id} HTTP/1.1\r\n${fields}`);
}

/** A trailer that does not end, behind a body. */
export function* openTrailer(id: string): Generator<Buffer> {
  yield crowdHead({id});
  yield Buffer.from(`0\r\nx-field: ${LARGE_FIELD}`);
}

/** Chunk extensions that do not end. */
export function* openExtension(id: string): Generator<Buffer> {
  yield crowdHead({id});
  yield* repeat(50, Buffer.from(`1;${LARGE_FIELD}`));
}

/** Requests to a daemon with a body that stops short of its announced length. */
export function* shortToDaemon(): Generator<Buffer> {
  yield daemonHead({length: MAX_BODY_BYTES});
  yield* repeat(63, PIECE);
}

/** A body to a daemon that is over the limit. */
export function* overLimitToDaemon(): Generator<Buffer> {
  yield daemonHead({});
  yield* chunkedBody(8 * MAX_BODY_BYTES, PIECE.length);
}

/** Whole bodies to a daemon, one after another. */
export function* wholeToDaemon(): Generator<Buffer> {
  for (let i = 0; i < 3; i++) {
    yield daemonHead({});
    yield* chunkedBody(MAX_BODY_BYTES, PIECE.length);
    yield LAST_CHUNK;
  }
}

/**
 * Many requests to a daemon at once.
 *
 * @param bodyBytes - length of the body of each.
 */
export function pipelinedToDaemon(bodyBytes: number): CrowdRequest {
  return function* () {
    for (let i = 0; i < 60; i++) {
      yield daemonHead({length: bodyBytes});
      yield Buffer.alloc(bodyBytes, 'a');
    }
  };
}

/** Nothing: the connection stays open. */
export function* silence(): Generator<Buffer> {}

/**
 * Many requests to a listener of another kind.
 *
 * @param path - path of the requests.
 * @param count - number of requests.
 */
export function manyRequests(path: string, count: number): CrowdRequest {
  const piece = Buffer.from(`GET ${path} HTTP/1.1\r\nhost: a\r\n\r\n`);
  return () => repeat(count, piece);
}

/** A frame of the links between hosts that stops short of its end. */
export function* shortFrame(): Generator<Buffer> {
  const length = Buffer.alloc(4);
  length.writeUInt32BE(MAX_BODY_BYTES);
  yield length;
  yield* repeat(63, PIECE);
}
