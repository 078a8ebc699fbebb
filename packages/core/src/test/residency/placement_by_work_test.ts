import {expect} from 'chai';
import {EngineConfig} from '../../lib/gateway/deployment.js';
import {engineConfig} from '../gateway/gateway_fixtures.js';
import {EngineWorld} from './engine_world.js';

const STEP_MS = 100;
const STORE_LOAD_MS = 6_000;
const SLOTS = 16;
const SLOW = 1.7;

/** Slots of a request at a typical pace, in seconds; the value at the start. */
const SLOT_SECONDS = 1;

const ENGINE: EngineConfig = engineConfig({
  slots: SLOTS,
  kvCapacityTokens: 100_000,
});

type InFlight = Array<[string, string, number]>;

/** Starts a world; models beyond those on disk are only in the weight store. */
async function start(
  held: string[][],
  onDisk?: string[],
  engine = ENGINE,
): Promise<EngineWorld> {
  const world = new EngineWorld(held, engine, onDisk);
  while ([...world.registry.all()].length === 0)
    await world.clock.advance(STEP_MS);
  return world;
}

function holdersOf(world: EngineWorld, model: string): string[] {
  return [...world.engines]
    .filter(([, {models}]) => models.has(model))
    .map(([id]) => id);
}

/** Keeps demand and paces reported for a time. */
async function keep(
  world: EngineWorld,
  durationMs: number,
  inFlight: InFlight,
  rates: Record<string, number>,
  paces: Record<string, number> = {},
): Promise<void> {
  for (let ms = 0; ms < durationMs; ms += STEP_MS) {
    world.reportPaces(paces);
    world.report(inFlight, rates, 400);
    await world.clock.advance(STEP_MS);
  }
}

