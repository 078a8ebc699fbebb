/** Connections to targets through helper hosts. @packageDocumentation */

import {Socket} from 'node:net';
import {Duplex} from 'node:stream';
import {createGuard} from './listener_guard.js';
import {FrameDecoder} from './tunnel_frames.js';
import {TUNNEL_BUFFER_BYTES} from './socket_setup.js';

/** Code of {@link TunnelFault}. */
const TUNNEL_FAULT_CODE = 'ERR_TUNNEL_FAULT';

/** An unexpected error of this process in the handling of a tunnel, which it ends. */
export class TunnelFault extends Error {
  readonly code = TUNNEL_FAULT_CODE;

  /** @param cause - the error. */
  constructor(cause: unknown) {
    super('the handling of a tunnel has failed', {cause});
  }
}

/**
 * A connection to a target whose bytes a helper host passes on. It ends when the
 * target has closed its connection in order, and fails with `ECONNRESET` after
 * any other end of the target's connection or of the helper host, or with a
 * {@link TunnelFault}.
 */
export class TunnelSocket extends Duplex {
  private readonly decoder = new FrameDecoder();

  /**
   * @param socket - the connection to the helper host, which has established the
   *     tunnel.
   * @param head - bytes that were received after its answer.
   */
  constructor(
    private readonly socket: Socket,
    head: Buffer,
  ) {
    super({
      highWaterMark: TUNNEL_BUFFER_BYTES,
      read: () => void socket.resume(),
      write: (chunk: Buffer, unusedEncoding, callback) =>
        void socket.write(chunk, callback),
      writev: (chunks, callback) => writeAll(socket, chunks, callback),
      final: callback => void socket.end(callback),
      destroy: (error, callback) => {
        socket.destroy();
        callback(error);
      },
    });
    const guard = createGuard(fault => this.destroy(new TunnelFault(fault)));
    const receive = (bytes: Buffer) => this.receive(bytes);
    const checkEnd = () => this.checkEnd();
    socket.on('data', guard(receive));
    socket.on('error', error => this.destroy(error));
    socket.on('end', guard(checkEnd));
    socket.on('close', guard(checkEnd));
    if (head.length > 0) this.receive(head);
  }

  private receive(bytes: Buffer): void {
    if (this.decoder.hasEnded) return;
    let isRead = true;
    for (const content of this.decoder.decode(bytes))
      isRead = this.push(content);
    if (this.decoder.hasEnded) this.push(null);
    else if (!isRead) this.socket.pause();
  }

  private checkEnd(): void {
    if (this.decoder.hasEnded || this.destroyed) return;
    const error = new Error('the tunnel has ended before the connection');
    this.destroy(Object.assign(error, {code: 'ECONNRESET'}));
  }

  /** Resets the connection: the helper host resets that to the target. */
  resetAndDestroy(): this {
    this.socket.resetAndDestroy();
    return this.destroy();
  }

  /** See {@link Socket.ref}. */
  ref(): this {
    this.socket.ref();
    return this;
  }

  /** See {@link Socket.unref}. */
  unref(): this {
    this.socket.unref();
    return this;
  }
}

function writeAll(
  socket: Socket,
  chunks: ReadonlyArray<{chunk: Buffer}>,
  callback: (error?: Error | null) => void,
): void {
  const last = chunks.length - 1;
  socket.cork();
  chunks.forEach(({chunk}, i) =>
    socket.write(chunk, i === last ? callback : undefined),
  );
  socket.uncork();
}
