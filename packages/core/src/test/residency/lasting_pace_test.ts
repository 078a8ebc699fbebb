import {expect} from 'chai';
import {KnownTarget} from '../../lib/gateway/target_table.js';
import {LastingPace} from '../../lib/residency/lasting_pace.js';
import {ResidencyAccount} from '../../lib/residency/residency_account.js';
import {ManualClock} from '../../lib/time/manual_clock.js';
import {engineConfig, targetRegistration} from '../gateway/gateway_fixtures.js';

const INTERVAL_MS = 150;

describe('LastingPace', () => {
  const clock = new ManualClock();

  function start(): {account: ResidencyAccount; pace: LastingPace} {
    const target = new KnownTarget(targetRegistration(), clock);
    const account = new ResidencyAccount(target, engineConfig(), 0);
    return {account, pace: new LastingPace(clock)};
  }

  async function observe(
    {account, pace}: ReturnType<typeof start>,
    log: number,
    durationMs: number,
    count = 5,
  ): Promise<void> {
    for (let ms = 0; ms < durationMs; ms += INTERVAL_MS) {
      pace.record(account, {log, count});
      await clock.advance(INTERVAL_MS);
    }
  }

  it('learns a slow target within seconds and keeps it while it is idle', async () => {
    const state = start();
    await observe(state, 1, 3_000);
    await observe(state, 0, 20_000, 0);
    expect(state.pace.factor(state.account)).to.be.within(1.7, 2);
  });

  it('does not take a target that is slow for 600 ms for a slow one', async () => {
    const state = start();
    await observe(state, 0, 10_000);
    await observe(state, Math.log2(2.5), 600);
    expect(state.pace.factor(state.account)).to.be.below(1.25);
  });

  it('knows nothing about a new process at the same address', async () => {
    const state = start();
    await observe(state, 1, 3_000);
    const registration = targetRegistration({startedMs: 2});
    state.account.target.registration = registration;
    expect(state.pace.factor(state.account)).to.equal(1);
  });
});
