/** Reads request bodies and detects disconnected callers. @packageDocumentation */

import {IncomingMessage, ServerResponse} from 'node:http';
import {REFUSAL, Refusal, refuse} from '@fuchsiacleat/core';
import {Result, err, ok} from 'neverthrow';

/**
 * Reads a complete body directly from the connection: a web stream would cost
 * more than the rest of the admission.
 *
 * @param incoming - the caller's request.
 * @param maxBytes - maximum size of the body.
 * @returns the body, or a refusal if it is too large or incomplete.
 */
export function readBody(
  incoming: IncomingMessage,
  maxBytes: number,
): Promise<Result<Buffer, Refusal>> {
  const tooLarge = refuse(
    REFUSAL.tooLarge,
    `the body exceeds ${maxBytes} bytes`,
  );
  if (Number(incoming.headers['content-length'] ?? 0) > maxBytes) {
    return Promise.resolve(err(tooLarge));
  }
  return new Promise(resolve => {
    const chunks: Buffer[] = [];
    let bytes = 0;
    const finish = (result: Result<Buffer, Refusal>) => {
      incoming.off('data', onData).off('end', onEnd).off('close', onClose);
      resolve(result);
    };
    const onData = (chunk: Buffer) => {
      bytes += chunk.length;
      chunks.push(chunk);
      if (bytes <= maxBytes) return;
      incoming.pause();
      finish(err(tooLarge));
    };
    const onEnd = () => finish(ok(Buffer.concat(chunks)));
    const onClose = () =>
      finish(err(refuse(REFUSAL.badRequest, 'the body is not whole')));
    incoming.on('data', onData).on('end', onEnd).on('close', onClose);
  });
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
