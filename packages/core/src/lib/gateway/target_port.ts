/** Interface to send requests to targets. @packageDocumentation */

import {AnswerHead, CallerRequest} from './caller_request.js';
import {ProcessWatch} from '../net/process_watch.js';
import {KnownTarget} from './target_table.js';
import {AnswerSignals} from './target_signals.js';

/** Why a target did not run a request. */
export const NOT_RUN = {
  /** The target could not be reached; no byte was sent. */
  unreachable: 'unreachable',
  /** The path to the target has failed, not the target; no byte was sent. */
  noPath: 'no-path',
  /** This host has reached its limit of connections to the target. */
  noConnection: 'no-connection',
  /** This host cancelled the send before any byte was sent. */
  withdrawn: 'withdrawn',
  /** The target refused the request: it is full, or is replacing the model. */
  refused: 'refused',
  /** The target does not have the model loaded. */
  modelAbsent: 'model-absent',
  /** Another process has taken over the address. */
  otherProcess: 'other-process',
} as const;

/** One of {@link NOT_RUN}. */
export type NotRunReason = (typeof NOT_RUN)[keyof typeof NOT_RUN];

/** What a check of a target shows. */
export const TARGET_STATE = {
  /** Nothing listens at its address. */
  ended: 'ended',
  /** It does not reply, not even to a new connection. */
  unreachable: 'unreachable',
  /** It accepts connections and sends nothing. */
  silent: 'silent',
  /** It answers. */
  responsive: 'responsive',
  /** It was not checked: its zone is evacuated, or the path to it has failed. */
  unchecked: 'unchecked',
} as const;

/** One of {@link TARGET_STATE}. */
export type TargetState = (typeof TARGET_STATE)[keyof typeof TARGET_STATE];

/** How the body of an answer ended. */
export const BODY_END = {complete: 'complete', broken: 'broken'} as const;

/** One of {@link BODY_END}. */
export type BodyEnd = (typeof BODY_END)[keyof typeof BODY_END];

/**
 * Receives a chunk of a body; the next one follows once the promise resolves.
 */
export type BodySink = (chunk: Buffer) => Promise<void> | undefined;

/** An answer whose head has arrived. */
export interface TargetAnswer<Head extends AnswerHead = AnswerHead> {
  head: Head;
  signals: AnswerSignals;
  /** Connection of the answer, see {@link SendResult}. */
  connection: string;
  /**
   * Reads the body to its end.
   *
   * @param sink - receives the chunks in order.
   */
  read(sink: BodySink): Promise<BodyEnd>;
  /**
   * Discards the answer and cancels the request if the target still runs it.
   */
  discard(): void;
}

/** Result of a send whose target did not run the request. */
export interface NotRunSend {
  type: 'not-run';
  reason: NotRunReason;
  /** Whether nothing listens at the target's address. */
  isRefused?: boolean;
  /** Whether the connection would have led through a helper host. */
  isTunneled?: boolean;
  signals?: AnswerSignals;
  connection?: string;
}

/** Result of a send without an answer to relay. */
export type UnansweredSend =
  | NotRunSend
  /** The request may have run, but no usable answer arrived. */
  | {type: 'lost'; reason: string; connection?: string};

/**
 * Result of a send. `connection` names the connection that was used and says
 * how many requests it has carried, this one included.
 */
export type SendResult<Head extends AnswerHead = AnswerHead> =
  UnansweredSend | {type: 'answered'; answer: TargetAnswer<Head>};

/** Options of a send. */
export interface SendOptions {
  /** Remaining time for the complete answer, in milliseconds. */
  remainingMs: number;
  /** Name of the team that owns the API key of the request. */
  team: string | undefined;
  /** 0 is the most urgent, 9 the least. */
  urgency: number;
  /** Replaces the last event id that the caller sent, unless undefined. */
  lastEventId: string | undefined;
  /**
   * Called right before the request is written, which may be some time later
   * than the call of `send`. If it returns false, the request is not sent and
   * the result is `withdrawn`.
   */
  canStillSend: () => boolean;
  /** Whether connections that the target may have closed must not be used. */
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
   * @param target - the receiver.
   * @param req - the request.
   * @param options - see {@link SendOptions}.
   * @returns the result, once the head of an answer has arrived or it is
   *     certain that none will.
   */
  abstract send(
    target: KnownTarget,
    req: Req,
    options: SendOptions,
  ): Promise<SendResult<Head>>;

  /**
   * Checks whether a target accepts connections.
   *
   * @param target - the target.
   * @returns whether it does; undefined if it did not reply in time.
   */
  abstract isListening(target: KnownTarget): Promise<boolean | undefined>;

  /**
   * Watches the process of a target, as long as it writes answers that have no
   * length.
   *
   * @param target - the target.
   * @returns the watch, which the caller has to close.
   */
  abstract watch(target: KnownTarget): ProcessWatch;

  /**
   * Checks over a new connection whether a target answers.
   *
   * @param target - the target.
   * @returns its state; a target that can't be asked anything without running
   *     a request counts as silent.
   */
  abstract probe(target: KnownTarget): Promise<TargetState>;
}
