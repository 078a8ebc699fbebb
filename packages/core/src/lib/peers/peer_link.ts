/** One connection between two hosts. @packageDocumentation */

import {Socket} from 'node:net';
import {Result, err, ok} from 'neverthrow';
import {Clock} from '../time/clock.js';
import {AsyncQueue} from './async_queue.js';
import {Frame, FrameDecoder, encodeFrame} from './frame.js';
import {
  CALL_ABORT,
  CallContext,
  PEER_ERROR,
  PeerError,
  PeerIdentity,
} from './peer_network.js';

/** Time between heartbeats, in milliseconds. */
export const HEARTBEAT_INTERVAL_MS = 500;

/** A link that brought no byte for this long is closed, in milliseconds. */
export const SILENCE_LIMIT_MS = 1_500;

/** Events that a server may send ahead of the consumer. */
const EVENT_WINDOW = 64;

/** Serves the calls that come in over a link. */
export interface LinkHandler {
  /** Answers a call; throwing rejects it. */
  dispatch(
    method: string,
    body: unknown,
    context: CallContext,
  ): AsyncIterable<unknown>;
  /** Takes a notification. */
  note(method: string, body: unknown, from: PeerIdentity): void;
}

interface OutgoingCall {
  events: AsyncQueue<Result<unknown, PeerError>>;
}

interface IncomingCall {
  abort: AbortController;
  credit: number;
  onCredit: (() => void) | undefined;
}

/** What a {@link PeerLink} works with. */
export interface PeerLinkOptions {
  socket: Socket;
  self: PeerIdentity;
  clock: Clock;
  handler: LinkHandler;
}

/**
 * Carries calls in both directions over one socket.
 *
 * `run` is the task of the link; it ends when the socket closes, goes silent
 * or breaks the protocol.
 */
export class PeerLink {
  private readonly closed = new AbortController();
  private readonly outgoing = new Map<number, OutgoingCall>();
  private readonly incoming = new Map<number, IncomingCall>();
  private nextCallId = 0;
  private lastHeardMs: number;
  private remote: PeerIdentity | undefined;
  private reason = 'the link was closed';

  constructor(private readonly options: PeerLinkOptions) {
    this.lastHeardMs = options.clock.now();
  }

  /** The host at the other end, once it has said hello. */
  get peer(): PeerIdentity | undefined {
    return this.remote;
  }

  /** Whether the link can still carry calls. */
  get alive(): boolean {
    return !this.closed.signal.aborted;
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
    void clock.every(HEARTBEAT_INTERVAL_MS, this.closed.signal, () =>
      this.beat(),
    );
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
    if (!this.alive) {
      yield err({type: PEER_ERROR.notSent, message: this.reason});
      return;
    }
    const id = this.nextCallId++;
    const events = new AsyncQueue<Result<unknown, PeerError>>();
    const cancel = () => {
      events.push(err({type: PEER_ERROR.lost, message: 'timed out'}));
      events.close();
    };
    this.outgoing.set(id, {events});
    signal.addEventListener('abort', cancel);
    if (signal.aborted) cancel();
    else this.send({t: 'open', id, method, body});
    let taken = 0;
    try {
      for await (const event of events.drain()) {
        yield event;
        if (event.isErr()) return;
        taken += 1;
        if (taken % (EVENT_WINDOW / 2) === 0) {
          this.send({t: 'credit', id, events: EVENT_WINDOW / 2});
        }
      }
    } finally {
      signal.removeEventListener('abort', cancel);
      if (this.outgoing.delete(id)) this.send({t: 'cancel', id});
    }
  }

  /** Sends a notification. */
  note(method: string, body: unknown): void {
    this.send({t: 'note', method, body});
  }

  /** Ends the link and every call on it. */
  close(reason: string): void {
    if (!this.alive) return;
    this.reason = reason;
    this.closed.abort();
    this.options.socket.destroy();
    const error: PeerError = {type: PEER_ERROR.lost, message: reason};
    for (const {events} of this.outgoing.values()) {
      events.push(err(error));
      events.close();
    }
    this.outgoing.clear();
    for (const call of this.incoming.values()) {
      call.abort.abort(CALL_ABORT.linkLost);
      call.onCredit?.();
    }
    this.incoming.clear();
  }

  private beat(): void {
    const silentMs = this.options.clock.now() - this.lastHeardMs;
    if (silentMs > SILENCE_LIMIT_MS) this.close('the link went silent');
    else this.send({t: 'beat'});
  }

  private send(frame: Frame): void {
    if (this.alive) this.options.socket.write(encodeFrame(frame));
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
        void this.answer(frame.id, frame.method, frame.body, from);
        break;
      case 'event':
        this.outgoing.get(frame.id)?.events.push(ok(frame.body));
        break;
      case 'end':
        this.endOutgoing(frame.id, frame.error);
        break;
      case 'cancel':
        this.incoming.get(frame.id)?.abort.abort(CALL_ABORT.cancelled);
        this.incoming.get(frame.id)?.onCredit?.();
        break;
      case 'credit':
        this.addCredit(frame.id, frame.events);
        break;
      case 'note':
        this.options.handler.note(frame.method, frame.body, from);
        break;
      default:
        break;
    }
  }

  private endOutgoing(id: number, error: string | undefined): void {
    const call = this.outgoing.get(id);
    if (call === undefined) return;
    this.outgoing.delete(id);
    if (error !== undefined) {
      call.events.push(err({type: PEER_ERROR.rejected, message: error}));
    }
    call.events.close();
  }

  private addCredit(id: number, events: number): void {
    const call = this.incoming.get(id);
    if (call === undefined) return;
    call.credit += events;
    call.onCredit?.();
  }

  private async answer(
    id: number,
    method: string,
    body: unknown,
    from: PeerIdentity,
  ): Promise<void> {
    const abort = new AbortController();
    const call: IncomingCall = {
      abort,
      credit: EVENT_WINDOW,
      onCredit: undefined,
    };
    this.incoming.set(id, call);
    let error: string | undefined;
    try {
      const {handler} = this.options;
      const context = {from, signal: abort.signal};
      for await (const event of handler.dispatch(method, body, context)) {
        await waitForCredit(call);
        if (abort.signal.aborted) break;
        call.credit -= 1;
        this.send({t: 'event', id, body: event});
      }
    } catch (thrown) {
      error = (thrown as Error).message;
    }
    this.incoming.delete(id);
    this.send({t: 'end', id, error});
  }
}

async function waitForCredit(call: IncomingCall): Promise<void> {
  while (call.credit === 0 && !call.abort.signal.aborted) {
    await new Promise<void>(resolve => {
      call.onCredit = resolve;
    });
    call.onCredit = undefined;
  }
}
