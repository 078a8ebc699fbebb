/** A request as a caller sent it, and the way back to the caller. @packageDocumentation */

import {Refusal, Unserved} from '../requests/outcome.js';

/** The model that a request asks for. */
export interface ModelDemand {
  model: string;
  adapter: string | undefined;
}

/** Tokens of a generation. */
export interface TokenCount {
  prompt: number;
  /** Most that may be generated. */
  output: number;
}

/** The head of a target's answer; only the transport knows its form. */
export interface AnswerHead {
  readonly status: number;
}

/**
 * One request of a caller.
 *
 * Exactly one answer is given: `refuse`, `fail`, or `begin` followed by
 * `write`s and either `end` or `cut`.
 */
export abstract class CallerRequest<Head extends AnswerHead = AnswerHead> {
  /** Given by the caller; each attempt of a caller has another. */
  abstract readonly id: string;
  abstract readonly host: string;
  /** Without the query. */
  abstract readonly path: string;
  abstract readonly key: string | undefined;
  abstract readonly demand: ModelDemand | undefined;
  abstract readonly tokens: TokenCount | undefined;
  /** How long the caller waits, in milliseconds from its arrival. */
  abstract readonly patienceMs: number | undefined;
  /** Id of the last event that the caller already has. */
  abstract readonly lastEventId: string | undefined;
  /** Clock time at which the request had been read. */
  abstract readonly arrivedMs: number;
  /** Aborts when the caller leaves. */
  abstract readonly signal: AbortSignal;

  /** Answers that the request did not run. */
  abstract refuse(refusal: Refusal): void;

  /** Answers that the request failed and may have run. */
  abstract fail(unserved: Unserved): void;

  /** Passes the head of a target's answer on. */
  abstract begin(head: Head): void;

  /**
   * Passes a part of the answer on.
   *
   * @returns nothing, or a promise to wait for before the next part.
   */
  abstract write(chunk: Buffer): Promise<void> | undefined;

  /** Ends an answer that is whole. */
  abstract end(): void;

  /** Ends an answer so that it cannot be taken for whole. */
  abstract cut(): void;
}
