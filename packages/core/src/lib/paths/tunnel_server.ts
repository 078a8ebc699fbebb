/** Serves tunnels to targets for other hosts. @packageDocumentation */

import {IncomingMessage, Server, createServer} from 'node:http';
import {AddressInfo, Socket} from 'node:net';
import {Result, err} from 'neverthrow';
import {startListening} from '../net/listener.js';
import {SocketAddress, parseSocketAddress} from '../net/socket_address.js';
import {Logger} from '../telemetry/logger.js';
import {Clock} from '../time/clock.js';
import {dialTarget} from './target_dial.js';
import {TUNNEL_SIDE, Tunnel} from './tunnel.js';
import {TunnelCounts, TunnelLabel, TunnelLog} from './tunnel_log.js';
import {
  ESTABLISHED,
  REFUSAL_STATUS,
  TUNNEL_REFUSAL,
  TunnelRefusal,
} from './tunnel_refusal.js';
import {TUNNEL_BUFFER_BYTES, prepareSocket} from './socket_setup.js';

/** Most tunnels at a time; each takes two descriptors and up to 256 KiB. */
const MAX_TUNNELS = 256;

/**
 * Most connections that have not asked for a tunnel or were refused one; beyond
 * it, the oldest closes.
 */
const MAX_WITHOUT_TUNNEL = 256;

const MAX_HEAD_BYTES = 2_048;

/** Time limit for a head, and for taking a refusal, in milliseconds. */
const HEAD_TIMEOUT_MS = 1_000;
const HEAD_CHECK_INTERVAL_MS = 500;

const FORWARDED_FOR = /^for=([\w.:[\]-]{1,64})$/;

/** Names a connection that has not asked for a tunnel. */
const UNKNOWN: TunnelLabel = {target: '', from: undefined};

/** Dependencies and limits of a {@link TunnelServer}. */
export interface TunnelServerParts {
  clock: Clock;
  logger: Logger;
  /**
   * Returns why a tunnel is refused; undefined to provide it. At the least, it
   * must refuse addresses that are not those of targets.
   *
   * @param target - IP address and port, as registered.
   * @param from - IP address of the host that asks, as that host states it.
   */
  admit: (
    target: string,
    from: string | undefined,
  ) => TunnelRefusal | undefined;
  /** Limit below {@link MAX_TUNNELS}, by the descriptors of the process. */
  maxTunnels?: number;
  /** Returns the address to connect to for a target; its own by default. */
  dialAddress?: (target: string) => string;
}

/**
 * Serves HTTP CONNECT requests whose authority is the address of a target. The
 * answer is 200 once the connection to the target is established, so that
 * nothing has been sent to it after any other answer. From then on the client's
 * bytes are passed on as they are, and the target's in frames that tell its
 * orderly end from any other, see {@link Tunnel}.
 */
export class TunnelServer {
  private readonly server: Server;
  private readonly log: TunnelLog;
  private readonly maxTunnels: number;
  /** Connections that have not asked for a tunnel or were refused one. */
  private readonly withoutTunnel = new Set<Socket>();
  /** Clients whose connection to the target is being set up. */
  private readonly dialing = new Set<Socket>();
  private readonly tunnels = new Set<Tunnel>();
  private isStopping = false;

  /** @param parts - see {@link TunnelServerParts}. */
  constructor(private readonly parts: TunnelServerParts) {
    const {clock, logger, maxTunnels = MAX_TUNNELS} = parts;
    this.maxTunnels = Math.min(MAX_TUNNELS, maxTunnels);
    this.log = new TunnelLog(clock, logger);
    this.server = createServer({
      highWaterMark: TUNNEL_BUFFER_BYTES,
      maxHeaderSize: MAX_HEAD_BYTES,
      headersTimeout: HEAD_TIMEOUT_MS,
      requestTimeout: HEAD_TIMEOUT_MS,
      connectionsCheckingInterval: HEAD_CHECK_INTERVAL_MS,
    });
  }

  /** Number of tunnels that are open or being set up. */
  get openCount(): number {
    return this.tunnels.size + this.dialing.size;
  }

  /** Numbers of tunnels since the start. */
  get counts(): TunnelCounts {
    return this.log.counts;
  }

  /**
   * Starts to serve tunnels.
   *
   * @param address - address to listen at; port 0 chooses a free one.
   * @param signal - closes everything: open tunnels are reset.
   * @returns the port; rejects if the address can't be bound.
   */
  async listen(address: SocketAddress, signal: AbortSignal): Promise<number> {
    const {clock, logger} = this.parts;
    const {server} = this;
    server.on('connection', socket => this.keepWithoutTunnel(socket));
    server.on(
      'connect',
      (req, socket: Socket, head) => void this.serveOrEnd(req, socket, head),
    );
    server.on('request', (unusedReq, res) => {
      this.log.recordRefused(UNKNOWN, TUNNEL_REFUSAL.method);
      const status = REFUSAL_STATUS[TUNNEL_REFUSAL.method];
      res.writeHead(status, {connection: 'close'}).end();
    });
    server.on('clientError', ({code}: NodeJS.ErrnoException, socket) => {
      socket.destroy();
      // A client that leaves before it has asked for anything is no refusal.
      if (code !== 'ECONNRESET')
        this.log.recordRefused(UNKNOWN, TUNNEL_REFUSAL.malformed);
    });
    const listener = {...address, listener: 'tunnels', clock, logger};
    await startListening(server, listener);
    signal.addEventListener('abort', () => this.close());
    if (signal.aborted) this.close();
    return (server.address() as AddressInfo).port;
  }

