/** Retries a request until an attempt decides its outcome. @packageDocumentation */

import {Clock} from '../time/clock.js';
import {RunContext} from './attempt.js';
import {FAILURE, Outcome, fail} from './outcome.js';
import {RetryBudget} from '../limits/retry_budget.js';

/** The fields of an attempt's result that {@link runWithRetries} needs. */
export interface RetryableEnd {
  outcome: Outcome;
  /**
   * Target or host that the next attempt should avoid; undefined if a retry
   * cannot help.
   */
  avoid?: string;
}

/** Options of {@link runWithRetries}. */
export interface RetryLoopOptions<Event, End extends RetryableEnd> {
  clock: Clock;
  retries: RetryBudget;
  context: RunContext;
  /** Starts an attempt; `avoid` holds the targets and hosts that failed. */
  startAttempt: (avoid: ReadonlySet<string>) => AsyncGenerator<Event, End>;
  /** Returns whether a retry may follow this outcome. */
  isRetryable: (outcome: Outcome) => boolean;
}

/**
 * Runs a request and retries it while no event was delivered, the deadline has
 * not passed and the retry budget allows it.
 *
 * @returns the events of the attempt that delivers any. The generator's return
 *     value is the outcome, which is a refusal only if no attempt can have run
 *     the request.
 */
export async function* runWithRetries<Event, End extends RetryableEnd>({
  clock,
  retries,
  context,
  startAttempt,
  isRetryable,
}: RetryLoopOptions<Event, End>): AsyncGenerator<Event, Outcome> {
  const avoid = new Set<string>();
  let mayHaveRun = false;
  retries.recordRequest();
  for (;;) {
    let hasDelivered = false;
    const events = startAttempt(avoid);
    let step = await events.next();
    while (!step.done) {
      hasDelivered = true;
      yield step.value;
      step = await events.next();
    }
    const {outcome, avoid: failed} = step.value;
    mayHaveRun ||= outcome.type === 'failed';
    const isFinal =
      hasDelivered ||
      context.signal.aborted ||
      clock.now() >= context.deadlineMs;
    if (isFinal || failed === undefined || !isRetryable(outcome)) {
      return finalOutcome(outcome, mayHaveRun);
    }
    if (!retries.tryRetry()) return finalOutcome(outcome, mayHaveRun);
    avoid.add(failed);
  }
}

/**
 * Turns a refusal into a failure if an earlier attempt may have run: a refusal
 * promises the caller that the request did not run.
 */
function finalOutcome(outcome: Outcome, mayHaveRun: boolean): Outcome {
  if (outcome.type !== 'refused' || !mayHaveRun) return outcome;
  return fail(FAILURE.targetLost, `an attempt was lost; ${outcome.message}`);
}
