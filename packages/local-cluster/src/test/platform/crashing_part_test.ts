import {expect} from 'chai';
import {CrashPlay, PlayedRequest} from '../../lib/crash_play.js';
import {PlatformWorld, ROUTE_PATH} from '../../lib/platform_world.js';

const HOSTS = 3;
const ENGINES = 6;
const CRASHING = 'bad0';

/** Time between requests, and how long they go on. */
const REQUEST_INTERVAL_MS = 15;
const PLAY_MS = 9_000;

/** One request in so many holds the crashing part. */
const CRASHING_EVERY = 12;

/** Crashes after which the part should be known, and in what time. */
const KNOWN_AFTER_CRASHES = 5;
const KNOWN_AFTER_MS = 1_500;

/** Requests with the part that may reach a worker after that. */
const MAX_LATE_RUNS = 3;

/** Least fraction of sound requests that are served after that. */
const MIN_SOUND_SERVED = 0.9;

const pause = (ms: number) => new Promise(done => setTimeout(done, ms));

function requestOf(i: number): PlayedRequest {
  const isCrashing = i % CRASHING_EVERY === CRASHING_EVERY - 1;
  const subject = isCrashing ? CRASHING : `5b${i % 7}`;
  const headers = {
    'x-fuchsiacleat-model': 'm1',
    'x-fuchsiacleat-token-count': '100,20',
    'x-fuchsiacleat-prompt-prefix': `ba5e:50,${subject}:40,${i}0:10`,
  };
  // No two requests are alike.
  return {path: ROUTE_PATH.stream, headers, body: `body ${i}`, isCrashing};
}

describe('GatewayHost and a prompt part that crashes its targets', () => {
  let world: PlatformWorld;

  afterEach(async () => {
    await world.stop();
  });

  it('does not crash one target after the other', async () => {
    world = await PlatformWorld.start(HOSTS, ENGINES);
    for (const engine of world.engines) {
      engine.crashingPart = CRASHING;
      engine.workMs = 40;
      engine.onRestart = () => world.registerTargets();
    }
    const play = new CrashPlay(world, {
      playMs: PLAY_MS,
      intervalMs: REQUEST_INTERVAL_MS,
      request: requestOf,
    });
    await play.run();
    const knownMs = play.crashMs(KNOWN_AFTER_CRASHES) + KNOWN_AFTER_MS;
    expect(play.crashingIds.size, 'requests with the part').to.be.above(30);
    const lateRuns = play.countCrashingRuns(knownMs);
    expect(lateRuns, 'late runs').to.be.at.most(MAX_LATE_RUNS);
    const late = play.soundStatuses(knownMs);
    const served = late.filter(status => status === 200);
    expect(late.length, 'late sound requests').to.be.above(100);
    expect(served.length / late.length).to.be.at.least(MIN_SOUND_SERVED);
  });
});

describe('GatewayHosts after their quarantine was stored', () => {
  let world: PlatformWorld;
  const headers = {
    'x-fuchsiacleat-model': 'm1',
    'x-fuchsiacleat-token-count': '100,20',
    'x-fuchsiacleat-prompt-prefix': `${CRASHING}:40,00:10`,
  };

  beforeEach(async () => {
    world = await PlatformWorld.start(2, ENGINES);
    for (const engine of world.engines) {
      engine.crashingPart = CRASHING;
      engine.onRestart = () => world.registerTargets();
    }
    await world.until(() => world.hosts.some(host => host.canOrder));
    while (!isQuarantined(await call())) await pause(50);
    await world.until(() => storedParts().length === 1);
  });

  afterEach(async () => {
    await world.stop();
  });

  const call = () =>
    world
      .call(ROUTE_PATH.stream, {headers})
      .catch(() => ({status: 0, headers: {}, body: ''}));

  const isQuarantined = ({status, body}: {status: number; body: string}) =>
    status === 503 && body.includes('quarantined');

  const storedParts = () => world.store.keysOf('keyed.quarantine');

  const countCrashes = () =>
    world.engines.reduce((sum, engine) => sum + engine.crashesMs.length, 0);

  it('refuse the part after all of them were killed', async () => {
    const crashes = countCrashes();
    await world.restartHosts();
    await world.until(() => world.hosts.every(host => host.isReady));
    expect(isQuarantined(await call())).to.equal(true);
    expect(countCrashes()).to.equal(crashes);
  });

  it('store it again after the store came back from an older copy', async () => {
    world.store.forget(['keyed.quarantine'], 1);
    expect(storedParts()).to.have.lengthOf(0);
    await world.until(() => storedParts().length === 1);
  });
});