  /** Refuses further tunnels; the open ones go on. */
  stop(): void {
    this.isStopping = true;
  }

  /** Serves a request for a tunnel; an unexpected error ends this one only. */
  private async serveOrEnd(
    req: IncomingMessage,
    client: Socket,
    head: Buffer,
  ): Promise<void> {
    this.withoutTunnel.delete(client);
    const label = {target: req.url ?? '', from: forwardedFor(req)};
    try {
      await this.serve(label, client, head);
    } catch (fault) {
      const side = TUNNEL_SIDE.host;
      this.log.recordBroken(label, {side, code: undefined, fault});
      client.destroy();
    }
  }

  private async serve(
    label: TunnelLabel,
    client: Socket,
    head: Buffer,
  ): Promise<void> {
    const fail = ({code}: NodeJS.ErrnoException) =>
      this.log.recordBroken(label, {side: TUNNEL_SIDE.client, code});
    client.on('error', fail);
    const refusal = this.findRefusal(label);
    if (refusal !== undefined) {
      this.refuse(client, label, refusal);
      return;
    }
    const dialed = await this.dial(label.target, client);
    if (dialed.isErr()) {
      if (!client.destroyed) this.refuse(client, label, dialed.error);
      return;
    }
    if (client.destroyed) {
      dialed.value.destroy();
      return;
    }
    client.off('error', fail);
    this.open(client, dialed.value, label).start(head);
  }

  private findRefusal({target, from}: TunnelLabel): TunnelRefusal | undefined {
    if (this.isStopping) return TUNNEL_REFUSAL.stopping;
    if (parseSocketAddress(target) === undefined)
      return TUNNEL_REFUSAL.malformed;
    const refusal = this.parts.admit(target, from);
    if (refusal !== undefined) return refusal;
    if (this.openCount >= this.maxTunnels) return TUNNEL_REFUSAL.full;
    return undefined;
  }

  private async dial(
    target: string,
    client: Socket,
  ): Promise<Result<Socket, TunnelRefusal>> {
    const {clock, dialAddress = identity} = this.parts;
    const address = parseSocketAddress(dialAddress(target));
    if (address === undefined) return err(TUNNEL_REFUSAL.malformed);
    const gone = new AbortController();
    client.once('close', () => gone.abort());
    this.dialing.add(client);
    try {
      return await dialTarget(address, clock, gone.signal);
    } finally {
      this.dialing.delete(client);
    }
  }

  private open(client: Socket, target: Socket, label: TunnelLabel): Tunnel {
    const tunnel: Tunnel = new Tunnel(client, target, broken => {
      this.tunnels.delete(tunnel);
      if (broken !== undefined) this.log.recordBroken(label, broken);
    });
    this.tunnels.add(tunnel);
    this.log.recordOpened();
    prepareSocket(client);
    client.write(`HTTP/1.1 ${ESTABLISHED} OK\r\n\r\n`);
    return tunnel;
  }

  private refuse(
    client: Socket,
    label: TunnelLabel,
    reason: TunnelRefusal,
  ): void {
    this.log.recordRefused(label, reason);
    const status = REFUSAL_STATUS[reason];
    client.end(`HTTP/1.1 ${status} ${reason}\r\nconnection: close\r\n\r\n`);
    // Unread bytes would reset the connection, and the answer with it.
    client.resume();
    this.keepWithoutTunnel(client);
    const {clock} = this.parts;
    const timer = clock.after(HEAD_TIMEOUT_MS, () => client.destroy());
    client.once('close', () => timer.cancel());
  }

  private keepWithoutTunnel(socket: Socket): void {
    const {withoutTunnel} = this;
    if (withoutTunnel.size >= MAX_WITHOUT_TUNNEL) {
      const [oldest] = withoutTunnel;
      withoutTunnel.delete(oldest);
      oldest.destroy();
    }
    withoutTunnel.add(socket);
    socket.once('close', () => withoutTunnel.delete(socket));
  }

  private close(): void {
    this.isStopping = true;
    this.server.close();
    for (const socket of [...this.withoutTunnel, ...this.dialing])
      socket.destroy();
    for (const tunnel of [...this.tunnels])
      tunnel.break({side: TUNNEL_SIDE.host, code: undefined});
  }
}

function identity(address: string): string {
  return address;
}

/** Returns the address of the host that asks for a tunnel (RFC 7239). */
function forwardedFor({headers}: IncomingMessage): string | undefined {
  return FORWARDED_FOR.exec(headers.forwarded ?? '')?.[1];
}
