/** Client side of the calls on a peer link. @packageDocumentation */

import {Result, err, ok} from 'neverthrow';
import {AsyncQueue} from './async_queue.js';
import {Frame} from './frame.js';
import {EVENT_WINDOW} from './incoming_calls.js';
import {PEER_ERROR, PeerError} from './peer_network.js';

type Events = AsyncQueue<Result<unknown, PeerError>>;

/**
 * Tracks the calls that this host makes over one link and routes events to
 * them.
 */
export class OutgoingCalls {
  private readonly calls = new Map<number, Events>();
  private nextId = 0;

  /** @param send - writes a frame to the link. */
  constructor(private readonly send: (frame: Frame) => void) {}

  /** Number of calls in progress. */
  get size(): number {
    return this.calls.size;
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
    const id = this.nextId++;
    const events: Events = new AsyncQueue();
    const cancel = () => fail(events, PEER_ERROR.lost, 'timed out');
    this.calls.set(id, events);
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
      if (this.calls.delete(id)) this.send({t: 'cancel', id});
    }
  }

  /**
   * Delivers an event to its call. Events of unknown calls are ignored, because
   * those calls have already ended on this side.
   *
   * @returns false if the peer exceeded the flow control window.
   */
  event(id: number, body: unknown): boolean {
    const events = this.calls.get(id);
    if (events === undefined) return true;
    events.push(ok(body));
    return events.length <= EVENT_WINDOW;
  }

  /**
   * Ends a call at the request of the peer.
   *
   * @param id - id of the call.
   * @param error - message of the error, if the call failed.
   * @param body - the event of a unary call.
   */
  end(id: number, error: string | undefined, body: unknown): void {
    const events = this.calls.get(id);
    if (events === undefined) return;
    this.calls.delete(id);
    if (body !== undefined) events.push(ok(body));
    if (error === undefined) events.close();
    else fail(events, PEER_ERROR.rejected, error);
  }

  /** Fails every call because the link is lost. */
  loseAll(reason: string): void {
    for (const events of this.calls.values()) {
      fail(events, PEER_ERROR.lost, reason);
    }
    this.calls.clear();
  }
}

function fail(events: Events, type: PeerError['type'], message: string): void {
  events.push(err({type, message}));
  events.close();
}
