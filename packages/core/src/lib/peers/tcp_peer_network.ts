/** Peer links over TCP, with TLS by a pre-shared key. @packageDocumentation */

import {createHash} from 'node:crypto';
import {AddressInfo, Server, Socket, connect, createServer} from 'node:net';
import * as tls from 'node:tls';
import {Result, err, ok} from 'neverthrow';
import {Clock} from '../time/clock.js';
import {Logger} from '../telemetry/logger.js';
import {LinkHandler, PeerLink} from './peer_link.js';
import {
  CallContext,
  NoteHandler,
  PEER_ERROR,
  PeerError,
  PeerHandler,
  PeerIdentity,
  PeerMethod,
  PeerNetwork,
} from './peer_network.js';

const DIAL_TIMEOUT_MS = 1_000;
const REDIAL_DELAY_MS = 500;
const ALLOWED_SCAN_INTERVAL_MS = 100;
const PSK_IDENTITY = 'fuchsiacleat';
const PSK_CIPHERS = 'DHE-PSK-AES256-GCM-SHA384';

/** Where a peer listens. */
export interface PeerAddress {
  address: string;
  port: number;
}

/** What a {@link TcpPeerNetwork} works with. */
export interface TcpPeerNetworkOptions {
  self: PeerIdentity;
  clock: Clock;
  logger: Logger;
  /** Shared by all hosts; undefined for plain links. */
  secret: string | undefined;
  /** Finds a peer's address by its name. */
  resolve: (host: string) => PeerAddress | undefined;
  /**
   * Whether links with a host may exist; all by default. Failure tests cut
   * hosts off from each other with it.
   */
  allows?: (host: string) => boolean;
}

interface Registered {
  method: PeerMethod<unknown, unknown>;
  handler: PeerHandler<unknown, unknown>;
}

interface RegisteredNote {
  method: PeerMethod<unknown, never>;
  handler: NoteHandler<unknown>;
}

/** A {@link PeerNetwork} of {@link PeerLink}s that are dialled on demand. */
export class TcpPeerNetwork extends PeerNetwork implements LinkHandler {
  private readonly links = new Map<string, PeerLink>();
  private readonly dialling = new Map<string, Promise<PeerLink | undefined>>();
  private readonly handlers = new Map<string, Registered>();
  private readonly noteHandlers = new Map<string, RegisteredNote>();
  private readonly psk: Buffer | undefined;
  private signal = new AbortController().signal;

  constructor(private readonly options: TcpPeerNetworkOptions) {
    super();
    const {secret} = options;
    this.psk =
      secret === undefined
        ? undefined
        : createHash('sha256').update(secret).digest();
  }

  override get self(): PeerIdentity {
    return this.options.self;
  }

  /**
   * Accepts links.
   *
   * @param address - IP number to listen on.
   * @param port - 0 for a free one.
   * @param signal - closes the listener and every link.
   * @returns the port.
   */
  async listen(
    address: string,
    port: number,
    signal: AbortSignal,
  ): Promise<Result<number, string>> {
    this.signal = signal;
    if (this.options.allows !== undefined) void this.closeDisallowed(signal);
    const server = this.createServer();
    return new Promise(resolve => {
      server.once('error', error => resolve(err(error.message)));
      server.listen(port, address, () => {
        signal.addEventListener('abort', () => server.close());
        resolve(ok((server.address() as AddressInfo).port));
      });
    });
  }

  /**
   * Keeps a link to a peer, dialling again whenever it is lost.
   *
   * @param host - name of the peer.
   * @param signal - stops the redialling; the link itself stays.
   */
  async keepLink(host: string, signal: AbortSignal): Promise<void> {
    const {clock} = this.options;
    await clock.every(REDIAL_DELAY_MS, signal, async () => {
      await this.linkTo(host);
    });
  }

  override connected(): PeerIdentity[] {
    return [...this.links.values()]
      .filter(link => link.alive)
      .map(link => link.peer!);
  }

  override async *open<Body, Event>(
    host: string,
    method: PeerMethod<Body, Event>,
    body: Body,
    signal: AbortSignal,
  ): AsyncGenerator<Result<Event, PeerError>, void> {
    const link = await this.linkTo(host);
    if (link === undefined) {
      yield err({type: PEER_ERROR.notSent, message: `no link to ${host}`});
      return;
    }
    for await (const event of link.open(method.name, body, signal)) {
      yield event.andThen(value => parseEvent(method, value));
    }
  }

  override serve<Body, Event>(
    method: PeerMethod<Body, Event>,
    handler: PeerHandler<Body, Event>,
  ): void {
    this.handlers.set(method.name, {method, handler} as Registered);
  }

  override notify<Body>(
    host: string,
    method: PeerMethod<Body, never>,
    body: Body,
  ): boolean {
    const link = this.links.get(host);
    if (link === undefined || !link.alive || !this.allows(host)) return false;
    link.note(method.name, body);
    return true;
  }

  override onNote<Body>(
    method: PeerMethod<Body, never>,
    handler: NoteHandler<Body>,
  ): void {
    this.noteHandlers.set(method.name, {method, handler} as RegisteredNote);
  }

