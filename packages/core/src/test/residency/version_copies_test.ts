import {expect} from 'chai';
import {engineConfig} from '../gateway/gateway_fixtures.js';
import {EngineWorld} from './engine_world.js';

const STEP_MS = 100;
const ASK_INTERVAL_MS = 500;

const MIXED_VERSIONS = ['v1', 'v1', 'v1', 'v2', 'v2'];
const V1_TARGETS = ['e1', 'e2', 'e3'];

/** Requests per second for models that few callers use. */
const RARE_RATES = {
  m1: 0.3,
  m2: 0.3,
  m3: 0.3,
  m4: 0.3,
  m5: 0.3,
  m6: 0.3,
  m7: 0.3,
  m8: 0.3,
  m9: 0.3,
};

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

  /**
   * Runs streams of m0 at e1 and e3, of m2 at e2 and of m6 at e4, and requests
   * for models that are only in the weight store.
   */
  async function playWithStore(
    requestsOfM2: number,
    storeModels: readonly string[],
    durationMs: number,
  ): Promise<EngineWorld> {
    const engine = engineConfig({slots: 64, storeLoadsPerSecond: 0.5});
    const held = [
      ['m0', 'm1', 'm4'],
      ['m2', 'm3', 'm5'],
      ['m0', 'm4', 'm5'],
      ['m6', 'm1', 'm3'],
      ['m6', 'm5', 'm4'],
    ];
    const onDisk = ['m0', 'm1', 'm3', 'm4', 'm5', 'm6'];
    const world = new EngineWorld(held, engine, onDisk);
    for (const [i, version] of MIXED_VERSIONS.entries())
      world.setVersion(`e${i + 1}`, version);
    const inFlight: Array<[string, string, number]> = [
      ['e1', 'm0', 16],
      ['e2', 'm2', requestsOfM2],
      ['e3', 'm0', 16],
      ['e4', 'm6', 5],
    ];
    const rates = {...RARE_RATES, m0: 8, m2: 3, m6: 2};
    for (let ms = 0; ms < durationMs; ms += STEP_MS) {
      world.report(inFlight, rates, 400);
      if (ms % ASK_INTERVAL_MS === 0)
        for (const model of storeModels) void world.ask(model, undefined, 500);
      await world.clock.advance(STEP_MS);
    }
    return world;
  }

  const holdersOf = (world: EngineWorld, model: string) =>
    [...world.engines]
      .filter(([, {models}]) => models.has(model))
      .map(([id]) => id);

  const holdersAtV1 = (world: EngineWorld, model: string) =>
    holdersOf(world, model).filter(id => V1_TARGETS.includes(id));

  it('keeps a second copy of the busiest model at its version', async () => {
    const world = await play(['v1', 'v1', 'v2', 'v2']);
    expect(holdersOf(world, 'm0')).to.include.members(['e1', 'e2']);
  });

  it('keeps a second copy of a model whose streams one target alone can go on with', async () => {
    const world = await playWithStore(6, [], 4_000);
    expect(holdersAtV1(world, 'm2')).to.have.length(2);
  });

  it('loads that copy although callers were refused for models in the store', async () => {
    const world = await playWithStore(20, ['m7', 'm8', 'm9'], 6_000);
    expect(holdersAtV1(world, 'm2')).to.have.length(2);
  });

  it('does not unload that copy for requests that wait for another model', async () => {
    const held = [
      ['m0', 'm1', 'm3'],
      ['m2', 'm4', 'm5'],
      ['m0', 'm6', 'm7'],
      ['m8', 'm9'],
      ['m8', 'm9'],
    ];
    const world = new EngineWorld(held, engineConfig({slots: 64}));
    for (const [i, version] of MIXED_VERSIONS.entries())
      world.setVersion(`e${i + 1}`, version);
    const inFlight: Array<[string, string, number]> = [['e1', 'm0', 16]];
    for (const model of ['m8', 'm9', 'm8', 'm9']) {
      const found = world.ask(model, undefined, 1_500, 'v1');
      for (let ms = 0; ms < 1_600; ms += STEP_MS) {
        world.report(inFlight, {...RARE_RATES, m0: 8}, 400);
        await world.clock.advance(STEP_MS);
        expect(holdersOf(world, 'm0')).to.include.members(['e1', 'e3']);
      }
      expect(await found).to.be.oneOf(V1_TARGETS);
    }
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
