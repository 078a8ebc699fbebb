import {expect} from 'chai';
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

const pause = (ms: number) => new Promise(done => setTimeout(done, ms));

/** Sends sound requests, and repeats of a crashing one, to all hosts in turn. */
class CrashingRequestPlay {
  readonly sound: Array<{sentMs: number; status: number}> = [];
  private readonly calls: Array<Promise<void>> = [];

  constructor(
    private readonly world: PlatformWorld,
    private readonly path: string,
  ) {}

  async run(): Promise<void> {
    const endMs = performance.now() + PLAY_MS;
    for (let i = 0; performance.now() < endMs; i++) {
      this.send(i);
      await pause(REQUEST_INTERVAL_MS);
    }
    await Promise.all(this.calls);
  }

  /** Times at which the crashing request began to run. */
  get crashingRunsMs(): number[] {
    return this.world.workers
      .flatMap(({runs}) => runs)
      .filter(({body}) => body === CRASHING)
      .map(({startedMs}) => startedMs)
      .sort((a, b) => a - b);
  }

  get crashesMs(): number[] {
    return this.world.workers
      .flatMap(worker => worker.crashesMs)
      .sort((a, b) => a - b);
  }

  private send(i: number): void {
    const isCrashing = i % CRASHING_EVERY === CRASHING_EVERY - 1;
    const body = isCrashing ? CRASHING : `sound ${i}`;
    const isStream = this.path === ROUTE_PATH.resumable;
    const streamHeaders = {
      'x-fuchsiacleat-model': 'm1',
      'x-fuchsiacleat-token-count': '100,20',
      'x-fuchsiacleat-prompt-prefix': `ba5e:50,5b${i % 7}:40,${i}0:10`,
    };
    const headers = isStream ? streamHeaders : {};
    const sentMs = performance.now();
    const call = this.world
      .call(this.path, {host: i % HOSTS, headers, body})
      .then(
        ({status}) => status,
        () => 0,
      )
      .then(status => {
        if (!isCrashing) this.sound.push({sentMs, status});
      });
    this.calls.push(call);
  }
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
      const play = new CrashingRequestPlay(world, path);
      await play.run();
      const {crashesMs} = play;
      const lastMs =
        crashesMs[KNOWN_AFTER_CRASHES - 1] ?? crashesMs.at(-1) ?? Infinity;
      const knownMs = lastMs + KNOWN_AFTER_MS;
      const lateRuns = play.crashingRunsMs.filter(ms => ms > knownMs);
      expect(crashesMs.length, 'crashes').to.be.above(0);
      expect(lateRuns.length, 'late runs').to.be.at.most(MAX_LATE_RUNS);
      const late = play.sound.filter(({sentMs}) => sentMs > knownMs);
      const served = late.filter(({status}) => status === 200);
      expect(late.length, 'late sound requests').to.be.above(50);
      expect(served.length / late.length).to.be.at.least(MIN_SOUND_SERVED);
    });
  }
});
