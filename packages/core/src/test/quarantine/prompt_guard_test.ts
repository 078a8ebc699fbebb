import {expect} from 'chai';
import {REFUSAL} from '../../lib/requests/outcome.js';
import {QuarantineWorld} from './quarantine_world.js';

const never = new AbortController().signal;

describe('PromptGuard', () => {
  let world: QuarantineWorld;

  beforeEach(async () => {
    world = new QuarantineWorld(2);
    await world.clock.advance(1_000);
  });

  const guard = (host = 1) => world.hosts[host].guard;

  function admit(id: string, parts = ['bad'], target = `t-${id}`) {
    return guard().admit({id, parts}, target, never);
  }

  /** Advances the clock until a promise resolves. */
  async function settle<T>(promise: Promise<T>): Promise<T> {
    let isDone = false;
    const done = promise.finally(() => (isDone = true));
    while (!isDone) await world.clock.advance(10);
    return done;
  }

  it('admits requests without suspect parts at once', async () => {
    const admitted = await admit('r1');
    expect(admitted.isOk() && admitted.value).to.equal(undefined);
    expect(guard().check(['bad'])).to.equal(undefined);
  });

  it('admits one request with a suspect part and holds the next one back', async () => {
    world.end(0, ['bad']);
    await world.clock.advance(200);
    const first = await settle(admit('r1'));
    expect(first._unsafeUnwrap()?.requestId).to.equal('r1');
    const startMs = world.clock.now();
    const second = await settle(admit('r2'));
    expect(second._unsafeUnwrapErr().reason).to.equal(REFUSAL.quarantined);
    expect(second._unsafeUnwrapErr().retryAfterMs).to.be.above(0);
    expect(world.clock.now() - startMs).to.be.within(500, 2_000);
  });

  it('admits waiting requests as soon as the trial was answered', async () => {
    world.end(0, ['bad']);
    await world.clock.advance(200);
    const trial = (await settle(admit('r1')))._unsafeUnwrap()!;
    const second = admit('r2');
    await world.clock.advance(100);
    const run = guard().observeRun(['bad']);
    run.recordBytes();
    await world.clock.advance(300);
    run.recordBytes();
    expect(run.isProven).to.equal(true);
    const admitted = await settle(second);
    expect(admitted._unsafeUnwrap()).to.equal(undefined);
    guard().endTrial(trial);
  });

  it('lets the next request try when a trial ends without a result', async () => {
    world.end(0, ['bad']);
    await world.clock.advance(200);
    const trial = (await settle(admit('r1')))._unsafeUnwrap()!;
    const second = admit('r2');
    await world.clock.advance(100);
    guard().endTrial(trial);
    expect((await settle(second))._unsafeUnwrap()?.requestId).to.equal('r2');
  });

  it('refuses a quarantined part at once and names the time left', async () => {
    world.hosts[0].ledger.setQuarantine('bad', 20_000);
    await world.clock.advance(200);
    expect(guard().check(['good', 'bad'])?.reason).to.equal(
      REFUSAL.quarantined,
    );
    const refused = (await admit('r1'))._unsafeUnwrapErr();
    expect(refused.retryAfterMs).to.be.within(15_000, 20_000);
    expect(guard().canStillSend(['bad'], true)).to.equal(false);
    expect(guard().canStillSend(['good'], false)).to.equal(true);
  });
});
