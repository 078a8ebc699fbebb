/** One try to run a request. @packageDocumentation */

import {HopSpan} from '../telemetry/tracing.js';
import {GenerationEvent} from './generation.js';
import {Outcome} from './outcome.js';

/** What a request carries besides its content. */
export interface RunContext {
  /** Clock time by which the request must have ended, in milliseconds. */
  deadlineMs: number;
  /** The span that encloses the run. */
  span: HopSpan;
  /** Aborts when the caller goes away. */
  signal: AbortSignal;
  /** Called before the first byte of an attempt may leave the host. */
  onStart?: () => void;
}

/** Where an interrupted stream goes on. */
export interface ResumePoint {
  target: string;
  /** Offset of the first token wanted. */
  offset: number;
}

/** How an attempt ended. */
export interface AttemptEnd {
  outcome: Outcome;
  /**
   * Tokens that were generated, if that is known. Unknown counts as all that
   * were reserved.
   */
  generated: number | undefined;
  /**
   * Tells the number later, so that the outcome need not wait for a target
   * that may no longer answer.
   */
  generatedLater?: Promise<number | undefined>;
  /** A target or host that the next attempt had better avoid. */
  avoid?: string;
}

/** The events of an attempt; the generator returns its end. */
export type Attempt = AsyncGenerator<GenerationEvent, AttemptEnd>;

/** Takes the target of an attempt as soon as it is chosen. */
export type OnTarget = (target: string) => void;
