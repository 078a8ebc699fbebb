/** One connection between two hosts. @packageDocumentation */

import {setMaxListeners} from 'node:events';
import {Socket} from 'node:net';
import {Result, err} from 'neverthrow';
import {Clock} from '../time/clock.js';
import {Frame, FrameDecoder, encodeFrame} from './frame.js';
import {AnswerWriter, IncomingCalls, LinkHandler} from './incoming_calls.js';
import {OutgoingCalls} from './outgoing_calls.js';
import {PEER_ERROR, PeerError, PeerIdentity} from './peer_network.js';

/** A link over which nothing was sent for this long carries a heartbeat. */
export const HEARTBEAT_INTERVAL_MS = 800;

/** A link that brought no byte for this long is closed, in milliseconds. */
export const SILENCE_LIMIT_MS = 1_700;

/** Time between calls of {@link PeerLink.tick}, in milliseconds. */
export const TICK_INTERVAL_MS = 200;

/** How long a link that was replaced stays open for late calls. */
const RETIRED_GRACE_MS = 2_000;

/** Unsent bytes over which answers wait for the peer to read. */
const DRAIN_BYTES = 256 * 1024;

/** Unsent bytes over which notifications are dropped. */
const NOTE_LIMIT_BYTES = 1024 * 1024;

/** Unsent bytes over which the link is closed. */
const UNSENT_LIMIT_BYTES = 16 * 1024 * 1024;

/** What a {@link PeerLink} works with. */
export interface PeerLinkOptions {
  socket: Socket;
  self: PeerIdentity;
  /** Whether this host dialled. */
  dialled: boolean;
  clock: Clock;
  handler: LinkHandler;
  /** Whether the link is to be heard of between its calls as well. */
  isWatched: (peer: PeerIdentity) => boolean;
}

/**
 * Carries calls in both directions over one socket.
 *
 * `run` is the task of the link; it ends when the socket closes, goes silent
 * or breaks the protocol.
 */
export class PeerLink implements AnswerWriter {
  /** Clock time at which the link was made. */
  readonly sinceMs: number;
  private readonly closed = new AbortController();
  private readonly outgoing = new OutgoingCalls(frame => this.send(frame));
  private readonly incoming: IncomingCalls;
  private lastHeardMs: number;
  private lastSentMs = -Infinity;
  private lastCallMs: number;
  private retiredMs: number | undefined;
  private remote: PeerIdentity | undefined;
  private reason = 'the link was closed';

  constructor(private readonly options: PeerLinkOptions) {
    this.sinceMs = options.clock.now();
    this.lastHeardMs = this.sinceMs;
    this.lastCallMs = this.sinceMs;
    this.incoming = new IncomingCalls(options.handler, this);
    // Each call that waits for the peer to read listens on both.
    setMaxListeners(0, options.socket, this.closed.signal);
  }

  /** The host at the other end, once it has said hello. */
  get peer(): PeerIdentity | undefined {
    return this.remote;
  }

  /** Whether the link can still carry calls. */
  get alive(): boolean {
    return !this.closed.signal.aborted;
  }

  /** Name of the host that dialled, once the peer has said hello. */
  get dialler(): string | undefined {
    return this.options.dialled ? this.options.self.host : this.remote?.host;
  }

  /** Why the link ended. */
  get closeReason(): string {
    return this.reason;
  }

  /**
   * Says hello, then reads frames until the link ends.
   *
   * @param onHello - called once the peer has named itself.
   * @param signal - closes the link.
   */
  async run(
    onHello: (peer: PeerIdentity) => void,
    signal: AbortSignal,
  ): Promise<void> {
    const {socket, self, clock} = this.options;
    const stop = () => this.close('this host closed the link');
    signal.addEventListener('abort', stop);
    if (signal.aborted) stop();
    this.send({t: 'hello', ...self});
    const decoder = new FrameDecoder();
    try {
      for await (const chunk of socket) {
        this.lastHeardMs = clock.now();
        const frames = decoder.push(chunk as Buffer);
        if (frames.isErr()) {
          this.close(frames.error.message);
          break;
        }
        for (const frame of frames.value) this.take(frame, onHello);
      }
      this.close('the peer closed the link');
    } catch (error) {
      this.close((error as Error).message);
    } finally {
      signal.removeEventListener('abort', stop);
    }
  }

