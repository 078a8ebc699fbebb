/** Types of one attempt to run a request. @packageDocumentation */

import {HopSpan} from '../telemetry/tracing.js';
import {GenerationEvent} from './generation.js';
import {Outcome} from './outcome.js';

/** Context of a request, apart from its content. */
export interface RunContext {
  /** Clock time at which the request must have ended, in milliseconds. */
  deadlineMs: number;
  /** Parent span of the run. */
  span: HopSpan;
  /** Aborts when the caller disconnects. */
  signal: AbortSignal;
  /** Called before the first byte of an attempt may leave the host. */
  onStart?: () => void;
}

/** Where an interrupted stream resumes. */
export interface ResumePoint {
  target: string;
  /** Offset of the first token to read. */
  offset: number;
}

/** Result of an attempt. */
export interface AttemptEnd {
  outcome: Outcome;
  /**
   * Number of tokens generated, or undefined if unknown. An unknown number is
   * charged as all the tokens that were reserved.
   */
  generated: number | undefined;
  /**
   * Resolves with the number of tokens generated, so that the outcome does not
   * have to wait for a target that may no longer respond.
   */
  pendingGenerated?: Promise<number | undefined>;
  /** Target or host that the next attempt should avoid. */
  avoid?: string;
}

/** The events of an attempt; the generator returns its result. */
export type Attempt = AsyncGenerator<GenerationEvent, AttemptEnd>;

/** Called with the target of an attempt as soon as it is chosen. */
export type OnTarget = (target: string) => void;
