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
    const listen = getRequestListener(app.fetch, {
      overrideGlobalObjects: false,
    });
    const server = createServer(
      {maxHeaderSize: MAX_HEADER_BYTES},
      (req, res) => void listen(req, res),
    );
    server.maxConnections = maxConnections;
    server.on('clientError', answerBrokenRequest);
    return new Promise(resolve => {
      server.once('error', error => resolve(err(error.message)));
      server.listen(port, address, () => {
        const bound = (server.address() as AddressInfo).port;
        resolve(ok(new HttpListener(server, bound)));
      });
    });
  }

  /** Stops accepting connections and closes idle ones; open requests continue. */
  close(): void {
    this.server.close();
    this.server.closeIdleConnections();
  }

  /** Closes all connections at once, including those with open requests. */
  cut(): void {
    this.server.close();
    this.server.closeAllConnections();
  }
}

/** Responds to input that is not valid HTTP or whose head is too large. */
function answerBrokenRequest(
  {code}: NodeJS.ErrnoException,
  socket: Duplex,
): void {
  if (code === 'ECONNRESET' || !socket.writable) {
    socket.destroy();
    return;
  }
  const tooLarge = code === 'HPE_HEADER_OVERFLOW';
  const status = tooLarge
    ? '431 Request Header Fields Too Large'
    : '400 Bad Request';
  const refusal = tooLarge
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
