import {
  IdempotencyRegistry,
  ManualClock,
  REFUSAL,
  refuse,
} from '@fuchsiacleat/core';
import {expect} from 'chai';
import {errorResponse} from '../lib/http_outcome.js';
import {IdempotencyGuard} from '../lib/idempotency_guard.js';
import {AdmittedRequest} from '../lib/request_gate.js';

const DEADLINE_MS = 200;

/** Returns a registry that grants the claim but whose later appends never end. */
function stuckRegistry(): IdempotencyRegistry {
  const never = () => new Promise<void>(() => {});
  const claim = {complete: never, abandon: never};
  const registry = {claim: async () => ({type: 'won', claim})};
  return registry as unknown as IdempotencyRegistry;
}

describe('IdempotencyGuard', () => {
  it('returns a refusal by the deadline when the claim cannot be abandoned', async () => {
    const clock = new ManualClock();
    const guard = new IdempotencyGuard(stuckRegistry(), clock);
    const outcome = refuse(REFUSAL.noCapacity, 'no service');
    const admitted = {
      team: 'inspectors',
      route: {repeatable: false},
      deadlineMs: DEADLINE_MS,
      finalOutcome: outcome,
      outcome: Promise.resolve(outcome),
      finish: () => {},
    } as unknown as AdmittedRequest;
    let status: number | undefined;
    const run = async () => errorResponse(outcome);
    const answer = guard.run(admitted, 'key', 'content', run);
    void answer.then(res => {
      status = res.status;
    });
    // The guard starts its wait only after the claim.
    await clock.advance(0);
    await clock.advance(DEADLINE_MS);
    expect(status).to.equal(503);
  });
});
