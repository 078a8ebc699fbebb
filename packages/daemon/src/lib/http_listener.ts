/** HTTP server of an API. @packageDocumentation */

import {AddressInfo} from 'node:net';
import {Duplex} from 'node:stream';
import {Server, ServerResponse, createServer} from 'node:http';
import {getRequestListener} from '@hono/node-server';
import {Hono} from 'hono';
import {
  CallerConnections,
  CallerMessage,
  Clock,
  HOLD,
  INTAKE_END,
  Intake,
  ListenerOptions,
  MAX_PIPELINED,
  MAX_RECEIVE_MS,
  MAX_UNANSWERED,
  REFUSAL,
  discardRest,
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
  /** Bounds what connections hold. */
  intake: Intake;
}

/** An HTTP server that serves one API. */
export class HttpListener {
  private readonly connections = new CallerConnections();
  private isClosing = false;
  private boundPort = 0;

  private constructor(
    private readonly server: Server,
    private readonly clock: Clock,
    private readonly intake: Intake,
    maxConnections: number,
  ) {
    const {heads, log} = intake;
    this.connections.follow(server);
    this.connections.limitCount(maxConnections, count =>
      log.record(INTAKE_END.connections, count),
    );
    this.connections.limitMemory(heads, clock, () =>
      log.record(INTAKE_END.heads),
    );
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
    const {clock, intake, maxConnections} = options;
    const listener = new HttpListener(server, clock, intake, maxConnections);
    server.on('request', (req, res) => {
      if (!listener.accepts(req)) return;
      void listener.follow(req, res);
      void requestListener(req, res);
    });
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

  /** Takes a body that nobody has read, as Node would without a limit. */
  private discardUnread(req: CallerMessage): void {
    if (req.complete || req.listenerCount('data') > 0) return;
    void discardRest(req, this.clock).then(isWhole => {
      if (!isWhole) req.socket.destroySoon();
    });
  }

  /**
   * Returns whether a request is handled; a connection with too many unanswered
   * ones closes.
   */
  private accepts({socket}: CallerMessage): boolean {
    // The parser goes on with what it has read of a closed connection.
    if (socket.destroyed) return false;
    if (this.connections.requestCount(socket) < MAX_UNANSWERED) return true;
    this.intake.log.record(INTAKE_END.pipelined);
    socket.destroy();
    return false;
  }

  /** Records a request until it has been read and its response passed on. */
  private async follow(req: CallerMessage, res: ServerResponse): Promise<void> {
    const {connections} = this;
    if (this.isClosing) res.shouldKeepAlive = false;
    connections.beginRequest(req);
    const passedOn = new Promise(resolve => res.once('close', resolve));
    if (connections.requestCount(req.socket) > MAX_PIPELINED) {
      req.hold(HOLD.pipelined);
      void passedOn.then(() => req.release(HOLD.pipelined));
    }
    res.prependOnceListener('finish', () => this.discardUnread(req));
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
