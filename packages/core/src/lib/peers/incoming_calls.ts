/** Server side of the calls on a peer link. @packageDocumentation */

import {Frame} from './frame.js';
import {CALL_ABORT, CallContext, PeerIdentity} from './peer_network.js';

/**
 * Flow control window: events that may be sent before the caller grants credit.
 */
export const EVENT_WINDOW = 64;

const MAX_CALLS = 4_096;

/** Handles the calls and notifications that arrive over a link. */
export interface LinkHandler {
  /** Handles a call. Throwing an error rejects the call. */
  dispatch(
    method: string,
    body: unknown,
    context: CallContext,
  ): AsyncIterable<unknown>;
  /** @returns whether a method responds with a single event. */
  isUnary(method: string): boolean;
  /** Handles a notification. */
  handleNotification(method: string, body: unknown, from: PeerIdentity): void;
}

/** Writes the responses of calls to the link. */
export interface AnswerWriter {
  /** Writes a frame to the link. */
  send(frame: Frame): void;
  /**
   * Waits for backpressure to end.
   *
   * @returns a promise that resolves once the send buffer has drained enough.
   */
  whenDrained(): Promise<void>;
}

interface Call {
  abort: AbortController;
  credit: number;
  onCredit: (() => void) | undefined;
}

/**
 * Runs the calls that a peer makes over one link. Events are sent only as far
 * as the credit of the caller goes.
 */
export class IncomingCalls {
  private readonly calls = new Map<number, Call>();

  constructor(
    private readonly handler: LinkHandler,
    private readonly writer: AnswerWriter,
  ) {}

  /** Number of calls in progress. */
  get size(): number {
    return this.calls.size;
  }

  /** Runs a call until it ends. */
  async answer(
    {id, method, body}: {id: number; method: string; body: unknown},
    from: PeerIdentity,
  ): Promise<void> {
    if (this.calls.size >= MAX_CALLS) {
      this.writer.send({t: 'end', id, error: 'too many calls on this link'});
      return;
    }
    const abort = new AbortController();
    const call: Call = {abort, credit: EVENT_WINDOW, onCredit: undefined};
    this.calls.set(id, call);
    const context = {from, signal: abort.signal};
    let error: string | undefined;
    let last: unknown;
    try {
      const events = this.handler.dispatch(method, body, context);
      if (this.handler.isUnary(method)) last = await firstEvent(events);
      else await this.sendEvents(id, call, events);
    } catch (thrown) {
      error = (thrown as Error).message;
    }
    this.calls.delete(id);
    // The encoder would write properties whose value is undefined.
    const reason = error === undefined ? {} : {error};
    const event = last === undefined ? {} : {body: last};
    this.writer.send({t: 'end', id, ...reason, ...event});
  }

  private async sendEvents(
    id: number,
    call: Call,
    events: AsyncIterable<unknown>,
  ): Promise<void> {
    for await (const event of events) {
      await waitForCredit(call);
      await this.writer.whenDrained();
      if (call.abort.signal.aborted) return;
      call.credit -= 1;
      this.writer.send({t: 'event', id, body: event});
    }
  }

  /** Cancels a call at the request of the peer. */
  cancel(id: number): void {
    const call = this.calls.get(id);
    call?.abort.abort(CALL_ABORT.cancelled);
    call?.onCredit?.();
  }

  /** Adds credit after the peer has consumed events. */
  addCredit(id: number, events: number): void {
    const call = this.calls.get(id);
    if (call === undefined) return;
    call.credit += events;
    call.onCredit?.();
  }

  /** Aborts every call because the link is lost. */
  abortAll(): void {
    for (const call of this.calls.values()) {
      call.abort.abort(CALL_ABORT.linkLost);
      call.onCredit?.();
    }
    this.calls.clear();
  }
}

/**
 * Returns the event of a unary call, which is sent in the same frame as the
 * end of the call.
 */
async function firstEvent(events: AsyncIterable<unknown>): Promise<unknown> {
  for await (const event of events) return event;
  return undefined;
}

async function waitForCredit(call: Call): Promise<void> {
  while (call.credit === 0 && !call.abort.signal.aborted) {
    await new Promise<void>(resolve => {
      call.onCredit = resolve;
    });
    call.onCredit = undefined;
  }
}