  /**
   * Starts a call.
   *
   * @returns events, then nothing more; see `PeerNetwork.open`.
   */
  async *open(
    method: string,
    body: unknown,
    signal: AbortSignal,
  ): AsyncGenerator<Result<unknown, PeerError>, void> {
    if (this.alive) yield* this.outgoing.open(method, body, signal);
    else yield err({type: PEER_ERROR.notSent, message: this.reason});
  }

  /**
   * Sends a notification, unless the peer is far behind in reading.
   *
   * @returns whether it was sent.
   */
  note(method: string, body: unknown): boolean {
    const {socket} = this.options;
    if (!this.alive || socket.writableLength > NOTE_LIMIT_BYTES) return false;
    this.send({t: 'note', method, body});
    return true;
  }

  /**
   * Sends a notification that was encoded before, likewise.
   *
   * @param frame - see {@link encodeFrame}.
   */
  noteEncoded(frame: Buffer): void {
    const {socket} = this.options;
    if (!this.alive || socket.writableLength > NOTE_LIMIT_BYTES) return;
    this.write(frame);
  }

  /** Sends a heartbeat if one is due and closes the link if it is silent. */
  tick(): void {
    const nowMs = this.options.clock.now();
    if (this.outgoing.size + this.incoming.size > 0) this.lastCallMs = nowMs;
    else if (this.remote && !this.options.isWatched(this.remote)) {
      // Nothing waits on such a link between its calls.
      this.lastHeardMs = nowMs;
      this.lastSentMs = nowMs;
    }
    if (nowMs - this.lastHeardMs > SILENCE_LIMIT_MS) {
      this.close('the link went silent');
    } else if (this.isSpent(nowMs)) {
      this.close('the link was replaced');
    } else if (nowMs - this.lastSentMs >= HEARTBEAT_INTERVAL_MS) {
      this.send({t: 'beat'});
    }
  }

  /** How long the link has carried no call, in milliseconds. */
  get idleMs(): number {
    return this.options.clock.now() - this.lastCallMs;
  }

  /** Closes the link once its calls have ended; another has replaced it. */
  retire(): void {
    this.retiredMs ??= this.options.clock.now();
  }

  /** Ends the link and every call on it. */
  close(reason: string): void {
    if (!this.alive) return;
    this.reason = reason;
    this.closed.abort();
    this.options.socket.destroy();
    this.outgoing.loseAll(reason);
    this.incoming.loseAll();
  }

  /** Part of {@link AnswerWriter}. */
  send(frame: Frame): void {
    if (this.alive) this.write(encodeFrame(frame));
  }

  private write(bytes: Buffer): void {
    const {socket, clock} = this.options;
    if (socket.writableLength > UNSENT_LIMIT_BYTES) {
      this.close('the peer reads too slowly');
      return;
    }
    this.lastSentMs = clock.now();
    socket.write(bytes);
  }

  /** Part of {@link AnswerWriter}. */
  async drained(): Promise<void> {
    const {socket} = this.options;
    if (socket.writableLength <= DRAIN_BYTES || !this.alive) return;
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

  private isSpent(nowMs: number): boolean {
    const {retiredMs, lastCallMs} = this;
    if (retiredMs === undefined) return false;
    return nowMs - Math.max(retiredMs, lastCallMs) >= RETIRED_GRACE_MS;
  }

  private take(frame: Frame, onHello: (peer: PeerIdentity) => void): void {
    if (frame.t === 'hello') {
      const {host, zone, incarnation} = frame;
      this.remote = {host, zone, incarnation};
      onHello(this.remote);
      return;
    }
    if (this.remote === undefined) {
      this.close('the peer did not say hello');
      return;
    }
    this.takeFromPeer(frame, this.remote);
  }

  private takeFromPeer(frame: Frame, from: PeerIdentity): void {
    switch (frame.t) {
      case 'open':
        void this.incoming.answer(frame, from);
        break;
      case 'event':
        if (!this.outgoing.event(frame.id, frame.body)) {
          this.close('the peer sent more events than it may');
        }
        break;
      case 'end':
        this.outgoing.end(frame.id, frame.error, frame.body);
        break;
      case 'cancel':
        this.incoming.cancel(frame.id);
        break;
      case 'credit':
        this.incoming.addCredit(frame.id, frame.events);
        break;
      case 'note':
        this.options.handler.note(frame.method, frame.body, from);
        break;
      default:
        break;
    }
  }
}
