/** Streams a complete generation from one engine in order. @packageDocumentation */

import {
  ENGINE_ERROR,
  EngineClient,
  EngineError,
} from '../targets/engine_client.js';
import {Clock} from '../time/clock.js';
import {deadlineSignal} from '../time/deadline.js';
import {withTimeout} from '../time/timeout.js';
import {Attempt, AttemptEnd} from './attempt.js';
import {GapTimer} from './gap_timer.js';
import {GenerationEvent, GenerationRequest} from './generation.js';
import {FAILURE, Outcome, REFUSAL, fail, refuse} from './outcome.js';

/** Longest wait for the first event of a connection, in milliseconds. */
export const FIRST_EVENT_LIMIT_MS = 5_000;

/** Longest gap between two events, in milliseconds. */
export const EVENT_GAP_LIMIT_MS = 2_000;

const RESUME_ATTEMPTS = 3;
const RESUME_DELAY_MS = 100;
const CANCEL_TIMEOUT_MS = 1_000;

/** Longest wait for the token count of a cancelled run, in milliseconds. */
const CANCEL_ANSWER_WAIT_MS = 50;

/** Options of a {@link TargetStream}. */
export interface TargetStreamOptions {
  engine: EngineClient;
  target: string;
  req: GenerationRequest;
  clock: Clock;
  deadlineMs: number;
  /** Value of the `traceparent` header. */
  traceparent: string;
  /** Aborts when the caller disconnects. */
  callerSignal: AbortSignal;
  /**
   * Aborts to stop reading without cancelling the run, which stays on the
   * engine and can be resumed there.
   */
  detach?: AbortSignal;
  /** Token offset at which to attach to an existing run of the engine. */
  resumeFrom?: number;
}

/**
 * The stream of one request from one engine.
 *
 * A connection that stays silent, breaks or carries the response to another
 * request is dropped, and the stream resumes on a new one at the next token
 * offset. The engine starts the request at most once: later connections only
 * attach to the run.
 */
export class TargetStream {
  private readonly signal: AbortSignal;
  private readonly deadline;
  private nextOffset: number;
  private hasStarted: boolean;

  constructor(private readonly options: TargetStreamOptions) {
    const {clock, deadlineMs, callerSignal, detach, resumeFrom} = options;
    this.deadline = deadlineSignal(clock, deadlineMs);
    const signals = [callerSignal, this.deadline.signal];
    if (detach !== undefined) signals.push(detach);
    this.signal = AbortSignal.any(signals);
    this.nextOffset = resumeFrom ?? 0;
    this.hasStarted = resumeFrom !== undefined;
  }

  /**
   * Streams the response.
   *
   * @returns the events of the response, each token once and in order.
   */
  async *run(): Attempt {
    try {
      let attempt = 0;
      for (;;) {
        const startOffset = this.nextOffset;
        const error = yield* this.readConnection();
        if (error === undefined) return this.endServed();
        if (this.signal.aborted) return this.endInterrupted();
        if (!this.hasStarted) return this.endNotRun(error);
        // Only attempts without progress count towards the limit, so that a
        // long stream survives any number of lost connections.
        attempt = this.nextOffset > startOffset ? 1 : attempt + 1;
        const isRefused = error.type === ENGINE_ERROR.refused;
        if (isRefused || attempt > RESUME_ATTEMPTS) return this.endLost(error);
        const delayMs = RESUME_DELAY_MS * attempt;
        await this.options.clock.sleep(delayMs, this.signal);
        if (this.signal.aborted) return this.endInterrupted();
      }
    } finally {
      this.deadline.dispose();
    }
  }

  /**
   * Reads events from one connection.
   *
   * @returns the error that ended the connection; undefined if the response is
   *     complete.
   */
  private async *readConnection(): AsyncGenerator<
    GenerationEvent,
    EngineError | undefined
  > {
    const {engine, req, clock, traceparent} = this.options;
    const gapTimer = new GapTimer(clock, FIRST_EVENT_LIMIT_MS);
    const events = engine.generate(req, {
      resume: this.hasStarted,
      resumeFrom: this.nextOffset,
      traceparent,
      signal: AbortSignal.any([this.signal, gapTimer.signal]),
    });
    try {
      for (;;) {
        gapTimer.startWait();
        const step = await events.next();
        gapTimer.endWait(EVENT_GAP_LIMIT_MS);
        if (step.done) return broken('the engine closed the stream early');
        if (step.value.isErr()) return this.recordError(step.value.error);
        this.hasStarted = true;
        const event = step.value.value;
        const problem = this.checkSequence(event);
        if (problem !== undefined) return broken(problem);
        if (event.type === 'end') {
          yield event;
          return undefined;
        }
        if (event.offset < this.nextOffset) continue;
        this.nextOffset += 1;
        yield event;
      }
    } finally {
      gapTimer.dispose();
      await events.return();
    }
  }

  private recordError(error: EngineError): EngineError {
    const {type} = error;
    const isNotRun =
      type === ENGINE_ERROR.notSent || type === ENGINE_ERROR.refused;
    if (!isNotRun) this.hasStarted = true;
    return error;
  }

  private checkSequence(event: GenerationEvent): string | undefined {
    if (event.type === 'token') {
      return event.offset > this.nextOffset
        ? 'the engine skipped a token'
        : undefined;
    }
    return event.completionTokens === this.nextOffset
      ? undefined
      : 'the engine ended the answer at another token';
  }

  private endServed(): AttemptEnd {
    return {outcome: {type: 'served'}, generated: this.nextOffset};
  }

  private endNotRun({message}: EngineError): AttemptEnd {
    const outcome = refuse(REFUSAL.noCapacity, message);
    return {outcome, generated: 0, avoid: this.options.target};
  }

  private endLost({message}: EngineError): AttemptEnd {
    const outcome = fail(FAILURE.targetLost, message);
    return {...this.endCancelled(outcome), avoid: this.options.target};
  }

  private endInterrupted(): AttemptEnd {
    const {callerSignal, detach} = this.options;
    if (detach?.aborted && !callerSignal.aborted) {
      const outcome = fail(FAILURE.peerLost, 'the link to the peer was lost');
      return {outcome, generated: undefined};
    }
    if (callerSignal.aborted) return this.endCancelled({type: 'cancelled'});
    const message = 'the deadline passed while the request ran';
    return this.endCancelled(fail(FAILURE.deadline, message));
  }

  private endCancelled(outcome: Outcome): AttemptEnd {
    return {outcome, generated: undefined, pendingGenerated: this.cancel()};
  }

  /**
   * Cancels the run on the engine. A silent engine must not delay the outcome
   * past the deadline, so the wait for its token count is short.
   *
   * @returns the number of tokens generated; undefined if the engine does not
   *     respond in time.
   */
  private async cancel(): Promise<number | undefined> {
    const {engine, req, clock} = this.options;
    const sleepAbort = new AbortController();
    const generated = await Promise.race([
      withTimeout(CANCEL_TIMEOUT_MS, undefined, limitedSignal =>
        engine.cancel(req.id, limitedSignal),
      ),
      clock.sleep(CANCEL_ANSWER_WAIT_MS, sleepAbort.signal),
    ]);
    sleepAbort.abort();
    return generated?.isOk() ? generated.value : undefined;
  }
}

function broken(message: string): EngineError {
  return {type: ENGINE_ERROR.broken, message};
}
