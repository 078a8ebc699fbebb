/** Retries a request until an attempt decides its outcome. @packageDocumentation */

import {Clock} from '../time/clock.js';
import {RunContext} from './attempt.js';
import {FAILURE, Outcome, fail} from './outcome.js';
import {RetryBudget} from '../limits/retry_budget.js';

/** Number of targets that may be lost while they run the same request. */
const MAX_LOST_TARGETS = 2;

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
 * not passed, the retry budget allows it and not too many targets were lost.
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
  let lostTargets = 0;
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
    if (isLostTarget(outcome)) lostTargets += 1;
    // The request itself may crash the targets that run it.
    const isFinal =
      hasDelivered ||
      lostTargets >= MAX_LOST_TARGETS ||
      context.signal.aborted ||
      clock.now() >= context.deadlineMs;
    if (isFinal || failed === undefined || !isRetryable(outcome)) {
      return finalOutcome(outcome, mayHaveRun);
    }
    if (!retries.tryRetry()) return finalOutcome(outcome, mayHaveRun);
    avoid.add(failed);
  }
}

function isLostTarget(outcome: Outcome): boolean {
  return outcome.type === 'failed' && outcome.reason === FAILURE.targetLost;
}

/**
 * Turns a refusal into a failure if an earlier attempt may have run: a refusal
 * promises the caller that the request did not run.
 */
function finalOutcome(outcome: Outcome, mayHaveRun: boolean): Outcome {
  if (outcome.type !== 'refused' || !mayHaveRun) return outcome;
  return fail(FAILURE.targetLost, `an attempt was lost; ${outcome.message}`);
}
