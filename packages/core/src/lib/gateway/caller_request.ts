/** Transport-independent interface to a request of a caller and its answer. @packageDocumentation */

import {RequestContent} from '../quarantine/request_digest.js';
import {Refusal, UnservedOutcome} from '../requests/outcome.js';
import {CallerFraming, Framing} from './answer_framing.js';

/** The model that a request asks for. */
export interface ModelDemand {
  model: string;
  adapter: string | undefined;
}

/** Number of tokens of a generation. */
export interface TokenCount {
  prompt: number;
  /** Maximum number of tokens to generate. */
  output: number;
  /** Tokens that the caller expects to be generated, if it says so. */
  expectedOutput?: number;
}

/** Head of a target's answer; everything else is up to the transport. */
export interface AnswerHead {
  readonly status: number;
  /** Whether the body is a stream of events. */
  readonly isEventStream: boolean;
  /** What delimits the body. */
  readonly framing: Framing;
}

/**
 * A request of a caller.
 *
 * It is answered exactly once: by `refuse`, by `fail`, or by `writeHead`
 * followed by any number of `write`s and either `end` or `abort`.
 */
export abstract class CallerRequest<Head extends AnswerHead = AnswerHead> {
  /** Id set by the caller; each attempt of the caller has its own. */
  abstract readonly id: string;
  abstract readonly host: string;
  /** Path without the query. */
  abstract readonly path: string;
  abstract readonly key: string | undefined;
  /** What repeats of the request have in common with it. */
  abstract readonly content: RequestContent;
  abstract readonly demand: ModelDemand | undefined;
  abstract readonly tokens: TokenCount | undefined;
  /**
   * Ids of the leading parts of the prompt, in order, which other requests may
   * share. The last part, which belongs to this request, is left out.
   */
  abstract readonly sharedParts: readonly string[];
  /**
   * How long the caller waits, in milliseconds from the arrival of the request.
   */
  abstract readonly timeoutMs: number | undefined;
  /** Id of the last event that the caller has already received. */
  abstract readonly lastEventId: string | undefined;
  /**
   * Id of the attempt that brought the caller the first event, if the request
   * takes up a stream.
   */
  abstract readonly resumedId: string | undefined;
  /** Clock time at which the request had been read completely. */
  abstract readonly arrivedMs: number;
  /**
   * Aborts when the caller's connection ends; see {@link connectionEndOf} for
   * the reason.
   */
  abstract readonly signal: AbortSignal;

  /**
   * Answers that the request did not run.
   *
   * @param refusal - the reason, and when to retry.
   */
  abstract refuse(refusal: Refusal): void;

  /**
   * Answers that the request failed and may have run.
   *
   * @param unserved - the reason.
   */
  abstract fail(unserved: UnservedOutcome): void;

  /**
   * Returns how the caller is told the end of an answer.
   *
   * @param head - head of the target's answer.
   */
  abstract framingFor(head: Head): CallerFraming;

  /** Sends the head of a target's answer to the caller. */
  abstract writeHead(head: Head): void;

  /**
   * Sends a chunk of the body to the caller.
   *
   * @returns undefined, or a promise to await before the next chunk
   *     (backpressure).
   */
  abstract write(chunk: Buffer): Promise<void> | undefined;

  /** Ends a complete answer. */
  abstract end(): void;

  /** Aborts an answer so that the caller cannot mistake it for complete. */
  abstract abort(): void;
}
