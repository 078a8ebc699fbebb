/** Lets a caller read an answer before its connection closes. @packageDocumentation */

import {Clock} from '../time/clock.js';
import {CallerMessage, HOLD} from './caller_message.js';
import {readTurns} from './read_turns.js';

/** Bytes of the rest of a request that are read and discarded by default. */
const MAX_DISCARDED_BYTES = 262_144;

/** Longest time for which a refused connection stays open, in milliseconds. */
const MAX_LINGER_MS = 2_000;

/**
 * Discards the rest of a request until its end, or waits without reading once a
 * bounded amount has come. Closing a connection with unread bytes resets it, and
 * a caller that is still sending would not see the answer.
 *
 * @param req - the request, whose answer has been written.
 * @param clock - limits the time.
 * @param maxBytes - largest number of bytes to discard.
 * @returns whether all of the request was read.
 */
export function discardRest(
  req: CallerMessage,
  clock: Clock,
  maxBytes = MAX_DISCARDED_BYTES,
): Promise<boolean> {
  if (req.complete) {
    req.resume();
    return Promise.resolve(true);
  }
  return new Promise(resolve => {
    let bytes = 0;
    const {socket} = req;
    const finish = (isWhole: boolean) => {
      timer.cancel();
      req.stopConsuming();
      req.off('end', onEnd).off('close', onClose);
      resolve(isWhole);
    };
    const onData = (chunk: Buffer) => {
      bytes += chunk.length;
      readTurns.recordChunk(socket, chunk.length);
      if (bytes > maxBytes) req.hold(HOLD.rest);
    };
    const onEnd = () => finish(true);
    const onClose = () => finish(false);
    const timer = clock.after(MAX_LINGER_MS, () => finish(false));
    req.on('end', onEnd).on('close', onClose).consume(onData);
    req.release(HOLD.memory);
  });
}
