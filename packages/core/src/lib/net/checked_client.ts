/** An HTTP client that tells a reset from the end of an answer. @packageDocumentation */

import {Socket} from 'node:net';
import {Duplex} from 'node:stream';
import {Client, Dispatcher, buildConnector} from 'undici';
import {TunnelError, openTunnel} from '../paths/tunnel_client.js';
import {TunnelFault} from '../paths/tunnel_socket.js';
import {wasReset} from './reset_check.js';
import {SocketAddress} from './socket_address.js';

/** Code of the errors of connections that were closed early. */
const SOCKET_ERROR_CODE = 'UND_ERR_SOCKET';

/** A connection: a socket, or one through a helper host. */
export type ClientSocket = Duplex & Pick<Socket, 'resetAndDestroy'>;

/** Options of a {@link CheckedClient}. */
export interface CheckedClientOptions extends Omit<
  Client.Options,
  'connect' | 'pipelining'
> {
  /** Time limit for a connection, in milliseconds. */
  connectTimeoutMs: number;
  /** Called when a connection ends because of bytes that no request waits for. */
  onSurplus?: () => void;
  /**
   * Where a helper host serves tunnels, through which to connect; by default the
   * client connects itself.
   */
  connectThrough?: SocketAddress;
  /** Called when the set-up of a connection begins. */
  onConnecting?: () => void;
  /** Called with each connection before the client reads from it. */
  onConnected?: (socket: ClientSocket) => void;
  /** Called when the set-up of a connection has failed. */
  onConnectFailed?: (error: NodeJS.ErrnoException) => void;
  /** Called with an unexpected error in the handling of a tunnel. */
  onFault?: (fault: TunnelFault) => void;
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

  /** @param onFault - see {@link CheckedClientOptions}. */
  constructor(private readonly onFault: (fault: TunnelFault) => void) {}

  /** Follows a new connection; must be called before the client listens to it. */
  follow(socket: ClientSocket): void {
    this.hasFailed = false;
    this.resume = undefined;
    socket.on('error', (error: NodeJS.ErrnoException) => {
      this.hasFailed = true;
      if (error instanceof TunnelFault) this.onFault(error);
      // The client takes a reset for the end of a close-delimited body, and
      // throws if it is paused.
      if (error.code === 'ECONNRESET') error.code = SOCKET_ERROR_CODE;
    });
    socket.on('end', () => {
      // A tunnel ends in order only, and fails otherwise.
      if (socket instanceof Socket && wasReset(socket)) this.hasFailed = true;
      // A client that is paused throws at the end.
      this.resume?.();
    });
  }
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

/** Returns a connector that connects through a helper host. */
function tunnelConnector(
  helper: SocketAddress,
  timeoutMs: number,
  onFault: (fault: TunnelFault) => void,
): buildConnector.connector {
  return ({hostname, port}, callback) => {
    const target = `${hostname}:${port}`;
    void openTunnel({helper, target, timeoutMs}).then(
      opened => {
        // The client needs no more of a socket than this stream offers.
        if (opened.isOk()) callback(null, opened.value as unknown as Socket);
        else callback(opened.error, null);
      },
      (fault: TunnelFault) => {
        onFault(fault);
        callback(new TunnelError('fault'), null);
      },
    );
  };
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
      connectThrough,
      connectTimeoutMs,
      onConnected,
      onConnectFailed,
      onConnecting,
      onFault = () => {},
      onSurplus,
      ...options
    }: CheckedClientOptions,
  ) {
    const connect =
      connectThrough === undefined
        ? buildConnector({timeout: connectTimeoutMs})
        : tunnelConnector(connectThrough, connectTimeoutMs, onFault);
    const connectionEnd = new ConnectionEnd(onFault);
    super(origin, {
      ...options,
      pipelining: 1,
      connect: (target, callback) => {
        onConnecting?.();
        connect(target, (error, socket) => {
          if (error !== null) {
            onConnectFailed?.(error);
            callback(error, null);
            return;
          }
          connectionEnd.follow(socket);
          onConnected?.(socket);
          callback(null, socket);
        });
      },
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
