import {expect} from 'chai';
import {EngineWorld} from './engine_world.js';

const STEP_MS = 100;

describe('ResidencyController with targets of several software versions', () => {
  /** Runs streams of m0 at e1, and others elsewhere, for three seconds. */
  async function play(versions: readonly string[]): Promise<EngineWorld> {
    const world = new EngineWorld([
      ['m0', 'm1'],
      ['m2', 'm3'],
      ['m0', 'm4'],
      ['m5', 'm6'],
    ]);
    for (const [i, version] of versions.entries())
      world.setVersion(`e${i + 1}`, version);
    const inFlight: Array<[string, string, number]> = [
      ['e1', 'm0', 4],
      ['e2', 'm2', 1],
      ['e3', 'm4', 1],
    ];
    const rates = {m0: 4, m1: 0.1, m2: 1, m3: 0.1, m4: 1, m5: 0.1, m6: 0.1};
    for (let ms = 0; ms < 3_000; ms += STEP_MS) {
      world.report(inFlight, rates, 400);
      await world.clock.advance(STEP_MS);
    }
    return world;
  }

  const holdersOf = (world: EngineWorld, model: string) =>
    [...world.engines]
      .filter(([, {models}]) => models.has(model))
      .map(([id]) => id);

  it('keeps a second copy of the busiest model at its version', async () => {
    const world = await play(['v1', 'v1', 'v2', 'v2']);
    expect(holdersOf(world, 'm0')).to.include.members(['e1', 'e2']);
  });

  it('adds none while all targets run one version', async () => {
    const world = await play(['v1', 'v1', 'v1', 'v1']);
    expect(holdersOf(world, 'm0')).to.not.include('e2');
  });

  it('assigns requests for a version only to its targets, and loads for it there', async () => {
    const world = new EngineWorld([['m0'], ['m1'], ['m2'], ['m3']]);
    for (const [i, version] of ['v1', 'v1', 'v2', 'v2'].entries())
      world.setVersion(`e${i + 1}`, version);
    await world.clock.advance(1_000);
    const found = await world.settle(world.ask('m0', undefined, 5_000, 'v2'));
    expect(['e3', 'e4']).to.include(found);
  });
});
