/** The calls that a peer has made over one link. @packageDocumentation */

import {Frame} from './frame.js';
import {CALL_ABORT, CallContext, PeerIdentity} from './peer_network.js';

/** Events that a server may send ahead of the consumer. */
export const EVENT_WINDOW = 64;

const MAX_CALLS = 4_096;

/** Serves the calls that come in over a link. */
export interface LinkHandler {
  /** Answers a call; throwing rejects it. */
  dispatch(
    method: string,
    body: unknown,
    context: CallContext,
  ): AsyncIterable<unknown>;
  /** Whether a method answers with a single event. */
  isUnary(method: string): boolean;
  /** Takes a notification. */
  note(method: string, body: unknown, from: PeerIdentity): void;
}

/** How answers get to the peer. */
export interface AnswerWriter {
  /** Writes a frame to the link. */
  send(frame: Frame): void;
  /** Resolves once the peer has read enough of what was sent. */
  drained(): Promise<void>;
}

interface Call {
  abort: AbortController;
  credit: number;
  onCredit: (() => void) | undefined;
}

/** Answers the calls of a peer, no faster than it takes the events. */
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

  /** Answers a call until it ends. */
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
      if (this.handler.isUnary(method)) last = await firstOf(events);
      else await this.sendEvents(id, call, events);
    } catch (thrown) {
      error = (thrown as Error).message;
    }
    this.calls.delete(id);
    // Undefined members would be encoded.
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
      await this.writer.drained();
      if (call.abort.signal.aborted) return;
      call.credit -= 1;
      this.writer.send({t: 'event', id, body: event});
    }
  }

  /** The peer wants no more events. */
  cancel(id: number): void {
    const call = this.calls.get(id);
    call?.abort.abort(CALL_ABORT.cancelled);
    call?.onCredit?.();
  }

  /** The peer has taken events. */
  addCredit(id: number, events: number): void {
    const call = this.calls.get(id);
    if (call === undefined) return;
    call.credit += events;
    call.onCredit?.();
  }

  /** Ends every call because the link is lost. */
  loseAll(): void {
    for (const call of this.calls.values()) {
      call.abort.abort(CALL_ABORT.linkLost);
      call.onCredit?.();
    }
    this.calls.clear();
  }
}

/** The single event of a call goes out in one frame with its end. */
async function firstOf(events: AsyncIterable<unknown>): Promise<unknown> {
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
