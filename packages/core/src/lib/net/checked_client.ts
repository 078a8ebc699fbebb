/** An HTTP client that tells a reset from the end of an answer. @packageDocumentation */

import {Socket} from 'node:net';
import {Client, Dispatcher, buildConnector} from 'undici';

/** Code of the errors of connections that were closed early. */
const SOCKET_ERROR_CODE = 'UND_ERR_SOCKET';

/** Options of a {@link CheckedClient}. */
export interface CheckedClientOptions extends Omit<
  Client.Options,
  'connect' | 'pipelining'
> {
  /** Time limit for a connection, in milliseconds. */
  connectTimeoutMs: number;
  /** Called when a connection ends because of bytes that no request waits for. */
  onSurplus?: () => void;
  /** Called with each connection before the client reads from it. */
  onConnected?: (socket: Socket) => void;
}

/** The request was not written, as it could not be sent any more. */
export class WithdrawnRequestError extends Error {}

/** Options of a request. */
export interface CheckedRequestOptions extends Dispatcher.RequestOptions {
  /** Returns right before the request is written whether it still may be. */
  canStillSend?: () => boolean;
}

/** How the current connection of a client has ended. */
class ConnectionEnd {
  /** Whether the connection was reset or failed in another way. */
  hasFailed = false;
  /** Whether an answer is due, or the last one was none. */
  isAnswerDue = false;
  /** Lets the client read on; undefined before an answer. */
  resume: (() => void) | undefined;

  /** Follows a new connection; must be called before the client listens to it. */
  follow(socket: Socket): void {
    this.hasFailed = false;
    this.resume = undefined;
    socket.on('error', (error: NodeJS.ErrnoException) => {
      this.hasFailed = true;
      // The client takes a reset for the end of a close-delimited body, and
      // throws if it is paused.
      if (error.code === 'ECONNRESET') error.code = SOCKET_ERROR_CODE;
    });
    socket.on('end', () => {
      if (wasReset(socket)) this.hasFailed = true;
      // A client that is paused throws at the end.
      this.resume?.();
    });
  }
}

/**
 * Returns whether a connection whose reading has ended was reset.
 *
 * Node reports a reset that it finds together with the last bytes as the end,
 * without an error. A connection that was closed in order still has a peer
 * then. The peer must not be read before, since Node remembers it.
 */
function wasReset({remotePort}: Socket): boolean {
  return remotePort === undefined;
}

/** Returns whether a connection ended because of bytes that it received. */
function isSurplus({message, name}: Error): boolean {
  return name === 'HTTPParserError' || message === 'bad response';
}

/** Passes an answer on, with an error in place of an end that was none. */
class CheckedHandler implements Dispatcher.DispatchHandler {
  constructor(
    private readonly handler: Dispatcher.DispatchHandler,
    private readonly connectionEnd: ConnectionEnd,
    private readonly canStillSend: () => boolean,
  ) {}

  onConnect(abort: (error?: Error) => void): void {
    this.connectionEnd.isAnswerDue = true;
    this.handler.onConnect!(abort);
    if (!this.canStillSend()) abort(new WithdrawnRequestError());
  }

  onHeaders(
    status: number,
    headers: Buffer[],
    resume: () => void,
    statusText: string,
  ): boolean {
    this.connectionEnd.resume = resume;
    return this.handler.onHeaders!(status, headers, resume, statusText);
  }

  onData(chunk: Buffer): boolean {
    // A client that goes on at the end of its connection reports an empty chunk.
    return chunk.length === 0 || this.handler.onData!(chunk);
  }

  onComplete(trailers: string[] | null): void {
    if (this.connectionEnd.hasFailed) {
      this.onError(brokenError());
      return;
    }
    this.connectionEnd.isAnswerDue = false;
    this.handler.onComplete!(trailers);
  }

  onError(error: Error): void {
    this.handler.onError!(error);
  }
}

function brokenError(): Error {
  const error = new Error('the connection was reset during the answer');
  return Object.assign(error, {code: SOCKET_ERROR_CODE});
}

/**
 * A client with one connection, which carries one request at a time. An answer
 * that ends with its connection is complete only if that was closed in order.
 */
export class CheckedClient extends Client {
  private readonly connectionEnd: ConnectionEnd;

  /**
   * @param origin - protocol, host and port.
   * @param options - see {@link CheckedClientOptions}.
   */
  constructor(
    origin: string | URL,
    {
      connectTimeoutMs,
      onConnected,
      onSurplus,
      ...options
    }: CheckedClientOptions,
  ) {
    const connect = buildConnector({timeout: connectTimeoutMs});
    const connectionEnd = new ConnectionEnd();
    super(origin, {
      ...options,
      pipelining: 1,
      connect: (target, callback) =>
        connect(target, (error, socket) => {
          if (error !== null) {
            callback(error, null);
            return;
          }
          connectionEnd.follow(socket);
          onConnected?.(socket);
          callback(null, socket);
        }),
    });
    this.connectionEnd = connectionEnd;
    this.on('disconnect', (unusedOrigin, unusedTargets, error) => {
      if (!connectionEnd.isAnswerDue && isSurplus(error)) onSurplus?.();
    });
  }

  override request(
    options: CheckedRequestOptions,
  ): Promise<Dispatcher.ResponseData> {
    return super.request(options);
  }

  override dispatch(
    options: Dispatcher.DispatchOptions & CheckedRequestOptions,
    handler: Dispatcher.DispatchHandler,
  ): boolean {
    const {canStillSend = () => true} = options;
    const {connectionEnd} = this;
    const checked = new CheckedHandler(handler, connectionEnd, canStillSend);
    return super.dispatch(options, checked);
  }
}
