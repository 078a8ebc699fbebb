import {expect} from 'chai';
import {EngineWorld} from './engine_world.js';

/** Starts engines, the first one in a zone of its own, and takes the lease. */
async function startWorld(
  held: string[][],
  onDisk?: string[],
): Promise<EngineWorld> {
  const world = new EngineWorld(held, undefined, onDisk);
  world.setZone('e1', 'out');
  while (!world.controller.isActive) await world.clock.advance(10);
  await world.clock.advance(1_000);
  return world;
}

function loadedModels(world: EngineWorld): string[] {
  return world.port.orders
    .filter(({verb}) => verb === 'load')
    .map(({model}) => model);
}

describe('ResidencyController and evacuated zones', () => {
  it('loads the models in use elsewhere, those in highest demand first', async () => {
    const world = await startWorld([
      ['m0', 'm1', 'm2'],
      ['m3', 'm4', 'm5'],
    ]);
    world.report([], {m0: 2, m1: 5, m3: 1, m4: 1, m5: 9});
    world.evacuations.set('out', true, 1);
    await world.clock.advance(4_000);
    expect(loadedModels(world)).to.deep.equal(['m1', 'm0']);
    const other = world.engines.get('e2')!;
    expect(other.models.has('m5')).to.equal(true);
  });

  // Guards against models that evict each other without end, as the evacuated
  // targets still hold them all.
  it('does not evict a model in higher demand for a displaced one', async () => {
    const world = await startWorld([['m0'], ['m3', 'm4', 'm5']]);
    world.report([], {m0: 1, m3: 2, m4: 2, m5: 2});
    world.evacuations.set('out', true, 1);
    await world.clock.advance(5_000);
    expect(loadedModels(world)).to.deep.equal([]);
  });

  it('sends no order and asks for no report, and uses what is held at the return', async () => {
    const world = await startWorld([['m0'], ['m1']]);
    world.evacuations.set('out', true, 1);
    const reports = world.reportsTo('e1');
    world.registry.requestAllReports();
    expect(await world.find('m0')).to.equal('e2');
    expect(await world.find('m2')).to.equal('e2');
    await world.clock.advance(2_000);
    expect(world.engines.get('e1')!.orderCount).to.equal(0);
    expect(world.reportsTo('e1')).to.equal(reports);
    world.evacuations.set('out', false, 2);
    await world.clock.advance(30);
    expect(world.reportsTo('e1')).to.be.above(reports);
    const [account] = world.registry.all();
    expect(account.isReachable).to.equal(true);
    expect(account.isReady('m0', world.clock.now())).to.equal(true);
  });

  it('refuses at once if every target is in an evacuated zone', async () => {
    const world = await startWorld([['m0']]);
    world.evacuations.set('out', true, 1);
    const beganMs = world.clock.now();
    const refusal = await world.settle(world.refusal('m0', 5_000));
    expect(refusal?.isFinal).to.equal(true);
    expect(world.clock.now() - beganMs).to.be.at.most(20);
  });

  // Guards against models that are not loaded elsewhere at a second evacuation,
  // as another zone was evacuated all the time.
  it('hands models over again when their zone is evacuated again', async () => {
    const world = await startWorld([['m0'], ['m1'], []]);
    world.setZone('e3', 'always-out');
    world.evacuations.set('always-out', true, 1);
    world.report([], {m0: 2, m1: 1});
    world.evacuations.set('out', true, 2);
    await world.clock.advance(1_500);
    world.evacuations.set('out', false, 3);
    await world.clock.advance(500);
    world.removeModel('e2', 'm0');
    await world.clock.advance(500);
    world.report([], {m0: 2, m1: 1});
    world.evacuations.set('out', true, 4);
    await world.clock.advance(1_500);
    expect(loadedModels(world)).to.deep.equal(['m0', 'm0']);
  });
});
