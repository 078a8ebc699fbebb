/** Interface to the shared limits of targets. @packageDocumentation */

import {ColdReport} from '../warming/target_warming.js';

/** Longest wait for which a send is reserved, in milliseconds. */
export const MAX_RESERVED_WAIT_MS = 1_000;

/** Request of a host to send a request to a limited target. */
export interface SendRequest {
  /** Id of the target. */
  target: string;
  /** Start time of its process, Unix milliseconds. */
  startedMs: number;
  /** The limit that the host knows, in requests per second. */
  perSecond: number;
  /** Longest wait for which the request is reserved. */
  maxWaitMs: number;
  /** What the host knows about the target, if that is cold. */
  cold?: ColdReport;
}

/** Reply to a {@link SendRequest}. */
export interface SendGrant {
  /** Whether the request may be sent after the wait. */
  isGranted: boolean;
  /** Time until it may be sent, or until another host may ask again. */
  waitMs: number;
  /** What the lender knows about the target, if that can be cold. */
  cold?: ColdReport;
}

/** Grants sends to limited targets, for all hosts together. */
export abstract class SendLoans {
  /** Number of hosts that share the limits while no lender is reached. */
  abstract readonly hostCount: number;

  /**
   * Asks the lender for a send.
   *
   * @param request - see {@link SendRequest}.
   * @param signal - aborts the request.
   * @returns the reply, or undefined if no lender can be reached.
   */
  abstract requestSend(
    request: SendRequest,
    signal: AbortSignal,
  ): Promise<SendGrant | undefined>;
}
