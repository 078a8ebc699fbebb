import {expect} from 'chai';
import {RetryAllowance} from '../../lib/gateway/retry_allowance.js';
import {HostCounter} from '../../lib/residency/host_counter.js';
import {ManualClock} from '../../lib/time/manual_clock.js';

const WINDOW_MS = 10_000;
/** Slack of the retry budget by number of hosts, from the deployment sheets. */
const SLACK: Record<number, number> = {9: 58, 81: 202, 195: 430};
const RATIO = 0.2;
const STEP_MS = 100;
/** Requests of a host per step; most of them are retried. */
const REQUESTS = 1;
/**
 * Fraction of the allowed retries that budgets grant, as set by the gateway
 * host.
 */
const GRANTED_FRACTION = 0.75;

interface Host {
  hostCounter: HostCounter;
  allowance: RetryAllowance;
}

function startHost(clock: ManualClock, recorded: number): Host {
  const slack = SLACK[recorded];
  const hostCounter = new HostCounter(clock);
  hostCounter.record(recorded);
  const allowance = new RetryAllowance({
    clock,
    windowMs: WINDOW_MS,
    currentShape: () => ({
      perRequest: RATIO * GRANTED_FRACTION,
      maxSaved: Math.max(1, (slack * GRANTED_FRACTION) / hostCounter.count!),
    }),
  });
  return {hostCounter, allowance};
}

describe('RetryAllowance: all hosts restart after a power loss', () => {
  for (const count of [9, 81, 195]) {
    it(`keeps ${count} hosts within the budget in every window`, async () => {
      const clock = new ManualClock();
      const retries: number[] = [];
      const start = () =>
        Array.from({length: count}, () => startHost(clock, count));
      let hosts = start();
      const steps = (3 * WINDOW_MS) / STEP_MS;
      for (let step = 0; step < steps; step++) {
        if (step === steps / 2) hosts = start();
        let granted = 0;
        hosts.forEach(({allowance, hostCounter}, i) => {
          // The new lease holder learns of the hosts one by one.
          hostCounter.record(Math.min(count, 1 + (step % (steps / 2))));
          if ((step + i) % 10 > 0) return;
          for (let n = 0; n < REQUESTS; n++) allowance.countRequest('s');
          for (let n = 0; n < 20; n++) {
            if (allowance.tryRetry('s')) granted += 1;
          }
        });
        retries.push(granted);
        await clock.advance(STEP_MS);
      }
      const requests = (count * REQUESTS * WINDOW_MS) / STEP_MS / 10;
      const allowed = requests * RATIO + SLACK[count];
      const inWindow = WINDOW_MS / STEP_MS;
      for (let end = inWindow; end <= retries.length; end++) {
        const sum = retries.slice(end - inWindow, end).reduce((a, b) => a + b);
        expect(sum).to.be.at.most(allowed);
      }
    });
  }

  it('adapts to the number of hosts that share the budget', () => {
    const clock = new ManualClock();
    const {allowance, hostCounter} = startHost(clock, 81);
    hostCounter.record(202);
    for (let i = 0; i < 1_000; i++) allowance.countRequest('s');
    expect(allowance.tryRetry('s')).to.equal(true);
    expect(allowance.tryRetry('s')).to.equal(false);
  });
});
