import {expect} from 'chai';
import {
  PlatformWorld,
  ROUTE_PATH,
  STORE_TOPIC,
} from '../../lib/platform_world.js';

const HOSTS = 3;
const REQUEST_INTERVAL_MS = 20;
const COLD_S = 3;
const COLD_PER_S = 8;
const COLD_MS = COLD_S * 1_000;
const WINDOW_MS = 1_000;

/** Most requests in a second: 1.5 times the rate, and 5. */
const BOUND = 1.5 * COLD_PER_S + 5;

const pause = (ms: number) => new Promise(done => setTimeout(done, ms));

function mostInWindow(timesMs: readonly number[]): number {
  const counts = timesMs.map(
    startMs =>
      timesMs.filter(ms => ms >= startMs && ms < startMs + WINDOW_MS).length,
  );
  return Math.max(0, ...counts);
}

describe('GatewayHosts and a cold target', () => {
  let world: PlatformWorld;

  beforeEach(async () => {
    const coldPlain = {ColdS: COLD_S, ColdPerS: COLD_PER_S};
    world = await PlatformWorld.start(HOSTS, 1, {routes: {coldPlain}});
    await world.until(() => world.hosts.some(host => host.canOrder));
  });

  afterEach(async () => {
    await world.stop();
  });

  it('do not together exceed what it takes when it returns among busy ones', async () => {
    const [cold, other] = world.plain;
    world.store.put(STORE_TOPIC.targets, 'p1', undefined);
    const isGone = (line: string) =>
      line.includes('target_gone') && line.includes('target=p1');
    await world.until(() => world.lines.some(isGone));
    await pause(1_000);
    cold.coldUntilMs = performance.now() + COLD_MS;
    world.store.put(STORE_TOPIC.targets, 'p1', cold.registration());
    const calls: Array<Promise<number>> = [];
    for (let i = 0; performance.now() < cold.coldUntilMs; i++) {
      const call = world.call(ROUTE_PATH.repeatable, {host: i % HOSTS});
      calls.push(call.then(({status}) => status));
      await pause(REQUEST_INTERVAL_MS);
    }
    const statuses = await Promise.all(calls);
    const arrivals = cold.requestArrivalsMs.filter(ms => ms < cold.coldUntilMs);
    expect(mostInWindow(arrivals)).to.be.at.most(BOUND);
    const served = statuses.filter(status => status === 200);
    expect(served.length / statuses.length).to.be.at.least(0.98);
    expect(other.requestArrivalsMs.length).to.be.above(50);
    const isCold = (line: string) => line.includes('target_cold');
    expect(world.lines.some(isCold)).to.equal(true);
  });
});
