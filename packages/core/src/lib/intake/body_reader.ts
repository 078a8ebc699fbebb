/** Reads bodies of requests within the account of the process. @packageDocumentation */

import {Result, err, ok} from 'neverthrow';
import {BodyBuffer} from './body_buffer.js';
import {CallerMessage, HOLD} from './caller_message.js';
import {MemoryAccount, MemoryHolding} from './memory_account.js';
import {readTurns} from './read_turns.js';

/** Why a body was not read. */
export const UNREAD = {
  /** The connection has ended. */
  gone: 'gone',
  tooLarge: 'too-large',
  /** The process needed the memory for others. */
  noMemory: 'no-memory',
  /** The caller's deadline has passed. */
  late: 'late',
} as const;

/** One of {@link UNREAD}. */
export type UnreadReason = (typeof UNREAD)[keyof typeof UNREAD];

/**
 * A body with the memory that it holds until the request has ended. Until it is
 * pinned, the process may give it up for others.
 */
export interface ReadBody {
  bytes: Buffer;
  holding: MemoryHolding;
}

/** Options of {@link readBody}. */
export interface BodyOptions {
  /** Largest body, in bytes. */
  maxBytes: number;
  /** Whether a small body never waits for memory. */
  isFavored: boolean;
  /** Aborts once the caller's deadline has passed. */
  deadline?: AbortSignal;
  /** Beginning of the body that was read before. */
  early?: Buffer;
}

/** Returns the announced length of a body; undefined if there is none. */
export function announcedLength(req: CallerMessage): number | undefined {
  const text = req.headers['content-length'];
  return text === undefined ? undefined : Number(text);
}

/** Returns whether a request has a body. */
export function hasBody(req: CallerMessage): boolean {
  return (
    req.headers['transfer-encoding'] !== undefined ||
    (announcedLength(req) ?? 0) > 0
  );
}

/**
 * Reads a whole body. What does not fit into the account is not received until
 * there is room; a body that was not read has given its memory back.
 *
 * @param req - the request.
 * @param account - account of the process.
 * @param options - see {@link BodyOptions}.
 * @returns the body, or why it was not read; the rest of it is then unread.
 */
export function readBody(
  req: CallerMessage,
  account: MemoryAccount,
  {maxBytes, isFavored, deadline, early}: BodyOptions,
): Promise<Result<ReadBody, UnreadReason>> {
  const announced = announcedLength(req);
  if ((announced ?? 0) > maxBytes) return Promise.resolve(err(UNREAD.tooLarge));
  return new Promise(resolve => {
    const body = new BodyBuffer();
    const {socket} = req;
    const holding = account.open({
      isFavored,
      evict: () => fail(UNREAD.noMemory),
      resume: () => req.release(HOLD.memory),
    });
    const stop = () => {
      req.stopConsuming();
      req.off('end', onEnd);
      req.off('close', onGone).off('error', onGone);
      deadline?.removeEventListener('abort', onLate);
    };
    const fail = (reason: UnreadReason) => {
      stop();
      body.clear();
      holding.close();
      resolve(err(reason));
    };
    const finish = (bytes: Buffer) => {
      stop();
      holding.stopWaiting();
      req.release(HOLD.memory);
      resolve(ok({bytes, holding}));
    };
    const onData = (chunk: Buffer) => {
      holding.recordMoved(chunk.length);
      readTurns.recordChunk(socket, chunk.length);
      if (chunk.length === announced) {
        // No copy of a body that has come as a whole.
        holding.grow(chunk.buffer.byteLength);
        req.off('end', onEnd).once('end', () => finish(chunk));
        return;
      }
      store(chunk);
    };
    const store = (chunk: Buffer) => {
      if (body.length + chunk.length > maxBytes) fail(UNREAD.tooLarge);
      else if (!holding.grow(body.append(chunk))) req.hold(HOLD.memory);
    };
    const onEnd = () => finish(body.take());
    const onGone = () => fail(UNREAD.gone);
    const onLate = () => fail(UNREAD.late);
    if (early !== undefined) store(early);
    if (req.readableEnded) {
      onEnd();
      return;
    }
    req.on('end', onEnd).consume(onData);
    req.on('close', onGone).on('error', onGone);
    deadline?.addEventListener('abort', onLate);
  });
}
