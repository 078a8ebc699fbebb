/** Bodies of answers that only their connection ends. @packageDocumentation */

import {Readable} from 'node:stream';
import {ProcessWatch, WATCH_RESULT} from '../net/process_watch.js';

/** Time limit for a sign that a process has outlived its answer. */
const WATCH_TIMEOUT_MS = 1_000;

const NEVER = new AbortController().signal;

/**
 * Returns a body that ends only if the process that sent it is known to have
 * outlived the end, and else fails: the operating system closes the connections
 * of a killed process in order.
 *
 * @param body - the body, up to the end of its connection.
 * @param watch - a watch of the process that began before; it is closed with the
 *     body.
 */
export function confirmEnd(body: Readable, watch: ProcessWatch): Readable {
  const chunks = readToConfirmedEnd(body, watch);
  const confirmed = Readable.from(chunks, {objectMode: false});
  // Also if the body was never read, which the generator does not notice.
  confirmed.once('close', () => {
    discard(body);
    watch.close();
  });
  return confirmed;
}

/**
 * Ends a body that nobody reads any more.
 *
 * @param body - the body of a response.
 */
export function discard(body: Readable): void {
  // The client reports the end that this causes as an error.
  body.on('error', () => {});
  body.destroy();
}

async function* readToConfirmedEnd(
  body: Readable,
  watch: ProcessWatch,
): AsyncGenerator<Buffer> {
  for await (const chunk of body) {
    watch.recordReceived();
    yield chunk as Buffer;
  }
  const result = await watch.check(WATCH_TIMEOUT_MS, NEVER);
  if (result !== WATCH_RESULT.outlived)
    throw new Error(`nothing shows that the answer is complete: ${result}`);
}
