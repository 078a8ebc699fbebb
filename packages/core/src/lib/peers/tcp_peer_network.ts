/** A peer network over TCP, optionally with TLS and a pre-shared key. @packageDocumentation */

import {setMaxListeners} from 'node:events';
import {AddressInfo, Socket} from 'node:net';
import {Result, err, ok} from 'neverthrow';
import {MemoryAccount} from '../intake/memory_account.js';
import {Clock} from '../time/clock.js';
import {startListening} from '../net/listener.js';
import {TaskSupervisor} from '../tasks/task_supervisor.js';
import {Logger} from '../telemetry/logger.js';
import {encodeFrame} from './frame.js';
import {LinkTable} from './link_table.js';
import {MessageHandlers} from './message_handlers.js';
import {PeerLink, TICK_INTERVAL_MS} from './peer_link.js';
import {PeerAddress, PeerSockets} from './peer_sockets.js';
import {
  NotificationHandler,
  PEER_ERROR,
  PeerError,
  PeerHandler,
  PeerIdentity,
  PeerMethod,
  PeerNetwork,
  UnaryPeerHandler,
} from './peer_network.js';

const LINK_CHECK_INTERVAL_MS = 200;
const REDIAL_DELAY_MS = 1_000;

/** Time without calls after which a link is closed unless it is kept alive. */
const IDLE_TIMEOUT_MS = 60_000;

/** Bytes of frames that have not arrived completely, over all links. */
const FRAMES_LIMIT_BYTES = 8 * 1024 * 1024;

/** Unsent bytes over all links beyond which those that read slowest are closed. */
const MAX_UNSENT_BYTES = 32 * 1024 * 1024;

/** Accepted links whose peer has not said yet which host it is. */
const MAX_UNKNOWN_LINKS = 256;

/** Time for which a peer is suspect after a failure, in milliseconds. */
const SUSPECT_DURATION_MS = 5_000;

/** Options of a {@link TcpPeerNetwork}. */
export interface TcpPeerNetworkOptions {
  self: PeerIdentity;
  clock: Clock;
  logger: Logger;
  /** Confines errors to a message or a link; logs them only by default. */
  tasks?: TaskSupervisor;
  /** Secret that all hosts share; undefined for links without encryption. */
  secret: string | undefined;
  /** Returns the address of a peer, or undefined if it is not known. */
  resolve: (host: string) => PeerAddress | undefined;
  /**
   * Returns whether links to a host are allowed; by default all are. Failure
   * tests use it to partition the network.
   */
  isLinkAllowed?: (host: string) => boolean;
  /**
   * Returns whether links to a peer are kept alive between calls; by default
   * those to peers in the same zone are.
   */
  isKeptAlive?: (peer: PeerIdentity) => boolean;
}

/** A {@link PeerNetwork} that dials {@link PeerLink}s on demand. */
export class TcpPeerNetwork extends PeerNetwork {
  private readonly table = new LinkTable();
  /** All open links, including retired ones and those in their handshake. */
  private readonly openLinks = new Set<PeerLink>();
  private readonly lastFailureMs = new Map<string, number>();
  private readonly dialling = new Map<string, Promise<PeerLink | undefined>>();
  private readonly handlers: MessageHandlers;
  private readonly sockets: PeerSockets;
  /** Counts frames that have not arrived completely. */
  private readonly frames: MemoryAccount;
  private readonly tasks: TaskSupervisor;
  private signal = new AbortController().signal;
  private boundPort = 0;

  constructor(private readonly options: TcpPeerNetworkOptions) {
    super();
    this.sockets = new PeerSockets(options);
    const {clock, logger, tasks} = options;
    this.frames = new MemoryAccount(clock, FRAMES_LIMIT_BYTES);
    this.tasks = tasks ?? new TaskSupervisor(clock, logger);
    this.handlers = new MessageHandlers(logger, this.tasks);
  }

  override get self(): PeerIdentity {
    return this.options.self;
  }

