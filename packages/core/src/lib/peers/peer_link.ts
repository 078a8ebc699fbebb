/** One connection between two hosts. @packageDocumentation */

import {setMaxListeners} from 'node:events';
import {Socket} from 'node:net';
import {Result, err} from 'neverthrow';
import {MemoryAccount, MemoryHolding} from '../intake/memory_account.js';
import {Clock} from '../time/clock.js';
import {Frame, FrameDecoder, encodeFrame} from './frame.js';
import {AnswerWriter, IncomingCalls, LinkHandler} from './incoming_calls.js';
import {OutgoingCalls} from './outgoing_calls.js';
import {PEER_ERROR, PeerError, PeerIdentity} from './peer_network.js';

/** Time without sent data after which a heartbeat is sent, in milliseconds. */
export const HEARTBEAT_INTERVAL_MS = 800;

/**
 * Time without received data after which a link is closed, in milliseconds. A
 * pause of this host does not count.
 */
export const RECEIVE_TIMEOUT_MS = 1_700;

/** Interval at which {@link PeerLink.tick} must be called, in milliseconds. */
export const TICK_INTERVAL_MS = 200;

/**
 * Longest silence that one tick counts, in milliseconds. After a later tick the
 * data of the peer may still wait in the socket.
 */
const MAX_SILENCE_PER_TICK_MS = 2 * TICK_INTERVAL_MS;

/** Time that a replaced link stays open after its last call, for late calls. */
const RETIRED_GRACE_MS = 2_000;

/** Unsent bytes above which responses wait for the socket to drain. */
const DRAIN_THRESHOLD_BYTES = 256 * 1024;

/** Unsent bytes above which notifications are dropped. */
const NOTIFICATION_DROP_THRESHOLD_BYTES = 1024 * 1024;

/** Time in which a peer has to send its hello frame, in milliseconds. */
const HELLO_TIMEOUT_MS = 2_000;

/** Largest hello frame; larger ones come from known peers only. */
const MAX_HELLO_BYTES = 4_096;

/** Unsent bytes above which the link is closed. */
const MAX_UNSENT_BYTES = 16 * 1024 * 1024;

/** Options of a {@link PeerLink}. */
export interface PeerLinkOptions {
  socket: Socket;
  self: PeerIdentity;
  /** Whether this host dialled the connection. */
  isDialler: boolean;
  clock: Clock;
  handler: LinkHandler;
  /** Counts frames that have not arrived completely. */
  account: MemoryAccount;
  /** Whether heartbeats keep the link alive while it carries no calls. */
  isKeptAlive: (peer: PeerIdentity) => boolean;
}

/**
 * Carries calls and notifications in both directions over one socket.
 *
 * `run` drives the link. It returns when the socket closes, the peer stops
 * sending or the peer violates the protocol.
 */
export class PeerLink implements AnswerWriter {
  /** Clock time at which the link was created, in milliseconds. */
  readonly createdMs: number;
  private readonly closed = new AbortController();
  private readonly outgoing = new OutgoingCalls(frame => this.send(frame));
  private readonly incoming: IncomingCalls;
  private readonly holding: MemoryHolding;
  private lastTickMs: number;
  private silentMs = 0;
  private lastSentMs = -Infinity;
  private lastCallMs: number;
  private retiredMs: number | undefined;
  private remote: PeerIdentity | undefined;
  private reason = 'the link was closed';

  constructor(private readonly options: PeerLinkOptions) {
    this.createdMs = options.clock.now();
    this.lastTickMs = this.createdMs;
    this.lastCallMs = this.createdMs;
    this.incoming = new IncomingCalls(options.handler, this);
    this.holding = options.account.open({
      isFavored: false,
      evict: () => this.close('the memory of its frame was needed for others'),
      resume: () => {},
    });
    // Each call that waits for the socket to drain adds a listener to both.
    setMaxListeners(0, options.socket, this.closed.signal);
  }