  /** Part of {@link LinkHandler}. */
  async *dispatch(
    name: string,
    body: unknown,
    context: CallContext,
  ): AsyncGenerator<unknown, void> {
    const registered = this.handlers.get(name);
    if (registered === undefined) throw new Error(`no method ${name}`);
    const parsed = registered.method.body.safeParse(body);
    if (!parsed.success) throw new Error(`malformed body of ${name}`);
    yield* registered.handler(parsed.data, context);
  }

  /** Part of {@link LinkHandler}. */
  note(name: string, body: unknown, from: PeerIdentity): void {
    const registered = this.noteHandlers.get(name);
    const parsed = registered?.method.body.safeParse(body);
    if (parsed?.success) registered?.handler(parsed.data, from);
  }

  private allows(host: string): boolean {
    return this.options.allows?.(host) ?? true;
  }

  private async closeDisallowed(signal: AbortSignal): Promise<void> {
    await this.options.clock.every(ALLOWED_SCAN_INTERVAL_MS, signal, () => {
      for (const [host, link] of this.links) {
        if (!this.allows(host)) link.close('links to the peer are not allowed');
      }
    });
  }

  private async linkTo(host: string): Promise<PeerLink | undefined> {
    if (!this.allows(host)) return undefined;
    const link = this.links.get(host);
    if (link?.alive) return link;
    const pending = this.dialling.get(host) ?? this.dial(host);
    this.dialling.set(host, pending);
    const dialled = await pending;
    this.dialling.delete(host);
    return dialled;
  }

  private async dial(host: string): Promise<PeerLink | undefined> {
    const where = this.options.resolve(host);
    if (where === undefined || this.signal.aborted) return undefined;
    const socket = await this.connect(where);
    if (socket === undefined) return undefined;
    return new Promise(resolve => {
      const link = this.runLink(socket, peer => {
        const isWanted = peer.host === host || isAddress(host);
        resolve(isWanted ? link : undefined);
      });
      void link.ended.then(() => resolve(undefined));
    });
  }

  private runLink(
    socket: Socket,
    onHello: (peer: PeerIdentity) => void,
  ): PeerLink & {ended: Promise<void>} {
    const {self, clock, logger} = this.options;
    socket.setNoDelay(true);
    const link = new PeerLink({socket, self, clock, handler: this});
    const ended = link.run(peer => {
      if (!this.allows(peer.host)) {
        link.close('links to the peer are not allowed');
        return;
      }
      this.links.set(peer.host, link);
      logger.info('peer_link_up', {peer: peer.host, peer_zone: peer.zone});
      onHello(peer);
    }, this.signal);
    const logged = ended.then(() => {
      const peer = link.peer?.host;
      if (peer !== undefined && this.links.get(peer) === link) {
        this.links.delete(peer);
      }
      logger.info('peer_link_down', {peer, reason: link.closeReason});
    });
    return Object.assign(link, {ended: logged});
  }

  private createServer(): Server {
    const accept = (socket: Socket) => {
      socket.on('error', () => socket.destroy());
      this.runLink(socket, () => {});
    };
    if (this.psk === undefined) return createServer(accept);
    const psk = this.psk;
    const server = tls.createServer(
      {
        ciphers: PSK_CIPHERS,
        maxVersion: 'TLSv1.2',
        dhparam: 'auto',
        pskCallback: (unusedSocket, identity) =>
          identity === PSK_IDENTITY ? psk : null,
      },
      accept,
    );
    server.on('tlsClientError', error =>
      this.options.logger.warn('peer_handshake_failed', {
        reason: error.message,
      }),
    );
    return server;
  }

  private connect({address, port}: PeerAddress): Promise<Socket | undefined> {
    const psk = this.psk;
    return new Promise(resolve => {
      const onConnect = () => {
        timer.cancel();
        resolve(socket);
      };
      const socket: Socket =
        psk === undefined
          ? connect({host: address, port}, onConnect)
          : tls.connect(
              {
                host: address,
                port,
                ciphers: PSK_CIPHERS,
                maxVersion: 'TLSv1.2',
                checkServerIdentity: () => undefined,
                pskCallback: () => ({psk, identity: PSK_IDENTITY}),
              },
              onConnect,
            );
      const giveUp = () => {
        timer.cancel();
        socket.destroy();
        resolve(undefined);
      };
      const timer = this.options.clock.after(DIAL_TIMEOUT_MS, giveUp);
      socket.on('error', giveUp);
    });
  }
}

function parseEvent<Event>(
  method: PeerMethod<never, Event> | PeerMethod<unknown, Event>,
  value: unknown,
): Result<Event, PeerError> {
  const parsed = method.event.safeParse(value);
  if (parsed.success) return ok(parsed.data);
  const message = `malformed answer of ${method.name}`;
  return err({type: PEER_ERROR.lost, message});
}

/** Hosts whose names are not known yet go by address and port. */
function isAddress(host: string): boolean {
  return host.includes(':');
}
