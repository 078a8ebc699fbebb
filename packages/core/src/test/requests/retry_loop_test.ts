import {expect} from 'chai';
import {RetryBudget} from '../../lib/limits/retry_budget.js';
import {RunContext} from '../../lib/requests/attempt.js';
import {
  FAILURE,
  Outcome,
  REFUSAL,
  fail,
  refuse,
} from '../../lib/requests/outcome.js';
import {runWithRetries} from '../../lib/requests/retry_loop.js';
import {ManualClock} from '../../lib/time/manual_clock.js';

const lost = fail(FAILURE.targetLost, 'the connection was lost');
const full = refuse(REFUSAL.noCapacity, 'the target is full');

/** Runs a request whose attempts end with the given outcomes. */
async function run(outcomes: Outcome[]) {
  const clock = new ManualClock();
  let attempts = 0;
  const events = runWithRetries({
    clock,
    retries: new RetryBudget(() => false, 100, {perRequest: 1, maxSaved: 100}),
    context: {
      deadlineMs: 10_000,
      signal: new AbortController().signal,
    } as RunContext,
    // eslint-disable-next-line require-yield
    startAttempt: async function* () {
      const outcome = outcomes[attempts++] ?? {type: 'served'};
      return {outcome, avoid: `t${attempts}`};
    },
    isRetryable: ({type}) => type === 'refused' || type === 'failed',
  });
  const step = await events.next();
  return {attempts, outcome: step.value as Outcome};
}

describe('runWithRetries', () => {
  it('runs a request at another target after one was lost', async () => {
    const {attempts, outcome} = await run([lost]);
    expect(attempts).to.equal(2);
    expect(outcome.type).to.equal('served');
  });

  it('does not crash a third target with a request under which two were lost', async () => {
    const {attempts, outcome} = await run([lost, lost, lost, lost]);
    expect(attempts).to.equal(2);
    expect(outcome.type).to.equal('failed');
  });

  it('goes on after refusals, which say that the request did not run', async () => {
    const {attempts, outcome} = await run([full, full, full, lost]);
    expect(attempts).to.equal(5);
    expect(outcome.type).to.equal('served');
  });
});
