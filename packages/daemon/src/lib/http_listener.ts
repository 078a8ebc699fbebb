/** HTTP server of an API. @packageDocumentation */

import {AddressInfo} from 'node:net';
import {Duplex} from 'node:stream';
import {Server, createServer} from 'node:http';
import {getRequestListener} from '@hono/node-server';
import {Hono} from 'hono';
import {
  ListenerOptions,
  REFUSAL,
  refuse,
  startListening,
} from '@fuchsiacleat/core';
import {Result, err, ok} from 'neverthrow';
import {errorBody} from './http_outcome.js';

const MAX_HEADER_BYTES = 16 * 1024;

/** Options of an {@link HttpListener}. */
export interface HttpListenerOptions extends ListenerOptions {
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
    options: HttpListenerOptions,
  ): Promise<Result<HttpListener, string>> {
    const requestListener = getRequestListener(app.fetch, {
      overrideGlobalObjects: false,
    });
    const server = createServer(
      {maxHeaderSize: MAX_HEADER_BYTES},
      (req, res) => void requestListener(req, res),
    );
    server.maxConnections = options.maxConnections;
    server.on('clientError', respondToMalformedRequest);
    try {
      await startListening(server, options);
    } catch (error) {
      return err((error as Error).message);
    }
    const {port} = server.address() as AddressInfo;
    return ok(new HttpListener(server, port));
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
