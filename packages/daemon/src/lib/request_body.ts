/** Reads request bodies and detects disconnected callers. @packageDocumentation */

import {ServerResponse} from 'node:http';
import {
  CallerMessage,
  Clock,
  Intake,
  REFUSAL,
  Refusal,
  UNREAD,
  UnreadReason,
  discardRest,
  readBody as readWithin,
  refuse,
} from '@fuchsiacleat/core';
import {Result, err, ok} from 'neverthrow';

/** Retry-after time of a refusal for lack of memory. */
const NO_MEMORY_RETRY_AFTER_MS = 1_000;

/**
 * Most of the rest of a refused body that is discarded, in largest bodies. The
 * connection of a caller that is little over the limit can be used again then.
 */
const REST_FACTOR = 2;

/** Time after which a connection is closed as idle, as by Node.js. */
const IDLE_TIMEOUT_MS = 6_000;

/** What bounds the bodies of callers. */
export interface BodyBounds {
  /** Largest body, in bytes. */
  maxBytes: number;
  intake: Intake;
  clock: Clock;
}

/**
 * Reads a complete body directly from the connection: a web stream would cost
 * more than the rest of the admission. Its memory counts until the response is
 * passed on.
 *
 * @param incoming - the caller's request.
 * @param outgoing - its response.
 * @param bounds - see {@link BodyBounds}.
 * @returns the body, or a refusal if it is too large or incomplete.
 */
export async function readBody(
  incoming: CallerMessage,
  outgoing: ServerResponse,
  bounds: BodyBounds,
): Promise<Result<Buffer, Refusal>> {
  const {intake, maxBytes} = bounds;
  const read = await readWithin(incoming, intake.account, {
    maxBytes,
    isFavored: true,
  });
  if (read.isErr()) {
    const reason = read.error;
    if (reason !== UNREAD.gone) intake.log.record(reason);
    void closeUnread(incoming, bounds);
    return err(refusalFor(reason, maxBytes));
  }
  const {bytes, holding} = read.value;
  holding.pin();
  if (outgoing.closed) holding.close();
  else outgoing.once('close', () => holding.close());
  return ok(bytes);
}

/**
 * Lets a caller read the refusal of a request that was not read completely. The
 * connection closes unless the rest is short.
 *
 * @param incoming - the caller's request.
 * @param bounds - see {@link BodyBounds}.
 */
export async function closeUnread(
  incoming: CallerMessage,
  {clock, maxBytes}: BodyBounds,
): Promise<void> {
  const maxRestBytes = maxBytes * REST_FACTOR;
  const {socket} = incoming;
  if (!(await discardRest(incoming, clock, maxRestBytes))) socket.destroySoon();
  // Node stops its idle timer when bytes arrive behind the response.
  else socket.setTimeout(IDLE_TIMEOUT_MS);
}

function refusalFor(reason: UnreadReason, maxBytes: number): Refusal {
  if (reason === UNREAD.tooLarge)
    return refuse(REFUSAL.tooLarge, `the body exceeds ${maxBytes} bytes`);
  if (reason === UNREAD.gone)
    return refuse(REFUSAL.badRequest, 'the body is not whole');
  const message = 'the host has no memory for the body';
  return refuse(REFUSAL.noCapacity, message, NO_MEMORY_RETRY_AFTER_MS);
}

/**
 * Creates a signal that aborts if the caller disconnects before the response
 * is complete.
 *
 * @param outgoing - the response to the caller's request.
 * @returns the signal.
 */
export function createCallerSignal(outgoing: ServerResponse): AbortSignal {
  const controller = new AbortController();
  outgoing.once('close', () => {
    if (!outgoing.writableFinished) controller.abort();
  });
  return controller.signal;
}
