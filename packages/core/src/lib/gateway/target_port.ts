/** How requests reach targets. @packageDocumentation */

import {AnswerHead, CallerRequest} from './caller_request.js';
import {KnownTarget} from './target_table.js';
import {AnswerSigns} from './target_signs.js';

/** Why a target did not run a request. */
export const NOT_RUN = {
  /** No byte of it left this host. */
  unreachable: 'unreachable',
  /** This host has as many connections to the target as it may. */
  noConnection: 'no-connection',
  /** This host took the send back before any byte of it left. */
  withdrawn: 'withdrawn',
  /** The target said so: it is full, or the model is being exchanged. */
  refused: 'refused',
  /** The target does not hold the model. */
  modelAbsent: 'model-absent',
  /** Another process has the address. */
  otherProcess: 'other-process',
} as const;

/** One of {@link NOT_RUN}. */
export type NotRunReason = (typeof NOT_RUN)[keyof typeof NOT_RUN];

/** How a body ended. */
export const BODY_END = {complete: 'complete', broken: 'broken'} as const;

/** One of {@link BODY_END}. */
export type BodyEnd = (typeof BODY_END)[keyof typeof BODY_END];

/** Takes a part of a body; the next comes once the promise has resolved. */
export type BodySink = (chunk: Buffer) => Promise<void> | undefined;

/** An answer whose head has come. */
export interface TargetAnswer<Head extends AnswerHead = AnswerHead> {
  head: Head;
  signs: AnswerSigns;
  /**
   * Reads the body to its end.
   *
   * @param sink - takes its parts in order.
   */
  read(sink: BodySink): Promise<BodyEnd>;
  /** Drops the answer, and the work behind it if it is still going on. */
  discard(): void;
}

/** What became of a request that was sent. */
export type SendResult<Head extends AnswerHead = AnswerHead> =
  | {type: 'not-run'; reason: NotRunReason; signs?: AnswerSigns}
  /** It may have run, and no answer came that can be used. */
  | {type: 'lost'; reason: string}
  | {type: 'answered'; answer: TargetAnswer<Head>};

/** How a request is sent. */
export interface SendOptions {
  /** Time that is left for the whole answer, in milliseconds. */
  remainingMs: number;
  /** The team whose key came with the request. */
  team: string | undefined;
  /** 0 is the most urgent, 9 the least. */
  urgency: number;
  /** Overrides the caller's id of the last event that it has. */
  lastEventId: string | undefined;
  /**
   * Asked once more when the request is about to leave this host, which may be
   * some time later; if not, it is not sent and ends as withdrawn.
   */
  mayLeave: () => boolean;
  /** Whether a connection that the target may have dropped must not be used. */
  needsSafeConnection: boolean;
  /** Cancels the request at the target. */
  signal: AbortSignal;
}

/** Sends requests to targets. */
export abstract class TargetPort<
  Req extends CallerRequest<Head>,
  Head extends AnswerHead = AnswerHead,
> {
  /**
   * Sends a request once.
   *
   * @param target - where to.
   * @param req - what to send.
   * @param options - see {@link SendOptions}.
   * @returns once the head of an answer has come, or none will come.
   */
  abstract send(
    target: KnownTarget,
    req: Req,
    options: SendOptions,
  ): Promise<SendResult<Head>>;
}
