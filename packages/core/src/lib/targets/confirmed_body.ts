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
  return Readable.from(readToConfirmedEnd(body, hasEnded), {
    objectMode: false,
  });
}

async function* readToConfirmedEnd(
  body: Readable,
  hasEnded: () => Promise<boolean>,
): AsyncGenerator<Buffer> {
  try {
    for await (const chunk of body) yield chunk as Buffer;
    if (await hasEnded()) throw new Error('the process ended with its answer');
  } finally {
    body.destroy();
  }
}
