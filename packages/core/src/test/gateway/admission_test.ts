import {expect} from 'chai';
import {Admission} from '../../lib/gateway/admission.js';
import {DeploymentState} from '../../lib/gateway/deployment_state.js';
import {Freshness} from '../../lib/gateway/freshness.js';
import {
  Loan,
  LoanRequest,
  TeamQuotas,
  TokenLoanClient,
} from '../../lib/gateway/team_quotas.js';
import {REFUSAL} from '../../lib/requests/outcome.js';
import {ManualClock} from '../../lib/time/manual_clock.js';
import {deploymentOf, routeRule, teamConfig} from './gateway_fixtures.js';
import {FakeCaller} from './relay_fixtures.js';

/** Time from which on tokens are lent. */
const LENT_FROM_MS = 500;

/** Turn that is near enough to wait for it, and one that is not. */
const WAIT_MS = 200;
const FAR_MS = 1_700;

/** Lends nothing at first. */
class LateLender extends TokenLoanClient {
  override readonly hostCount = 1;

  constructor(
    private readonly clock: ManualClock,
    private readonly waitMs: number,
  ) {
    super();
  }

  override async borrow({neededTokens}: LoanRequest): Promise<Loan> {
    if (this.clock.now() < LENT_FROM_MS)
      return {tokens: 0, waitMs: this.waitMs};
    return {tokens: neededTokens, waitMs: 0};
  }
}

describe('Admission of requests over the rate', () => {
  async function admit(lastEventId: string | undefined, waitMs: number) {
    const clock = new ManualClock();
    const state = new DeploymentState();
    const team = teamConfig({tokensPerSecond: 100});
    state.applyIfNewer(deploymentOf([routeRule()], [team]));
    const freshness = new Freshness(clock, 10_000);
    freshness.confirm(clock.now());
    const slack = {fraction: 0, tokens: 0, windowMs: 1_000};
    const quotas = new TeamQuotas(clock, new LateLender(clock, waitMs), slack);
    const admission = new Admission({clock, state, freshness, quotas});
    const caller = new FakeCaller(clock);
    caller.lastEventId = lastEventId;
    let isDone = false;
    const admitted = admission.admit(caller).finally(() => (isDone = true));
    while (!isDone) await clock.advance(10);
    return {result: await admitted, tookMs: clock.now()};
  }

  it('lets a request that takes up a stream wait', async () => {
    const {result, tookMs} = await admit('3', WAIT_MS);
    expect(result.isOk()).to.equal(true);
    expect(tookMs).to.be.within(LENT_FROM_MS, 1_200);
  });

  it('lets a new request wait for a turn in time', async () => {
    const {result, tookMs} = await admit(undefined, WAIT_MS);
    expect(result.isOk()).to.equal(true);
    expect(tookMs).to.be.within(LENT_FROM_MS, LENT_FROM_MS + WAIT_MS);
  });

  it('refuses a new request at once, with its turn, if that is late', async () => {
    const {result, tookMs} = await admit(undefined, FAR_MS);
    const refusal = result._unsafeUnwrapErr().refusal;
    expect(refusal.reason).to.equal(REFUSAL.overRate);
    expect(refusal.retryAfterMs).to.equal(FAR_MS);
    expect(tookMs).to.be.below(LENT_FROM_MS);
  });
});
