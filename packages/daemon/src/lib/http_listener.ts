/** HTTP server of an API. @packageDocumentation */

import {AddressInfo} from 'node:net';
import {Duplex} from 'node:stream';
import {Server, createServer} from 'node:http';
import {getRequestListener} from '@hono/node-server';
import {Hono} from 'hono';
import {REFUSAL, refuse} from '@fuchsiacleat/core';
import {Result, err, ok} from 'neverthrow';
import {errorBody} from './http_outcome.js';

const MAX_HEADER_BYTES = 16 * 1024;

/** Options of an {@link HttpListener}. */
export interface HttpListenerOptions {
  address: string;
  /** Port to bind; 0 selects a free one. */
  port: number;
  maxConnections: number;
}

/** An HTTP server that serves one API. */
export class HttpListener {
  private constructor(
    private readonly server: Server,
    /** The bound port. */
    readonly port: number,
  ) {}

  /**
   * Binds the address and starts serving.
   *
   * @param app - the API to serve.
   * @param options - see {@link HttpListenerOptions}.
   * @returns the listener, or why the address can't be bound.
   */
  static async start(
    app: Hono,
    {address, port, maxConnections}: HttpListenerOptions,
  ): Promise<Result<HttpListener, string>> {
    const requestListener = getRequestListener(app.fetch, {
      overrideGlobalObjects: false,
    });
    const server = createServer(
      {maxHeaderSize: MAX_HEADER_BYTES},
      (req, res) => void requestListener(req, res),
    );
    server.maxConnections = maxConnections;
    server.on('clientError', respondToMalformedRequest);
    return new Promise(resolve => {
      server.once('error', error => resolve(err(error.message)));
      server.listen(port, address, () => {
        const boundPort = (server.address() as AddressInfo).port;
        resolve(ok(new HttpListener(server, boundPort)));
      });
    });
  }

  /** Stops accepting connections and closes idle ones; open requests continue. */
  close(): void {
    this.server.close();
    this.server.closeIdleConnections();
  }

  /** Closes all connections at once, including those with open requests. */
  closeAll(): void {
    this.server.close();
    this.server.closeAllConnections();
  }
}

/** Responds to input that is not valid HTTP or whose head is too large. */
function respondToMalformedRequest(
  {code}: NodeJS.ErrnoException,
  socket: Duplex,
): void {
  if (code === 'ECONNRESET' || !socket.writable) {
    socket.destroy();
    return;
  }
  const isTooLarge = code === 'HPE_HEADER_OVERFLOW';
  const status = isTooLarge
    ? '431 Request Header Fields Too Large'
    : '400 Bad Request';
  const refusal = isTooLarge
    ? refuse(REFUSAL.tooLarge, `the head exceeds ${MAX_HEADER_BYTES} bytes`)
    : refuse(REFUSAL.badRequest, 'the request is not valid HTTP');
  const body = JSON.stringify(errorBody(refusal));
  socket.end(
    `HTTP/1.1 ${status}\r\n` +
      'content-type: application/json\r\n' +
      `content-length: ${Buffer.byteLength(body)}\r\n` +
      `connection: close\r\n\r\n${body}`,
  );
}