  /**
   * Starts to accept links.
   *
   * @param address - IP address to listen on.
   * @param port - port to listen on; 0 chooses a free one.
   * @param signal - closes the listener and every link.
   * @returns the port, or the message of the error.
   */
  async listen(
    address: string,
    port: number,
    signal: AbortSignal,
  ): Promise<Result<number, string>> {
    this.signal = signal;
    // Each link adds an abort listener to this signal.
    setMaxListeners(0, signal);
    const {clock} = this.options;
    void this.tasks.keepRunning('peer_links', signal, taskSignal =>
      clock.every(TICK_INTERVAL_MS, taskSignal, () => this.tick()),
    );
    const server = this.sockets.createServer(socket => {
      this.closeOldestUnknown();
      void this.tasks.run('peer_link', () =>
        this.runLink(this.createLink(socket, false), () => {}),
      );
    });
    const {logger} = this.options;
    const listener = {address, port, listener: 'peers', clock, logger};
    try {
      await startListening(server, listener);
    } catch (error) {
      return err((error as Error).message);
    }
    signal.addEventListener('abort', () => server.close());
    this.boundPort = (server.address() as AddressInfo).port;
    return ok(this.boundPort);
  }

  /**
   * Maintains a link to a peer and dials again whenever it is lost.
   *
   * @param host - name of the peer.
   * @param signal - stops the redialling; an existing link stays open.
   */
  async maintainLink(host: string, signal: AbortSignal): Promise<void> {
    const {clock} = this.options;
    await clock.every(LINK_CHECK_INTERVAL_MS, signal, async () => {
      const link = await this.getOrDialLink(host);
      if (link === undefined) await clock.sleep(REDIAL_DELAY_MS, signal);
    });
  }

  /**
   * Number of open links, including retired ones and those in their handshake.
   */
  get linkCount(): number {
    return this.openLinks.size;
  }

  /**
   * @returns whether the link to a peer failed recently and has not recovered.
   */
  isSuspect(host: string): boolean {
    const failureMs = this.lastFailureMs.get(host);
    if (failureMs === undefined || this.table.get(host)) return false;
    return this.options.clock.now() - failureMs < SUSPECT_DURATION_MS;
  }

  /** The port on which links are accepted. */
  get port(): number {
    return this.boundPort;
  }

  override connected(): PeerIdentity[] {
    return this.table.peers();
  }

  override async *open<Body, Event>(
    host: string,
    method: PeerMethod<Body, Event>,
    body: Body,
    signal: AbortSignal,
  ): AsyncGenerator<Result<Event, PeerError>, void> {
    const link = await this.getOrDialLink(host);
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
    this.handlers.serve(method, handler);
  }

  override serveUnary<Body, Event>(
    method: PeerMethod<Body, Event>,
    handler: UnaryPeerHandler<Body, Event>,
  ): void {
    super.serveUnary(method, handler);
    this.handlers.setUnary(method);
  }

  override notify<Body>(
    host: string,
    method: PeerMethod<Body, never>,
    body: Body,
  ): boolean {
    const link = this.table.get(host);
    if (link === undefined || !this.isLinkAllowed(host)) return false;
    return link.sendNotification(method.name, body);
  }

  override broadcast<Body>(method: PeerMethod<Body, never>, body: Body): void {
    const frame = encodeFrame({t: 'note', method: method.name, body});
    for (const [host, link] of this.table.entries()) {
      if (this.isLinkAllowed(host)) link.sendEncodedNotification(frame);
    }
  }

  override onNotification<Body>(
    method: PeerMethod<Body, never>,
    handler: NotificationHandler<Body>,
  ): void {
    this.handlers.onNotification(method, handler);
  }

  private isLinkAllowed(host: string): boolean {
    return this.options.isLinkAllowed?.(host) ?? true;
  }

  private shouldKeepAlive(peer: PeerIdentity): boolean {
    const {isKeptAlive} = this.options;
    return isKeptAlive?.(peer) ?? peer.zone === this.self.zone;
  }

  private tick(): void {
    this.closeSlowReaders();
    for (const link of this.openLinks) {
      link.tick();
      const {peer} = link;
      if (peer === undefined) continue;
      if (!this.isLinkAllowed(peer.host)) {
        link.close('links to the peer are not allowed');
      } else if (!this.shouldKeepAlive(peer) && link.idleMs > IDLE_TIMEOUT_MS) {
        link.close('the link was idle');
      }
    }
  }

