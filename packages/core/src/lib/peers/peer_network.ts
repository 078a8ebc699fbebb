/** How hosts of the system talk to each other. @packageDocumentation */

import {Result, err} from 'neverthrow';
import {z} from 'zod';
import {withTimeLimit} from '../time/time_limit.js';

/** A method that hosts can call on each other; it answers with events. */
export interface PeerMethod<Body, Event> {
  name: string;
  body: z.ZodType<Body>;
  event: z.ZodType<Event>;
}

/** What went wrong with a call to a peer. */
export const PEER_ERROR = {
  /** No byte of the call left this host. */
  notSent: 'not-sent',
  /** The link was lost, or the peer gave no answer in time. */
  lost: 'lost',
  /** The peer's handler gave up with a message. */
  rejected: 'rejected',
} as const;

/** An error of a call to a peer. */
export interface PeerError {
  type: (typeof PEER_ERROR)[keyof typeof PEER_ERROR];
  message: string;
}

/** Who a call comes from. */
export interface PeerIdentity {
  host: string;
  zone: string;
  /** Differs for every start of the host. */
  incarnation: string;
}

/** Why the signal of a call aborted; see {@link CallContext}. */
export const CALL_ABORT = {
  cancelled: 'cancelled',
  linkLost: 'link-lost',
} as const;

/** What a handler knows of a call besides its body. */
export interface CallContext {
  from: PeerIdentity;
  /**
   * Aborts when the caller cancels or its link is lost; the reason is one of
   * {@link CALL_ABORT}.
   */
  signal: AbortSignal;
}

/** Answers calls of a method. Throwing ends the call as rejected. */
export type PeerHandler<Body, Event> = (
  body: Body,
  context: CallContext,
) => AsyncIterable<Event>;

/** Answers calls of a method with a single event. */
export type UnaryPeerHandler<Body, Event> = (
  body: Body,
  context: CallContext,
) => Promise<Event> | Event;

/** Takes notifications, which get no answer. */
export type NoteHandler<Body> = (body: Body, from: PeerIdentity) => void;

/** Options of {@link PeerNetwork.call}. */
export interface CallOptions {
  timeoutMs: number;
  signal: AbortSignal;
}

/**
 * Calls and notifications between hosts.
 *
 * Events of one call arrive in order and once; a lost link ends the call with
 * an error. Notifications may be lost.
 */
export abstract class PeerNetwork {
  /** This host. */
  abstract readonly self: PeerIdentity;

  /** @returns the peers to which a live link exists. */
  abstract connected(): PeerIdentity[];

  /**
   * Starts a call.
   *
   * @param host - name of the peer.
   * @param method - what to call.
   * @param body - must match the method's schema.
   * @param signal - cancels the call.
   * @returns the events; after an error no more follow. Ending the iteration
   *     early cancels the call.
   */
  abstract open<Body, Event>(
    host: string,
    method: PeerMethod<Body, Event>,
    body: Body,
    signal: AbortSignal,
  ): AsyncGenerator<Result<Event, PeerError>, void>;

  /** Sets the handler of a method; each method has one. */
  abstract serve<Body, Event>(
    method: PeerMethod<Body, Event>,
    handler: PeerHandler<Body, Event>,
  ): void;

  /**
   * Sends a notification if there is a live link to the peer.
   *
   * @returns whether it was handed to a link.
   */
  abstract notify<Body>(
    host: string,
    method: PeerMethod<Body, never>,
    body: Body,
  ): boolean;

  /**
   * Notifies every connected peer; see {@link PeerNetwork.notify}.
   *
   * @param method - names the notification.
   * @param body - what to tell.
   */
  broadcast<Body>(method: PeerMethod<Body, never>, body: Body): void {
    for (const {host} of this.connected()) this.notify(host, method, body);
  }

  /** Sets the handler of a notification. */
  abstract onNote<Body>(
    method: PeerMethod<Body, never>,
    handler: NoteHandler<Body>,
  ): void;

  /**
   * Calls a method that answers with a single event.
   *
   * @returns the event, or the error.
   */
  call<Body, Event>(
    host: string,
    method: PeerMethod<Body, Event>,
    body: Body,
    {timeoutMs, signal}: CallOptions,
  ): Promise<Result<Event, PeerError>> {
    return withTimeLimit(timeoutMs, signal, async limited => {
      for await (const event of this.open(host, method, body, limited)) {
        return event;
      }
      return err({type: PEER_ERROR.lost, message: `${host} sent no answer`});
    });
  }

  /** Sets the handler of a method that answers with a single event. */
  serveUnary<Body, Event>(
    method: PeerMethod<Body, Event>,
    handler: UnaryPeerHandler<Body, Event>,
  ): void {
    this.serve(method, async function* (body, context) {
      yield await handler(body, context);
    });
  }
}