describe('Placement by work', () => {
  // A demand shift: the two slow targets of m0 have 32 slots, which serve
  // 32 / 1.7 = 19 requests per second, and 13 without queues.
  const shiftHeld = [
    ['m0', 'm1'],
    ['m0', 'm2'],
    ['m3', 'm4'],
    ['m5', 'm6'],
    ['m7', 'm8'],
  ];
  const shiftPaces = {e1: SLOW, e2: SLOW, e3: 1, e4: 1, e5: 0.6};

  it('orders copies when the demand exceeds the capacity, before a queue forms', async () => {
    const world = await start(shiftHeld);
    const few: InFlight = [
      ['e1', 'm0', 5],
      ['e2', 'm0', 5],
    ];
    await keep(world, 3_000, few, {m0: 6}, shiftPaces);
    expect(holdersOf(world, 'm0')).to.deep.equal(['e1', 'e2']);
    // The slots are 40% full as the first callers of the wave arrive.
    const some: InFlight = few.map(([id, model]) => [id, model, 6]);
    await keep(world, 300, some, {m0: 45}, shiftPaces);
    // Without queues, e5 serves 19 more requests per second, and e3 or e4 11.
    const loads = world.port.orders.filter(({verb}) => verb === 'load');
    expect(loads.map(({model}) => model)).to.deep.equal(['m0', 'm0']);
    expect(holdersOf(world, 'm0')).to.include('e5');
  });

  it('does not copy a model whose copies have room for its demand', async () => {
    const world = await start(shiftHeld);
    const some: InFlight = [
      ['e1', 'm0', 6],
      ['e2', 'm0', 6],
    ];
    await keep(world, 5_000, some, {m0: 7}, shiftPaces);
    expect(holdersOf(world, 'm0')).to.deep.equal(['e1', 'e2']);
    expect(world.port.orders).to.have.lengthOf(0);
  });

  it('plans services without a stated memory by requests in flight alone', async () => {
    const engine = {...ENGINE, kvCapacityTokens: undefined};
    const world = await start(shiftHeld, undefined, engine);
    const some: InFlight = [
      ['e1', 'm0', 6],
      ['e2', 'm0', 6],
    ];
    await keep(world, 3_000, some, {m0: 30}, shiftPaces);
    expect(world.port.orders).to.have.lengthOf(0);
  });

  it('places a busy model on a target of good pace', async () => {
    const held = [['m0', 'm1', 'm2'], ['m3'], ['m4'], ['m5']];
    const world = await start(held);
    // All of the other targets are idle; e3 alone is not slow.
    const paces = {e1: 1, e2: SLOW, e3: 1, e4: SLOW};
    await keep(world, 3_000, [['e1', 'm0', 4]], {m0: 4}, paces);
    const some: InFlight = [['e1', 'm0', 9]];
    await keep(world, 200, some, {m0: 15}, paces);
    const loads = world.port.orders.filter(({verb}) => verb === 'load');
    expect(loads.map(({model}) => model)).to.deep.equal(['m0']);
    expect(holdersOf(world, 'm0')).to.deep.equal(['e1', 'e3']);
  });

  // The weight store serves two loads at a time. Each rare model has one caller,
  // who is told when to come back and does.
  const storeHeld = [
    ['m0', 'm1'],
    ['m0', 'm2'],
    ['m1', 'm2'],
    ['m1', 'm2'],
    ['m1', 'm2'],
    ['m1', 'm2'],
  ];
  const rare = ['m3', 'm4', 'm5', 'm6', 'm7', 'm8', 'm9'];

  async function shiftAmongRare(
    world: EngineWorld,
    durationMs: number,
    busyRate: number,
    onStep: (ms: number) => void = () => {},
  ): Promise<void> {
    const inFlight: InFlight = [
      ['e1', 'm0', SLOTS],
      ['e2', 'm0', SLOTS],
    ];
    const rates: Record<string, number> = {m0: busyRate, m1: 1, m2: 1};
    for (const model of rare) rates[model] = 0.2;
    for (let ms = 0; ms < durationMs; ms += STEP_MS) {
      if (ms % 500 === 0) {
        const model = rare[(ms / 500) % rare.length];
        void world.refusal(model, 1_800);
      }
      await keep(world, STEP_MS, inFlight, rates, shiftPaces);
      onStep(ms);
    }
  }

  // The rates that hosts report follow a shift within seconds.
  for (const busyRate of [25, 6]) {
    it(`brings a busy model from the store before rare ones with single callers, at a reported rate of ${busyRate}/s`, async () => {
      const world = await start(storeHeld, ['m1', 'm2']);
      const before: InFlight = [
        ['e1', 'm0', 2],
        ['e3', 'm1', 1],
        ['e4', 'm2', 1],
      ];
      await keep(world, 2_000, before, {m0: 1, m1: 1, m2: 1}, shiftPaces);
      // Rare callers have come before the shift, and more of them come.
      for (const model of rare) await world.settle(world.refusal(model, 1_800));
      let copiedMs = Infinity;
      await shiftAmongRare(world, 3 * STORE_LOAD_MS, busyRate, ms => {
        const loads = world.port.orders.filter(
          ({model, verb}) => verb === 'load' && model === 'm0',
        );
        if (loads.length > 0) copiedMs = Math.min(copiedMs, ms);
      });
      // Two rare loads may be under way when the shift begins.
      expect(copiedMs).to.be.at.most(STORE_LOAD_MS + 1_000);
    });
  }

  it('loads every rare model in the end, beside a model that is always short', async () => {
    const world = await start(storeHeld, ['m1', 'm2']);
    const loaded = new Set<string>();
    await shiftAmongRare(world, 120_000, 500, () => {
      for (const {model, verb} of world.port.orders)
        if (verb === 'load') loaded.add(model);
    });
    expect([...loaded]).to.include.members(rare);
  });

  it('does not evict a model that a wave needs, in a lull, for a single caller', async () => {
    // Each target holds a model that has been busy; m8 and m9 are idle.
    const held = [
      ['m0', 'm1', 'm2'],
      ['m3', 'm4', 'm5'],
    ];
    const world = await start(held);
    const wave = {m0: 2, m1: 2, m2: 2, m3: 2, m4: 2, m5: 0.8};
    const busy: InFlight = ['m0', 'm1', 'm2', 'm3'].map((model, i) => [
      i < 3 ? 'e1' : 'e2',
      model,
      2,
    ]);
    await keep(world, 3_000, [...busy, ['e2', 'm4', 2]], wave);
    // m4 is the least wanted now, but not at its peak.
    await keep(world, 6_000, busy, {...wave, m4: 0.1});
    expect(await world.find('m7')).to.not.equal(undefined);
    expect(holdersOf(world, 'm4')).to.deep.equal(['e2']);
    expect(holdersOf(world, 'm5')).to.deep.equal([]);
  });

  it('loads a rare model in the end, although every copy is needed', async () => {
    const world = await start([
      ['m0', 'm1', 'm2'],
      ['m3', 'm4', 'm5'],
    ]);
    const rates = {m0: 2, m1: 2, m2: 2, m3: 2, m4: 2, m5: 2, m7: 0.1};
    const inFlight: InFlight = ['m0', 'm1', 'm2', 'm3', 'm4'].map(
      (model, i) => [i < 3 ? 'e1' : 'e2', model, 2],
    );
    await keep(world, 2_000, inFlight, rates);
    const found = world.ask('m7', undefined, 25_000);
    await keep(world, 4_000, inFlight, rates);
    expect(holdersOf(world, 'm7')).to.deep.equal([]);
    await keep(world, 21_000, inFlight, rates);
    expect(await found).to.equal('e2');
  });

  it('keeps a second copy in a lull if one cannot take the peak', async () => {
    const world = await start([
      ['m0', 'm1'],
      ['m0', 'm2'],
    ]);
    const rate = (SLOTS * 1.2) / SLOT_SECONDS;
    const both: InFlight = [
      ['e1', 'm0', 10],
      ['e2', 'm0', 9],
    ];
    await keep(world, 2_000, both, {m0: rate});
    await keep(world, 6_000, [], {m0: 0.5});
    const isRetiring = [...world.registry.all()].map(
      ({residents}) => residents.get('m0')!.isRetiring,
    );
    expect(isRetiring).to.deep.equal([false, false]);
  });
});
