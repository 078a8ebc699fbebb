/** Checks whether a process listens. @packageDocumentation */

import {connect} from 'node:net';

/** Time limit for the connection, in milliseconds. */
const CHECK_TIMEOUT_MS = 150;

/** Errors of a connection to a port without a listener. */
const REFUSED_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'ECONNRESET',
]);

/** Where a process may listen. */
export interface Listener {
  /** Host name or IP address. */
  host: string;
  port: number;
}

/**
 * Connects to a process without sending anything.
 *
 * @param listener - where it listened before.
 * @returns whether it accepts connections; undefined if it did not reply in
 *     time.
 */
export function isListening(listener: Listener): Promise<boolean | undefined> {
  return new Promise(resolve => {
    const socket = connect(listener);
    const finish = (isAccepted: boolean | undefined) => {
      socket.destroy();
      resolve(isAccepted);
    };
    socket.setTimeout(CHECK_TIMEOUT_MS, () => finish(undefined));
    socket.on('connect', () => finish(true));
    socket.on('error', ({code}: NodeJS.ErrnoException) =>
      finish(REFUSED_CODES.has(code ?? '') ? false : undefined),
    );
  });
}
