/** Connects to the targets of tunnels. @packageDocumentation */

import {Socket} from 'node:net';
import {Result, err, ok} from 'neverthrow';
import {SocketAddress} from '../net/socket_address.js';
import {Clock} from '../time/clock.js';
import {TUNNEL_REFUSAL, TunnelRefusal} from './tunnel_refusal.js';
import {connectTunnelSocket} from './socket_setup.js';

/** Time limit for the connection to a target, in milliseconds. */
const CONNECT_TIMEOUT_MS = 300;

/** Errors that have their cause in this host, not in the target or on the way. */
const LOCAL_CODES: ReadonlySet<string> = new Set([
  'EADDRNOTAVAIL',
  'EMFILE',
  'ENFILE',
  'ENOBUFS',
  'ENOMEM',
]);

/**
 * Connects to a target.
 *
 * @param address - address of the target.
 * @param clock - limits the time.
 * @param signal - ends the attempt as if the time were over.
 * @returns the connection, which allows for half-open use and is not read yet, or
 *     why there is none.
 */
export function dialTarget(
  address: SocketAddress,
  clock: Clock,
  signal: AbortSignal,
): Promise<Result<Socket, TunnelRefusal>> {
  return new Promise(resolve => {
    const socket = connectTunnelSocket(address, true);
    const finish = (result: Result<Socket, TunnelRefusal>) => {
      timer.cancel();
      signal.removeEventListener('abort', giveUp);
      if (result.isErr()) socket.destroy();
      resolve(result);
    };
    const giveUp = () => finish(err(TUNNEL_REFUSAL.targetUnreachable));
    const timer = clock.after(CONNECT_TIMEOUT_MS, giveUp);
    signal.addEventListener('abort', giveUp);
    socket.on('error', ({code}: NodeJS.ErrnoException) =>
      finish(err(classifyError(code ?? ''))),
    );
    socket.once('connect', () => finish(ok(socket)));
  });
}

function classifyError(code: string): TunnelRefusal {
  if (code === 'ECONNREFUSED') return TUNNEL_REFUSAL.targetRefused;
  if (LOCAL_CODES.has(code)) return TUNNEL_REFUSAL.noResources;
  return TUNNEL_REFUSAL.targetUnreachable;
}
