/** HTTP server of an API. @packageDocumentation */

import {AddressInfo} from 'node:net';
import {Duplex} from 'node:stream';
import {Server, ServerResponse, createServer} from 'node:http';
import {getRequestListener} from '@hono/node-server';
import {Hono} from 'hono';
import {
  CallerConnections,
  CallerMessage,
  MAX_RECEIVE_MS,
  Clock,
  ListenerOptions,
  REFUSAL,
  whenConnectionsRead,
  refuse,
  startListening,
} from '@fuchsiacleat/core';
import {Result, err, ok} from 'neverthrow';
import {errorBody} from './http_outcome.js';

const MAX_HEADER_BYTES = 16 * 1024;

/** Longest time for which a stop accepts connections, in milliseconds. */
const MAX_ACCEPT_MS = 1_000;

/** Longest time that connections have to end in a stop, in milliseconds. */
const MAX_END_MS = 1_000;

/** Interval of the checks whether they have, in milliseconds. */
const END_POLL_MS = 50;

/** Options of an {@link HttpListener}. */
export interface HttpListenerOptions extends ListenerOptions {
  maxConnections: number;
}

/** An HTTP server that serves one API. */
export class HttpListener {
  private readonly connections = new CallerConnections();
  private isClosing = false;
  private boundPort = 0;

  private constructor(
    private readonly server: Server,
    private readonly clock: Clock,
  ) {
    this.connections.follow(server);
  }

  /** The bound port. */
  get port(): number {
    return this.boundPort;
  }

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
    const server = createServer({
      IncomingMessage: CallerMessage,
      maxHeaderSize: MAX_HEADER_BYTES,
      requestTimeout: MAX_RECEIVE_MS,
    });
    const listener = new HttpListener(server, options.clock);
    server.on('request', (req, res) => {
      void listener.follow(req, res);
      void requestListener(req, res);
    });
    server.maxConnections = options.maxConnections;
    server.on('clientError', respondToMalformedRequest);
    try {
      await startListening(server, options);
    } catch (error) {
      return err((error as Error).message);
    }
    listener.boundPort = (server.address() as AddressInfo).port;
    return ok(listener);
  }

  /**
   * Accepts the connections that are waiting and no new ones, and closes each
   * one that is idle or falls idle; open requests continue.
   */
  async close(): Promise<void> {
    this.isClosing = true;
    const endMs = this.clock.now() + MAX_ACCEPT_MS;
    await this.connections.acceptWaiting(this.clock, endMs);
    this.server.close();
  }

  /**
   * Waits until all connections have ended after {@link HttpListener.close},
   * for {@link MAX_END_MS} at most.
   */
  async whenEnded(): Promise<void> {
    const {clock, connections} = this;
    const endMs = clock.now() + MAX_END_MS;
    while (connections.count > 0 && clock.now() < endMs) {
      await clock.sleep(END_POLL_MS);
      connections.closeIdle();
    }
    await whenConnectionsRead();
  }

  /** Closes all connections at once, including those with open requests. */
  closeAll(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  /** Records a request until it has been read and its response passed on. */
  private async follow(req: CallerMessage, res: ServerResponse): Promise<void> {
    const {connections} = this;
    if (this.isClosing) res.shouldKeepAlive = false;
    connections.beginRequest(req);
    const passedOn = new Promise(resolve => res.once('close', resolve));
    await new Promise(resolve =>
      req.once('end', resolve).once('close', resolve),
    );
    connections.recordRead(req);
    await passedOn;
    connections.endRequest(req);
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
