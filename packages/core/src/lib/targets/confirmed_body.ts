/** Bodies of answers that only their connection ends. @packageDocumentation */

import {Readable} from 'node:stream';

/**
 * Returns a body that fails instead of ending if the process that sent it has
 * ended, as the operating system closes its connections in order.
 *
 * @param body - the body, up to the end of its connection.
 * @param hasEnded - returns whether the process is known to have ended.
 */
export function confirmEnd(
  body: Readable,
  hasEnded: () => Promise<boolean>,
): Readable {
  const chunks = readToConfirmedEnd(body, hasEnded);
  const confirmed = Readable.from(chunks, {objectMode: false});
  // Also if the body was never read, which the generator does not notice.
  confirmed.once('close', () => discard(body));
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
  hasEnded: () => Promise<boolean>,
): AsyncGenerator<Buffer> {
  for await (const chunk of body) yield chunk as Buffer;
  if (await hasEnded()) throw new Error('the process ended with its answer');
}
