import {PlatformWorkerStandin} from '@fuchsiacleat/standins';
import {expect} from 'chai';
import {PlatformWorld, ROUTE_PATH} from '../../lib/platform_world.js';

const HOSTS = 3;
const REQUEST_INTERVAL_MS = 25;
const PLAY_MS = 8_000;

/** Time after which a limit that was first named has to be kept. */
const TOUCH_MS = 1_500;

/** Window, factor and slack of the platform's bound on a limited target. */
const WINDOW_MS = 4_000;
const OVERAGE = 1.5;
const SLACK = 5;

const MS_PER_SECOND = 1_000;

const pause = (ms: number) => new Promise(done => setTimeout(done, ms));

/** Returns the largest number of times within any window. */
function mostInWindow(timesMs: readonly number[], windowMs: number): number {
  let most = 0;
  let first = 0;
  for (let last = 0; last < timesMs.length; last++) {
    while (timesMs[last] - timesMs[first] >= windowMs) first += 1;
    most = Math.max(most, last - first + 1);
  }
  return most;
}

function allowedInWindow(perSecond: number): number {
  return (OVERAGE * perSecond * WINDOW_MS) / MS_PER_SECOND + SLACK;
}

/** Sends requests to all hosts in turn; returns their statuses. */
async function play(world: PlatformWorld, path: string): Promise<number[]> {
  const calls: Array<Promise<number>> = [];
  const endMs = performance.now() + PLAY_MS;
  for (let i = 0; performance.now() < endMs; i++) {
    const call = world.call(path, {host: i % HOSTS});
    calls.push(call.then(({status}) => status));
    await pause(REQUEST_INTERVAL_MS);
  }
  return Promise.all(calls);
}

function arrivalsAfter(worker: PlatformWorkerStandin, ms: number): number[] {
  return worker.requestArrivalsMs.filter(atMs => atMs >= ms);
}

describe('GatewayHosts and the limit of a target', () => {
  let world: PlatformWorld;

  beforeEach(async () => {
    world = await PlatformWorld.start(HOSTS);
    await world.until(() => world.hosts.some(host => host.canOrder));
  });

  afterEach(async () => {
    await world.stop();
  });

  for (const perSecond of [0.4, 3]) {
    it(`do not together exceed a limit of ${perSecond} requests a second`, async () => {
      const [limited, other] = world.plain;
      limited.requestsPerSecond = perSecond;
      const beganMs = performance.now();
      const statuses = await play(world, ROUTE_PATH.repeatable);
      const arrivals = arrivalsAfter(limited, beganMs + TOUCH_MS);
      const most = mostInWindow(arrivals, WINDOW_MS);
      expect(most).to.be.at.most(allowedInWindow(perSecond));
      const expected = (perSecond * (PLAY_MS - TOUCH_MS)) / MS_PER_SECOND;
      expect(arrivals.length).to.be.at.least(Math.floor(expected * 0.5));
      const served = statuses.filter(status => status === 200);
      expect(served.length / statuses.length).to.be.at.least(0.98);
      expect(other.requestArrivalsMs.length).to.be.above(100);
    });
  }

  it('use a target fully again once it names no limit any more', async () => {
    const [limited] = world.plain;
    limited.requestsPerSecond = 2;
    setTimeout(() => (limited.requestsPerSecond = undefined), PLAY_MS / 2);
    const beganMs = performance.now();
    await play(world, ROUTE_PATH.repeatable);
    const late = arrivalsAfter(limited, beganMs + PLAY_MS / 2 + TOUCH_MS);
    expect(late.length).to.be.above(30);
  });
});