  /** Makes room for a new link if many peers have not sent their hello frame. */
  private closeOldestUnknown(): void {
    const unknown = [...this.openLinks].filter(link => link.isUnknown);
    if (unknown.length >= MAX_UNKNOWN_LINKS)
      unknown[0].close('too many links without a hello frame');
  }

  private closeSlowReaders(): void {
    const links = [...this.openLinks];
    let unsentBytes = links.reduce((sum, link) => sum + link.unsentBytes, 0);
    if (unsentBytes <= MAX_UNSENT_BYTES) return;
    links.sort((a, b) => b.unsentBytes - a.unsentBytes);
    for (const link of links) {
      if (unsentBytes <= MAX_UNSENT_BYTES) return;
      unsentBytes -= link.unsentBytes;
      link.close('the memory of unsent bytes was needed for others');
    }
  }

  private async getOrDialLink(host: string): Promise<PeerLink | undefined> {
    if (!this.isLinkAllowed(host)) return undefined;
    const link = this.table.get(host);
    if (link !== undefined) return link;
    const pending = this.dialling.get(host) ?? this.dial(host);
    this.dialling.set(host, pending);
    const dialled = await pending.finally(() => this.dialling.delete(host));
    if (dialled === undefined) this.recordFailure(host);
    return dialled;
  }

  private async dial(host: string): Promise<PeerLink | undefined> {
    const address = this.options.resolve(host);
    if (address === undefined || this.signal.aborted) return undefined;
    const socket = await this.sockets.connect(address);
    if (socket === undefined) return undefined;
    return new Promise(resolve => {
      const link = this.createLink(socket, true);
      const ready = (kept: PeerLink) => {
        const isExpectedPeer = kept.peer!.host === host || isAddress(host);
        resolve(isExpectedPeer ? kept : undefined);
      };
      const run = () => this.runLink(link, ready);
      const ended = this.tasks.run('peer_link', run, {peer: host});
      void ended.then(() => resolve(this.table.get(host)));
    });
  }

  private createLink(socket: Socket, dialled: boolean): PeerLink {
    const {self, clock} = this.options;
    socket.setNoDelay(true);
    const isPeerKeptAlive = (peer: PeerIdentity) => this.shouldKeepAlive(peer);
    return new PeerLink({
      socket,
      self,
      isDialler: dialled,
      clock,
      handler: this.handlers,
      account: this.frames,
      isKeptAlive: isPeerKeptAlive,
    });
  }

  /**
   * Runs a link until it closes.
   *
   * @param link - the link.
   * @param onReady - called after the handshake with the link to use for the
   *     peer, which may be another one.
   */
  private async runLink(
    link: PeerLink,
    onReady: (kept: PeerLink) => void,
  ): Promise<void> {
    const {logger} = this.options;
    this.openLinks.add(link);
    await link.run(peer => {
      if (!this.isLinkAllowed(peer.host)) {
        link.close('links to the peer are not allowed');
        return;
      }
      const kept = this.table.add(link);
      this.lastFailureMs.delete(peer.host);
      logger.info('peer_link_up', {peer: peer.host, peer_zone: peer.zone});
      onReady(kept);
    }, this.signal);
    this.openLinks.delete(link);
    this.table.remove(link);
    const peer = link.peer?.host;
    if (peer !== undefined && !this.table.get(peer)) this.recordFailure(peer);
    logger.info('peer_link_down', {peer, reason: link.closeReason});
  }

  private recordFailure(host: string): void {
    this.lastFailureMs.set(host, this.options.clock.now());
  }
}

function parseEvent<Event>(
  method: PeerMethod<never, Event> | PeerMethod<unknown, Event>,
  value: unknown,
): Result<Event, PeerError> {
  const parsed = method.event.safeParse(value);
  if (parsed.success) return ok(parsed.data);
  const message = `malformed response of ${method.name}`;
  return err({type: PEER_ERROR.lost, message});
}

/**
 * Returns whether a host is named by its address and port, as it is while its
 * name is not known yet.
 */
function isAddress(host: string): boolean {
  return host.includes(':');
}
