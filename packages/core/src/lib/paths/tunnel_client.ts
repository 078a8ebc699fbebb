/** Opens connections to targets through helper hosts. @packageDocumentation */

import {request} from 'node:http';
import {Result, err, ok} from 'neverthrow';
import {errors} from 'undici';
import {SocketAddress} from '../net/socket_address.js';
import {
  ESTABLISHED,
  REFUSAL_STATUS,
  TUNNEL_REFUSAL,
  TunnelRefusal,
} from './tunnel_refusal.js';
import {TunnelSocket} from './tunnel_socket.js';
import {connectTunnelSocket} from './socket_setup.js';

/** Code of {@link TunnelError}. */
export const TUNNEL_ERROR_CODE = 'ERR_TUNNEL';

const MAX_HEAD_BYTES = 2_048;

/** The helper host provides no tunnel; nothing is known of the target. */
export class TunnelError extends Error {
  readonly code = TUNNEL_ERROR_CODE;

  /**
   * @param reason - why: one of {@link TunnelRefusal} if the helper host has
   *     answered, else the code of the error or `timeout`.
   */
  constructor(readonly reason: string) {
    super(`the helper host provides no tunnel: ${reason}`);
  }
}

/** A tunnel to open. */
export interface TunnelOptions {
  /** Where the helper host serves tunnels. */
  helper: SocketAddress;
  /** IP address and port of the target, as registered. */
  target: string;
  /** Time limit for the connection to the helper host and on to the target. */
  timeoutMs: number;
}

/**
 * Opens a connection to a target through a helper host.
 *
 * @param options - see {@link TunnelOptions}.
 * @returns the connection, or an error after which no byte has reached the
 *     target: {@link TunnelError} for a failure of the helper host; for one of the
 *     target the same codes as without a tunnel, `ECONNREFUSED` and
 *     `UND_ERR_CONNECT_TIMEOUT`.
 */
export function openTunnel({
  helper,
  target,
  timeoutMs,
}: TunnelOptions): Promise<Result<TunnelSocket, NodeJS.ErrnoException>> {
  return new Promise(resolve => {
    const socket = connectTunnelSocket(helper);
    const fail = (error: Error) => {
      clearTimeout(timer);
      socket.destroy();
      resolve(err(error));
    };
    const failWith = ({code, message}: NodeJS.ErrnoException) =>
      fail(new TunnelError(code ?? message));
    const timer = setTimeout(() => fail(new TunnelError('timeout')), timeoutMs);
    socket.on('error', failWith);
    socket.once('connect', () => {
      const req = request({
        createConnection: () => socket,
        method: 'CONNECT',
        path: target,
        headers: {host: target, forwarded: `for=${socket.localAddress}`},
        maxHeaderSize: MAX_HEAD_BYTES,
      });
      req.on('error', failWith);
      req.on('connect', ({statusCode, statusMessage}, unusedSocket, head) => {
        if (statusCode !== ESTABLISHED) {
          fail(refusalError(target, statusCode, statusMessage));
          return;
        }
        clearTimeout(timer);
        socket.off('error', failWith);
        resolve(ok(new TunnelSocket(socket, head)));
      });
      req.end();
    });
  });
}

/** Returns the error for a refusal of the helper host. */
function refusalError(
  target: string,
  status: number | undefined,
  reason: string | undefined,
): Error {
  switch (status) {
    case REFUSAL_STATUS[TUNNEL_REFUSAL.targetRefused]: {
      const error = new Error(`connect ECONNREFUSED ${target} in a tunnel`);
      return Object.assign(error, {code: 'ECONNREFUSED'});
    }
    case REFUSAL_STATUS[TUNNEL_REFUSAL.targetUnreachable]:
      return new errors.ConnectTimeoutError(`${target} in a tunnel`);
    default: {
      const refusal = reason as TunnelRefusal | undefined;
      return new TunnelError(refusal ?? `status ${status}`);
    }
  }
}
