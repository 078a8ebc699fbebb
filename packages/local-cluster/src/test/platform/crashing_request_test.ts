import {expect} from 'chai';
import {CrashPlay, PlayedRequest} from '../../lib/crash_play.js';
import {PlatformWorld, ROUTE_PATH} from '../../lib/platform_world.js';

const HOSTS = 3;
const ENGINES = 5;
const PLAIN_WORKERS = 4;
const CRASHING = 'crashing';

/** Time between requests, and how long they go on. */
const REQUEST_INTERVAL_MS = 20;
const PLAY_MS = 7_000;

/** One request in so many is the crashing one. */
const CRASHING_EVERY = 10;

/** Crashes after which the request should be known, and in what time. */
const KNOWN_AFTER_CRASHES = 3;
const KNOWN_AFTER_MS = 1_500;

/** Further runs of the request after that. */
const MAX_LATE_RUNS = 3;

/** Least fraction of sound requests that are served after that. */
const MIN_SOUND_SERVED = 0.95;

function requestOf(path: string, i: number): PlayedRequest {
  const isCrashing = i % CRASHING_EVERY === CRASHING_EVERY - 1;
  const streamHeaders = {
    'x-fuchsiacleat-model': 'm1',
    'x-fuchsiacleat-token-count': '100,20',
    'x-fuchsiacleat-prompt-prefix': `ba5e:50,5b${i % 7}:40,${i}0:10`,
  };
  const headers = path === ROUTE_PATH.resumable ? streamHeaders : {};
  return {
    path,
    headers,
    body: isCrashing ? CRASHING : `sound ${i}`,
    isCrashing,
  };
}

describe('GatewayHost and a request that crashes its targets', () => {
  let world: PlatformWorld;

  afterEach(async () => {
    await world.stop();
  });

  for (const [kind, path] of Object.entries(ROUTE_PATH)) {
    if (path === ROUTE_PATH.stream) continue;
    it(`does not crash one target after the other with a request that comes again (${kind})`, async () => {
      world = await PlatformWorld.start(HOSTS, ENGINES, {
        plainCount: PLAIN_WORKERS,
      });
      for (const worker of world.workers) {
        worker.crashingBody = CRASHING;
        worker.workMs = 40;
        worker.onRestart = () => world.registerTargets();
      }
      const play = new CrashPlay(world, {
        playMs: PLAY_MS,
        intervalMs: REQUEST_INTERVAL_MS,
        request: i => requestOf(path, i),
      });
      await play.run();
      const knownMs = play.crashMs(KNOWN_AFTER_CRASHES) + KNOWN_AFTER_MS;
      expect(knownMs, 'a crash').to.be.below(Infinity);
      const lateRuns = play.countCrashingRuns(knownMs);
      expect(lateRuns, 'late runs').to.be.at.most(MAX_LATE_RUNS);
      const late = play.soundStatuses(knownMs);
      const served = late.filter(status => status === 200);
      expect(late.length, 'late sound requests').to.be.above(50);
      expect(served.length / late.length).to.be.at.least(MIN_SOUND_SERVED);
    });
  }
});
