/** Runs attempts until one of them decides the outcome. @packageDocumentation */

import {Clock} from '../time/clock.js';
import {RunContext} from './attempt.js';
import {FAILURE, Outcome, fail} from './outcome.js';
import {RetryBudget} from '../limits/retry_budget.js';

/** What an attempt's end must tell. */
export interface RetryableEnd {
  outcome: Outcome;
  /**
   * A target or host that the next attempt had better avoid; undefined if
   * another attempt cannot help.
   */
  avoid?: string;
}

/** What {@link runWithRetries} works with. */
export interface RetryLoopOptions<Event, End extends RetryableEnd> {
  clock: Clock;
  retries: RetryBudget;
  context: RunContext;
  /** Starts an attempt; `avoid` holds what was tried in vain. */
  attempt: (avoid: ReadonlySet<string>) => AsyncGenerator<Event, End>;
  /** @returns whether another attempt may follow such an outcome. */
  isRetryable: (outcome: Outcome) => boolean;
}

/**
 * Tries again while nothing was delivered, the deadline has not passed and the
 * retry budget allows it.
 *
 * @returns the events; the generator returns the outcome, which is a refusal
 *     only if no attempt can have run the request.
 */
export async function* runWithRetries<Event, End extends RetryableEnd>({
  clock,
  retries,
  context,
  attempt,
  isRetryable,
}: RetryLoopOptions<Event, End>): AsyncGenerator<Event, Outcome> {
  const avoid = new Set<string>();
  let mayHaveRun = false;
  retries.noteRequest();
  for (;;) {
    let delivered = false;
    const run = attempt(avoid);
    let step = await run.next();
    while (!step.done) {
      delivered = true;
      yield step.value;
      step = await run.next();
    }
    const {outcome, avoid: failed} = step.value;
    mayHaveRun ||= outcome.type === 'failed';
    const ended =
      delivered || context.signal.aborted || clock.now() >= context.deadlineMs;
    if (ended || failed === undefined || !isRetryable(outcome)) {
      return honest(outcome, mayHaveRun);
    }
    if (!retries.tryRetry()) return honest(outcome, mayHaveRun);
    avoid.add(failed);
  }
}

/** A refusal says "not run"; it must not hide an earlier attempt. */
function honest(outcome: Outcome, mayHaveRun: boolean): Outcome {
  if (outcome.type !== 'refused' || !mayHaveRun) return outcome;
  return fail(FAILURE.targetLost, `an attempt was lost; ${outcome.message}`);
}
