/** Remote procedure calls between hosts. @packageDocumentation */

import {Result, err} from 'neverthrow';
import {z} from 'zod';
import {withTimeout} from '../time/timeout.js';

/** A method that hosts can call on each other. It responds with events. */
export interface PeerMethod<Body, Event> {
  name: string;
  body: z.ZodType<Body>;
  event: z.ZodType<Event>;
}

/** Types of errors of a call to a peer. */
export const PEER_ERROR = {
  /** No byte of the call was sent. */
  notSent: 'not-sent',
  /** The link was lost, or no valid response arrived in time. */
  lost: 'lost',
  /** The peer's handler threw an error. */
  rejected: 'rejected',
} as const;

/** An error of a call to a peer. */
export interface PeerError {
  type: (typeof PEER_ERROR)[keyof typeof PEER_ERROR];
  message: string;
}

/** Identity of a host that takes part in the network. */
export interface PeerIdentity {
  host: string;
  zone: string;
  /** Unique for every start of the host. */
  incarnation: string;
}

/** Abort reasons of the signal of a call; see {@link CallContext}. */
export const CALL_ABORT = {
  cancelled: 'cancelled',
  linkLost: 'link-lost',
} as const;

/** Context of a call that a handler receives besides the body. */
export interface CallContext {
  from: PeerIdentity;
  /**
   * Aborts when the caller cancels the call or its link is lost. The abort
   * reason is one of {@link CALL_ABORT}.
   */
  signal: AbortSignal;
}

/** Handles calls of a method. Throwing an error rejects the call. */
export type PeerHandler<Body, Event> = (
  body: Body,
  context: CallContext,
) => AsyncIterable<Event>;

/** Handles calls of a method that responds with a single event. */
export type UnaryPeerHandler<Body, Event> = (
  body: Body,
  context: CallContext,
) => Promise<Event> | Event;

/** Handles notifications, which get no response. */
export type NotificationHandler<Body> = (
  body: Body,
  from: PeerIdentity,
) => void;

/** Options of {@link PeerNetwork.call}. */
export interface CallOptions {
  timeoutMs: number;
  signal: AbortSignal;
}

/**
 * Sends calls and notifications to other hosts and handles theirs.
 *
 * Events of one call arrive in order and exactly once; a lost link ends the
 * call with an error. Notifications may be lost.
 */
export abstract class PeerNetwork {
  /** Identity of this host. */
  abstract readonly self: PeerIdentity;

  /** @returns the peers that have a live link to this host. */
  abstract connected(): PeerIdentity[];

  /**
   * Starts a call.
   *
   * @param host - name of the peer.
   * @param method - the method to call.
   * @param body - the request body, which must match the schema of the method.
   * @param signal - cancels the call.
   * @returns the events of the call. No event follows an error. Ending the
   *     iteration early cancels the call.
   */
  abstract open<Body, Event>(
    host: string,
    method: PeerMethod<Body, Event>,
    body: Body,
    signal: AbortSignal,
  ): AsyncGenerator<Result<Event, PeerError>, void>;

  /** Sets the handler of a method, replacing an earlier one. */
  abstract serve<Body, Event>(
    method: PeerMethod<Body, Event>,
    handler: PeerHandler<Body, Event>,
  ): void;

  /**
   * Sends a notification if there is a live link to the peer.
   *
   * @returns whether the notification was handed to a link.
   */
  abstract notify<Body>(
    host: string,
    method: PeerMethod<Body, never>,
    body: Body,
  ): boolean;

  /**
   * Sends a notification to every connected peer; see
   * {@link PeerNetwork.notify}.
   *
   * @param method - type of the notification.
   * @param body - content of the notification.
   */
  broadcast<Body>(method: PeerMethod<Body, never>, body: Body): void {
    for (const {host} of this.connected()) this.notify(host, method, body);
  }

  /** Sets the handler of a type of notification. */
  abstract onNotification<Body>(
    method: PeerMethod<Body, never>,
    handler: NotificationHandler<Body>,
  ): void;

  /**
   * Calls a method that responds with a single event.
   *
   * @returns the event or the error.
   */
  call<Body, Event>(
    host: string,
    method: PeerMethod<Body, Event>,
    body: Body,
    {timeoutMs, signal}: CallOptions,
  ): Promise<Result<Event, PeerError>> {
    return withTimeout(timeoutMs, signal, async limited => {
      for await (const event of this.open(host, method, body, limited)) {
        return event;
      }
      return err({type: PEER_ERROR.lost, message: `${host} sent no response`});
    });
  }

  /** Sets the handler of a method that responds with a single event. */
  serveUnary<Body, Event>(
    method: PeerMethod<Body, Event>,
    handler: UnaryPeerHandler<Body, Event>,
  ): void {
    this.serve(method, async function* (body, context) {
      yield await handler(body, context);
    });
  }
}
