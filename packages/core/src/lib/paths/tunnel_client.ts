/** Opens connections to targets through helper hosts. @packageDocumentation */

import {IncomingMessage, request} from 'node:http';
import {Socket} from 'node:net';
import {Result, err, ok} from 'neverthrow';
import {errors} from 'undici';
import {SocketAddress} from '../net/socket_address.js';
import {createGuard} from './listener_guard.js';
import {ESTABLISHED, REFUSAL_STATUS, TUNNEL_REFUSAL} from './tunnel_refusal.js';
import {TunnelFault, TunnelSocket} from './tunnel_socket.js';
import {connectTunnelSocket} from './socket_setup.js';

/** Code of {@link TunnelError}. */
export const TUNNEL_ERROR_CODE = 'ERR_TUNNEL';

const MAX_HEAD_BYTES = 2_048;

const REFUSALS: ReadonlySet<string> = new Set(Object.values(TUNNEL_REFUSAL));

/** The helper host provides no tunnel; nothing is known of the target. */
export class TunnelError extends Error {
  readonly code = TUNNEL_ERROR_CODE;

  /**
   * @param reason - why: one of {@link TUNNEL_REFUSAL} or the status if the helper
   *     host has answered, else the code of the error, `timeout` or `fault`.
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
 *     `UND_ERR_CONNECT_TIMEOUT`. Rejects with a {@link TunnelFault} only.
 */
export async function openTunnel(
  options: TunnelOptions,
): Promise<Result<TunnelSocket, NodeJS.ErrnoException>> {
  try {
    return await setUpTunnel(options);
  } catch (fault) {
    throw new TunnelFault(fault);
  }
}

/** Rejects with any unexpected error. */
function setUpTunnel({
  helper,
  target,
  timeoutMs,
}: TunnelOptions): Promise<Result<TunnelSocket, NodeJS.ErrnoException>> {
  return new Promise((resolve, reject) => {
    const socket = connectTunnelSocket(helper);
    const stop = () => {
      clearTimeout(timer);
      socket.destroy();
    };
    const fail = (error: Error) => {
      stop();
      resolve(err(error));
    };
    const guard = createGuard(fault => {
      stop();
      reject(fault);
    });
    const failWith = ({code, message}: NodeJS.ErrnoException) =>
      fail(new TunnelError(code ?? message));
    const timer = setTimeout(() => fail(new TunnelError('timeout')), timeoutMs);
    socket.on('error', failWith);
    const openOver = () => {
      const req = request({
        createConnection: () => socket,
        method: 'CONNECT',
        path: target,
        headers: {host: target, forwarded: `for=${socket.localAddress}`},
        maxHeaderSize: MAX_HEAD_BYTES,
      });
      req.on('error', failWith);
      const finish = (res: IncomingMessage, unused: Socket, head: Buffer) => {
        if (res.statusCode !== ESTABLISHED) {
          fail(refusalError(target, res));
          return;
        }
        clearTimeout(timer);
        socket.off('error', failWith);
        resolve(ok(new TunnelSocket(socket, head)));
      };
      req.on('connect', guard(finish));
      req.end();
    };
    socket.once('connect', guard(openOver));
  });
}

/** Returns the error for a refusal of the helper host. */
function refusalError(
  target: string,
  {statusCode, statusMessage = ''}: IncomingMessage,
): Error {
  switch (statusCode) {
    case REFUSAL_STATUS[TUNNEL_REFUSAL.targetRefused]: {
      const error = new Error(`connect ECONNREFUSED ${target} in a tunnel`);
      return Object.assign(error, {code: 'ECONNREFUSED'});
    }
    case REFUSAL_STATUS[TUNNEL_REFUSAL.targetUnreachable]:
      return new errors.ConnectTimeoutError(`${target} in a tunnel`);
    default: {
      const isKnown = REFUSALS.has(statusMessage);
      return new TunnelError(isKnown ? statusMessage : `status ${statusCode}`);
    }
  }
}
