/** Servers that listen for connections. @packageDocumentation */

import {Server} from 'node:net';
import {Logger} from '../telemetry/logger.js';
import {Clock} from '../time/clock.js';
import {SocketAddress} from './socket_address.js';

/** Least time between two log lines about one listener, in milliseconds. */
const LINE_INTERVAL_MS = 1_000;

/** Options of {@link startListening}. */
export interface ListenerOptions extends SocketAddress {
  /** Constant name of the listener, for the log. */
  listener: string;
  clock: Clock;
  logger: Logger;
}

/**
 * Starts to listen. Node also reports a connection that can't be accepted, for
 * lack of memory for example, as an error of the server, which ends the process
 * if nothing handles it; such errors are logged.
 *
 * @param server - the server, which does not listen yet.
 * @param options - see {@link ListenerOptions}; port 0 chooses a free one.
 * @returns a promise that rejects if the address can't be bound.
 */
export function startListening(
  server: Server,
  {address, port, listener, clock, logger}: ListenerOptions,
): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, address, () => {
      server.off('error', reject);
      logErrors(server, listener, clock, logger);
      resolve();
    });
  });
}

function logErrors(
  server: Server,
  listener: string,
  clock: Clock,
  logger: Logger,
): void {
  let writtenMs = -Infinity;
  // Errors since the last line that have none of their own.
  let omitted = 0;
  server.on('error', ({code, message}: NodeJS.ErrnoException) => {
    const nowMs = clock.now();
    if (nowMs - writtenMs < LINE_INTERVAL_MS) {
      omitted += 1;
      return;
    }
    const fields = {listener, code, message, omitted: omitted || undefined};
    writtenMs = nowMs;
    omitted = 0;
    logger.error('accept_failed', fields);
  });
}