  /** Identity of the peer, known once its hello frame has arrived. */
  get peer(): PeerIdentity | undefined {
    return this.remote;
  }

  /** Whether it was accepted, and its peer has not sent a hello frame yet. */
  get isUnknown(): boolean {
    return !this.options.isDialler && this.remote === undefined;
  }

  /** Whether the link is open. */
  get isAlive(): boolean {
    return !this.closed.signal.aborted;
  }

  /** Name of the host that dialled, known once the hello frame has arrived. */
  get dialler(): string | undefined {
    return this.options.isDialler ? this.options.self.host : this.remote?.host;
  }

  /** The reason for which the link was closed. */
  get closeReason(): string {
    return this.reason;
  }

  /**
   * Sends a hello frame, then handles frames until the link closes.
   *
   * @param onHello - called when the hello frame of the peer has arrived.
   * @param signal - closes the link.
   */
  async run(
    onHello: (peer: PeerIdentity) => void,
    signal: AbortSignal,
  ): Promise<void> {
    const {socket, self} = this.options;
    const stop = () => this.close('this host closed the link');
    signal.addEventListener('abort', stop);
    if (signal.aborted) stop();
    this.send({t: 'hello', ...self});
    const decoder = new FrameDecoder();
    try {
      for await (const chunk of socket) {
        this.silentMs = 0;
        const frames = decoder.push(chunk as Buffer);
        if (frames.isErr()) {
          this.close(frames.error.message);
          break;
        }
        for (const frame of frames.value) {
          // An earlier frame may have closed the link.
          if (this.isAlive) this.handleFrame(frame, onHello);
        }
        this.holding.recordMoved((chunk as Buffer).length);
        this.holding.resize(decoder.bufferedBytes);
        const isUnknown = this.remote === undefined;
        if (isUnknown && decoder.pendingBytes > MAX_HELLO_BYTES)
          this.close('the hello frame is too large');
      }
      this.close('the peer closed the link');
    } catch (error) {
      this.close((error as Error).message);
    } finally {
      signal.removeEventListener('abort', stop);
      this.holding.close();
    }
  }

  /**
   * Starts a call.
   *
   * @returns the events of the call; see `PeerNetwork.open`.
   */
  async *open(
    method: string,
    body: unknown,
    signal: AbortSignal,
  ): AsyncGenerator<Result<unknown, PeerError>, void> {
    if (this.isAlive) yield* this.outgoing.open(method, body, signal);
    else yield err({type: PEER_ERROR.notSent, message: this.reason});
  }

  /**
   * Sends a notification, unless too many bytes are unsent.
   *
   * @returns whether the notification was sent.
   */
  sendNotification(method: string, body: unknown): boolean {
    const {socket} = this.options;
    if (
      !this.isAlive ||
      socket.writableLength > NOTIFICATION_DROP_THRESHOLD_BYTES
    )
      return false;
    this.send({t: 'note', method, body});
    return true;
  }

  /**
   * Sends an already encoded notification, unless too many bytes are unsent.
   *
   * @param frame - the frame as returned by {@link encodeFrame}.
   */
  sendEncodedNotification(frame: Buffer): void {
    const {socket} = this.options;
    if (
      !this.isAlive ||
      socket.writableLength > NOTIFICATION_DROP_THRESHOLD_BYTES
    )
      return;
    this.write(frame);
  }

