/** Client side of the calls on a peer link. @packageDocumentation */

import {Result, err, ok} from 'neverthrow';
import {AsyncQueue} from './async_queue.js';
import {Frame} from './frame.js';
import {EVENT_WINDOW} from './incoming_calls.js';
import {PEER_ERROR, PeerError} from './peer_network.js';

type EventQueue = AsyncQueue<Result<unknown, PeerError>>;

/**
 * Tracks the calls that this host makes over one link and routes events to
 * them.
 */
export class OutgoingCalls {
  private readonly calls = new Map<number, EventQueue>();
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
    const events: EventQueue = new AsyncQueue();
    const cancel = () => failCall(events, PEER_ERROR.lost, 'timed out');
    this.calls.set(id, events);
    signal.addEventListener('abort', cancel);
    if (signal.aborted) cancel();
    else this.send({t: 'open', id, method, body});
    let consumedCount = 0;
    try {
      for await (const result of events.drain()) {
        yield result;
        if (result.isErr()) return;
        consumedCount += 1;
        if (consumedCount % (EVENT_WINDOW / 2) === 0) {
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
  handleEvent(id: number, body: unknown): boolean {
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
  handleEnd(id: number, error: string | undefined, body: unknown): void {
    const events = this.calls.get(id);
    if (events === undefined) return;
    this.calls.delete(id);
    if (body !== undefined) events.push(ok(body));
    if (error === undefined) events.close();
    else failCall(events, PEER_ERROR.rejected, error);
  }

  /** Fails every call because the link is lost. */
  failAll(reason: string): void {
    for (const events of this.calls.values()) {
      failCall(events, PEER_ERROR.lost, reason);
    }
    this.calls.clear();
  }
}

function failCall(
  events: EventQueue,
  type: PeerError['type'],
  message: string,
): void {
  events.push(err({type, message}));
  events.close();
}
