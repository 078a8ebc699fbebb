import {expect} from 'chai';
import fc from 'fast-check';
import {PoolSpec} from '../../index.js';
import {ShareWorld, WorldConfig, largestBurst} from './share_world.js';

const ZONES = ['a', 'b', 'c'];
const HOSTS = ZONES.flatMap(zone => [`${zone}-1`, `${zone}-2`, `${zone}-3`]);
const SPEC: PoolSpec = {name: 'team/x', rate: 90, burst: 300, floor: 0.5};
const TOLERANCE = 1e-3;

function configOf(change: Partial<PoolSpec> = {}): WorldConfig {
  const zones = new Map(ZONES.map(zone => [zone, 1]));
  return {spec: {...SPEC, ...change}, zones};
}

function startAll(world: ShareWorld): void {
  for (const host of HOSTS.filter(name => !name.endsWith('-3'))) {
    world.start(host, host[0]);
  }
  for (const host of world.hosts.keys()) world.sync(host);
}

function totalAvailable(world: ShareWorld): number {
  let sum = 0;
  for (const {pool} of world.hosts.values()) sum += pool.available;
  return sum;
}

const host = fc.constantFrom(...HOSTS);
const step = fc.oneof(
  {
    weight: 6,
    arbitrary: fc.record({
      type: fc.constant('requests' as const),
      hosts: fc.oneof(fc.constant(HOSTS), fc.subarray(HOSTS, {minLength: 1})),
      tokens: fc.constantFrom(10, 40, 300, 300),
      usedFraction: fc.constantFrom(0, 0.5, 1, 1),
      holdMs: fc.integer({min: 100, max: 2_000}),
    }),
  },
  {
    weight: 6,
    arbitrary: fc.record({
      type: fc.constant('wait' as const),
      ms: fc.integer({min: 20, max: 4_000}),
    }),
  },
  {
    weight: 4,
    arbitrary: fc.record({
      type: fc.constant('sync' as const),
      hosts: fc.subarray(HOSTS),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({type: fc.constant('crash' as const), host}),
  },
  {
    weight: 1,
    arbitrary: fc.record({type: fc.constant('remove' as const), host}),
  },
  {
    weight: 2,
    arbitrary: fc.record({type: fc.constant('start' as const), host}),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      type: fc.constant('cut' as const),
      zones: fc.subarray(ZONES),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      type: fc.constant('messages' as const),
      loss: fc.constantFrom(0, 0, 0.1, 0.5),
      doubling: fc.constantFrom(0, 0.3),
      maxDelayMs: fc.constantFrom(2, 2, 300, 1_500),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      type: fc.constant('declare' as const),
      part: fc.constantFrom(1, 1, 1, 0.5),
      zones: fc.subarray(ZONES, {minLength: 1}),
    }),
  },
);

type Step = typeof step extends fc.Arbitrary<infer T> ? T : never;

async function applyStep(world: ShareWorld, action: Step): Promise<void> {
  switch (action.type) {
    case 'requests':
      for (const name of action.hosts) {
        world.request(name, action.tokens, action.usedFraction, action.holdMs);
      }
      return;
    case 'wait':
      return world.advance(action.ms);
    case 'sync':
      return action.hosts.forEach(name => world.sync(name));
    case 'crash':
      return world.crash(action.host);
    case 'remove':
      return world.remove(action.host);
    case 'start':
      return world.start(action.host, action.host[0]);
    case 'cut':
      world.partitionedZones.clear();
      for (const zone of action.zones) world.partitionedZones.add(zone);
      return;
    case 'messages': {
      const {loss, doubling, maxDelayMs} = action;
      world.hub.faults = {
        minDelayMs: 1,
        maxDelayMs,
        lossFraction: loss,
        duplicationFraction: doubling,
      };
      return;
    }
    case 'declare': {
      const {part, zones} = action;
      const {spec} = configOf({
        rate: SPEC.rate * part,
        burst: SPEC.burst * part,
      });
      const weights = new Map(zones.map(zone => [zone, 1]));
      world.configs.push({spec, zones: weights});
    }
  }
}