  /**
   * Sends a heartbeat if one is due. Closes the link if the peer has stopped
   * sending or the grace period of a retired link is over.
   */
  tick(): void {
    const nowMs = this.options.clock.now();
    const sinceTickMs = nowMs - this.lastTickMs;
    this.lastTickMs = nowMs;
    this.silentMs += Math.min(sinceTickMs, MAX_SILENCE_PER_TICK_MS);
    if (this.outgoing.size + this.incoming.size > 0) this.lastCallMs = nowMs;
    else if (this.remote && !this.options.isKeptAlive(this.remote)) {
      // Without calls there is no need to detect that the peer is gone.
      this.silentMs = 0;
      this.lastSentMs = nowMs;
    }
    if (this.remote === undefined && this.ageMs > HELLO_TIMEOUT_MS) {
      this.close('no hello frame within the timeout');
    } else if (this.silentMs > RECEIVE_TIMEOUT_MS) {
      this.close('no data received from the peer within the timeout');
    } else if (this.isGracePeriodOver(nowMs)) {
      this.close('the link was replaced');
    } else if (nowMs - this.lastSentMs >= HEARTBEAT_INTERVAL_MS) {
      this.send({t: 'beat'});
    }
  }

  /** Time since the link was created, in milliseconds. */
  private get ageMs(): number {
    return this.options.clock.now() - this.createdMs;
  }

  /** Bytes that the peer has not read. */
  get unsentBytes(): number {
    return this.options.socket.writableLength;
  }

  /** Time since the link last carried a call, in milliseconds. */
  get idleMs(): number {
    return this.options.clock.now() - this.lastCallMs;
  }

  /** Marks the link as replaced; it closes after its last call has ended. */
  retire(): void {
    this.retiredMs ??= this.options.clock.now();
  }

  /** Closes the link and ends every call on it. */
  close(reason: string): void {
    if (!this.isAlive) return;
    this.reason = reason;
    this.closed.abort();
    this.options.socket.destroy();
    this.outgoing.failAll(reason);
    this.incoming.abortAll();
  }

  /** Implements {@link AnswerWriter}. */
  send(frame: Frame): void {
    if (this.isAlive) this.write(encodeFrame(frame));
  }

  private write(bytes: Buffer): void {
    const {socket, clock} = this.options;
    if (socket.writableLength > MAX_UNSENT_BYTES) {
      this.close('the peer reads too slowly');
      return;
    }
    this.lastSentMs = clock.now();
    socket.write(bytes);
  }

  /** Implements {@link AnswerWriter}. */
  async whenDrained(): Promise<void> {
    const {socket} = this.options;
    if (socket.writableLength <= DRAIN_THRESHOLD_BYTES || !this.isAlive) return;
    await new Promise<void>(resolve => {
      const finish = () => {
        socket.off('drain', finish);
        this.closed.signal.removeEventListener('abort', finish);
        resolve();
      };
      socket.on('drain', finish);
      this.closed.signal.addEventListener('abort', finish);
    });
  }

  private isGracePeriodOver(nowMs: number): boolean {
    const {retiredMs, lastCallMs} = this;
    if (retiredMs === undefined) return false;
    return nowMs - Math.max(retiredMs, lastCallMs) >= RETIRED_GRACE_MS;
  }

  private handleFrame(
    frame: Frame,
    onHello: (peer: PeerIdentity) => void,
  ): void {
    if (frame.t === 'hello') {
      const {host, zone, incarnation} = frame;
      this.remote = {host, zone, incarnation};
      onHello(this.remote);
      return;
    }
    if (this.remote === undefined) {
      this.close('the peer sent another frame before its hello frame');
      return;
    }
    this.handlePeerFrame(frame, this.remote);
  }

  private handlePeerFrame(frame: Frame, from: PeerIdentity): void {
    switch (frame.t) {
      case 'open':
        void this.incoming.answer(frame, from);
        break;
      case 'event':
        if (!this.outgoing.handleEvent(frame.id, frame.body)) {
          this.close('the peer exceeded the flow control window');
        }
        break;
      case 'end':
        this.outgoing.handleEnd(frame.id, frame.error, frame.body);
        break;
      case 'cancel':
        this.incoming.cancel(frame.id);
        break;
      case 'credit':
        this.incoming.addCredit(frame.id, frame.events);
        break;
      case 'note':
        this.options.handler.handleNotification(frame.method, frame.body, from);
        break;
      default:
        break;
    }
  }
}
