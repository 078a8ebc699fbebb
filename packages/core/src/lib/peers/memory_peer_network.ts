/** An in-memory peer network for tests and simulations. @packageDocumentation */

import {Result, err, ok} from 'neverthrow';
import {Clock} from '../time/clock.js';
import {Random} from '../time/random.js';
import {
  CallOptions,
  NotificationHandler,
  PEER_ERROR,
  PeerError,
  PeerHandler,
  PeerIdentity,
  PeerMethod,
  PeerNetwork,
} from './peer_network.js';

/** Faults that are injected into the messages between hosts. */
export interface MessageFaults {
  /** Shortest delay of a message, in milliseconds. */
  minDelayMs: number;
  /** Longest delay of a message, in milliseconds. */
  maxDelayMs: number;
  /** Fraction of the messages that are lost, from 0 to 1. */
  lossFraction: number;
  /** Fraction of the messages that are delivered twice, from 0 to 1. */
  duplicationFraction: number;
}

type AnyMethod = PeerMethod<unknown, unknown>;
type AnyHandler = PeerHandler<unknown, unknown>;

/**
 * Connects {@link MemoryPeerNetwork}s. Its faults can be changed at any time.
 */
export class MemoryHub {
  faults: MessageFaults = {
    minDelayMs: 1,
    maxDelayMs: 1,
    lossFraction: 0,
    duplicationFraction: 0,
  };

  /** Returns whether all messages between two hosts are dropped. */
  isPartitioned: (from: PeerIdentity, to: PeerIdentity) => boolean = () =>
    false;

  /** Observes each message that is sent. */
  onMessage: (from: PeerIdentity, body: unknown) => void = () => {};

  private readonly hosts = new Map<string, MemoryPeerNetwork>();

  /**
   * @param clock - times the message delays and the call timeouts.
   * @param random - draws the delay, loss and duplication of each message.
   */
  constructor(
    readonly clock: Clock,
    private readonly random: Random,
  ) {}

  /**
   * Adds a host, replacing an earlier incarnation of it.
   *
   * @returns the network of the host.
   */
  join(self: PeerIdentity): MemoryPeerNetwork {
    const network = new MemoryPeerNetwork(self, this);
    this.hosts.set(self.host, network);
    return network;
  }

  /** Removes a host, as if its process had crashed. */
  remove(host: string): void {
    this.hosts.delete(host);
  }

  /** @returns the network of a host, or undefined if it was removed. */
  find(host: string): MemoryPeerNetwork | undefined {
    return this.hosts.get(host);
  }

  /** @returns the networks of all hosts. */
  all(): MemoryPeerNetwork[] {
    return [...this.hosts.values()];
  }

  /** Sends a message, subject to the faults. */
  send(
    from: PeerIdentity,
    host: string,
    body: unknown,
    deliver: (to: MemoryPeerNetwork) => void,
  ): void {
    const {random, clock, faults} = this;
    this.onMessage(from, body);
    const copies = random.float() < faults.duplicationFraction ? 2 : 1;
    for (let copy = 0; copy < copies; copy++) {
      if (random.float() < faults.lossFraction) continue;
      const spreadMs = faults.maxDelayMs - faults.minDelayMs;
      const delayMs = faults.minDelayMs + random.float() * spreadMs;
      clock.after(delayMs, () => {
        const to = this.hosts.get(host);
        if (to !== undefined && !this.isPartitioned(from, to.self)) deliver(to);
      });
    }
  }
}

/**
 * A {@link PeerNetwork} that sends its messages through a {@link MemoryHub}.
 * Like a real one, it drops notifications that do not match their schema.
 */
export class MemoryPeerNetwork extends PeerNetwork {
  private readonly handlers = new Map<string, AnyHandler>();
  private readonly notificationHandlers = new Map<
    string,
    NotificationHandler<unknown>
  >();

  constructor(
    override readonly self: PeerIdentity,
    private readonly hub: MemoryHub,
  ) {
    super();
  }

  override connected(): PeerIdentity[] {
    return this.hub
      .all()
      .map(({self}) => self)
      .filter(({host}) => host !== this.self.host)
      .filter(peer => !this.hub.isPartitioned(this.self, peer));
  }

  override async *open<Body, Event>(
    host: string,
    method: PeerMethod<Body, Event>,
    body: Body,
    signal: AbortSignal,
  ): AsyncGenerator<Result<Event, PeerError>, void> {
    const timeoutMs = Infinity;
    yield await this.call(host, method, body, {timeoutMs, signal});
  }

  override serve<Body, Event>(
    method: PeerMethod<Body, Event>,
    handler: PeerHandler<Body, Event>,
  ): void {
    this.handlers.set(method.name, handler as AnyHandler);
  }

  override notify<Body>(
    host: string,
    method: PeerMethod<Body, never>,
    body: Body,
  ): boolean {
    this.hub.send(this.self, host, body, to => {
      const parsed = method.body.safeParse(body);
      if (!parsed.success) return;
      to.notificationHandlers.get(method.name)?.(parsed.data, this.self);
    });
    return true;
  }

  override onNotification<Body>(
    method: PeerMethod<Body, never>,
    handler: NotificationHandler<Body>,
  ): void {
    this.notificationHandlers.set(
      method.name,
      handler as NotificationHandler<unknown>,
    );
  }

  /** Times out on the hub's clock. Duplicate responses are ignored. */
  override call<Body, Event>(
    host: string,
    method: PeerMethod<Body, Event>,
    body: Body,
    {timeoutMs, signal}: CallOptions,
  ): Promise<Result<Event, PeerError>> {
    const {hub, self} = this;
    return new Promise(resolve => {
      const finish = (result: Result<Event, PeerError>) => {
        timer?.cancel();
        signal.removeEventListener('abort', fail);
        resolve(result);
      };
      const fail = () =>
        finish(
          err({type: PEER_ERROR.lost, message: `${host} sent no response`}),
        );
      const timer =
        timeoutMs === Infinity ? undefined : hub.clock.after(timeoutMs, fail);
      signal.addEventListener('abort', fail);
      const respondFrom = async (to: MemoryPeerNetwork) => {
        const answer = await to.handle(method as AnyMethod, body, self);
        hub.send(to.self, self.host, answer, receiver => {
          if (receiver === this) finish(ok(answer as Event));
        });
      };
      hub.send(self, host, body, to => void respondFrom(to));
    });
  }

  private async handle(
    {name}: AnyMethod,
    body: unknown,
    from: PeerIdentity,
  ): Promise<unknown> {
    const {signal} = new AbortController();
    const handler = this.handlers.get(name);
    if (handler === undefined) throw new Error(`no method ${name}`);
    for await (const event of handler(body, {from, signal})) return event;
    return undefined;
  }
}
