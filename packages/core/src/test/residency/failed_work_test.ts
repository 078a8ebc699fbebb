import {expect} from 'chai';
import {EngineWorld} from './engine_world.js';

const TICK_MS = 25;

/** Runs long enough for several reports after failed ones. */
const PLAY_MS = 10_000;

// An unexpected error about one target ended the process of the lease holder.
describe('ResidencyController and an unexpected error about one target', () => {
  it('goes on with the other targets when a report throws', async () => {
    const world = new EngineWorld([['m0'], ['m1', 'm2']]);
    world.faults.throwingEngine = 'e1';
    await world.clock.advance(PLAY_MS);
    expect(await world.find('m1')).to.equal('e2');
    expect(await world.find('m7')).to.equal('e2');
    expect(new Set(world.failedTasks)).to.deep.equal(
      new Set(['target_report']),
    );
  });

  it('asks the target again, and no more than once a second', async () => {
    const world = new EngineWorld([['m0']]);
    world.faults.throwingEngine = 'e1';
    await world.clock.advance(PLAY_MS);
    expect(world.failedTasks.length).to.be.within(5, PLAY_MS / 1_000 + 1);
    world.faults.throwingEngine = undefined;
    expect(await world.find('m5')).to.equal('e1');
  });

  it('orders again at the target once an order that threw is over', async () => {
    const world = new EngineWorld([['m0', 'm1', 'm2']]);
    while ([...world.registry.all()].length === 0)
      await world.clock.advance(TICK_MS);
    await world.clock.advance(PLAY_MS);
    world.faults.throwingEngine = 'e1';
    const found = world.find('m5', undefined, 30_000);
    expect(world.failedTasks).to.deep.equal([]);
    for (let i = 0; i < 400 && world.failedTasks.length === 0; i++)
      await world.clock.advance(TICK_MS);
    expect(world.failedTasks).to.include('swap');
    world.faults.throwingEngine = undefined;
    expect(await found).to.equal('e1');
    expect(world.engines.get('e1')!.crashes).to.equal(0);
  });
});
