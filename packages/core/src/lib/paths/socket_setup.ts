/** Sets up the sockets of tunnels. @packageDocumentation */

import {Socket, TcpNetConnectOpts, connect} from 'node:net';
import {SocketAddress} from '../net/socket_address.js';

/** Bytes that each end of a tunnel holds in each direction, beside one read. */
export const TUNNEL_BUFFER_BYTES = 16_384;

/** Idle time after which TCP checks whether the peer is still there. */
const KEEP_ALIVE_DELAY_MS = 5_000;

/**
 * Prepares a socket of a tunnel.
 *
 * A tunnel may be silent for as long as the target is, so that keep-alive probes
 * alone find an end that is gone. Node lets them follow each other by a second
 * and gives up after ten (TCP_KEEPINTVL, TCP_KEEPCNT), some 15 s after the last
 * byte. Neither Node nor undici sets TCP_USER_TIMEOUT, which would decide in place
 * of the number of probes.
 */
export function prepareSocket(socket: Socket): void {
  socket.setNoDelay(true);
  socket.setKeepAlive(true, KEEP_ALIVE_DELAY_MS);
}

/**
 * Connects a socket of a tunnel.
 *
 * @param address - address to connect to.
 * @param allowHalfOpen - whether it can send after the end of what it receives.
 */
export function connectTunnelSocket(
  {address, port}: SocketAddress,
  allowHalfOpen = false,
): Socket {
  // The types of Node lack the limit of the buffers.
  const options: TcpNetConnectOpts & {highWaterMark: number} = {
    host: address,
    port,
    allowHalfOpen,
    highWaterMark: TUNNEL_BUFFER_BYTES,
  };
  const socket = connect(options);
  prepareSocket(socket);
  return socket;
}