describe('SharedPool', () => {
  it('collects the whole burst at one host', async () => {
    const world = new ShareWorld(1, configOf());
    startAll(world);
    await world.advance(10_000);
    expect(totalAvailable(world)).to.be.closeTo(SPEC.burst, 1);
    const {pool} = world.hosts.get('b-1')!;
    const deadlineMs = world.clock.now() + 5_000;
    const signal = new AbortController().signal;
    const permit = pool.acquire(SPEC.burst * 0.95, deadlineMs, signal);
    await world.advance(2_000);
    expect((await permit).isOk()).to.equal(true);
  });

  it('immediately refuses a request larger than the burst', async () => {
    const world = new ShareWorld(1, configOf());
    startAll(world);
    const {pool} = world.hosts.get('b-1')!;
    const signal = new AbortController().signal;
    const result = await pool.acquire(SPEC.burst + 1, 1e9, signal);
    expect(result._unsafeUnwrapErr().waitMs).to.equal(Infinity);
  });

  it('serves nearly the whole rate through one host', async () => {
    const world = new ShareWorld(1, configOf());
    startAll(world);
    await world.advance(10_000);
    const startMs = world.clock.now();
    for (let i = 0; i < 400; i++) {
      world.request('a-1', SPEC.rate / 10, 1, 500);
      await world.advance(100);
    }
    await world.advance(1_000);
    const served = world.generated
      .filter(({atMs}) => atMs >= startMs)
      .reduce((sum, {tokens}) => sum + tokens, 0);
    expect(served / (SPEC.rate * 40)).to.be.at.least(0.98);
  });

  it('continues at the floor rate while the zone is partitioned', async () => {
    const world = new ShareWorld(1, configOf());
    startAll(world);
    await world.advance(10_000);
    const zone = ['a', 'b'].find(
      name => world.hosts.get(`${name}-1`)!.pool.available < 40,
    )!;
    world.partitionedZones.add(zone);
    for (let i = 0; i < 200; i++) {
      world.request(`${zone}-1`, 1_000, 1, 200);
      await world.advance(100);
    }
    const late = world.generated.filter(({atMs}) => atMs > 20_000);
    const rate = late.reduce((sum, {tokens}) => sum + tokens, 0) / 10;
    expect(rate).to.be.closeTo((SPEC.rate * SPEC.floor) / ZONES.length, 1);
  });

  it('gives a restarted host an empty share that refills', async () => {
    const world = new ShareWorld(1, configOf());
    startAll(world);
    await world.advance(10_000);
    world.crash('a-1');
    world.start('a-1', 'a');
    expect(world.hosts.get('a-1')!.pool.available).to.equal(0);
    for (const name of world.hosts.keys()) world.sync(name);
    await world.advance(10_000);
    expect(totalAvailable(world)).to.be.closeTo(SPEC.burst, 1);
  });

  it('keeps every window within rate * window + burst', async function () {
    this.timeout(240_000);
    const steps = fc.array(step, {minLength: 20, maxLength: 80});
    await fc.assert(
      fc.asyncProperty(fc.integer(), steps, async (seed, actions) => {
        const world = new ShareWorld(seed, configOf());
        startAll(world);
        await world.advance(5_000);
        for (const action of actions) await applyStep(world, action);
        await world.advance(3_000);
        for (const {abort} of world.hosts.values()) abort.abort();
        const bound = SPEC.burst + TOLERANCE;
        expect(largestBurst(world.admitted, SPEC.rate)).to.be.at.most(bound);
        expect(largestBurst(world.generated, SPEC.rate)).to.be.at.most(bound);
      }),
      {
        seed: Number(process.env['FC_SEED'] ?? 5),
        numRuns: Number(process.env['FC_RUNS'] ?? 300),
      },
    );
  });
});
