import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {CutWorld, SteadyCallers} from './cut_play.js';
import {SeenAnswer, sendRequest, wholeStream} from './seen_answer.js';
import {LINK_CUT, LinkCut} from './target_links.js';

/** Time from the start of a cut after which hosts serve again. */
const TOUCH_MS = 3_000;

/** Streams that go through a helper host, of 6 s each. */
const STREAM_COUNT = 12;
const STREAM_EVENTS = 150;
const STREAM_DEADLINE_MS = 10_000;

/**
 * Retry budget that is not used up, although a new host takes itself for one of
 * many and is granted its retries one after the other.
 */
const AMPLE_RETRIES = {retrySlack: 10_000, retryWindowMs: 200};

/** Time in which a host whose cut has ended can help others. */
const KILL_AFTER_MS = 3_000;

/** Silence of sound targets, in milliseconds. */
const SILENCE_MS = 1_200;

/** Time for which callers go on before and after the silence. */
const AROUND_MS = 1_500;

/** Log events of a host that does not connect to targets itself. */
const DETOUR_EVENTS = ['target_paths_lost', 'helper_chosen'];

describe('GatewayHost whose helper host is killed amid streams', () => {
  let cutWorld: CutWorld;

  afterEach(async () => {
    await cutWorld.stop();
  });

  const CUTS: readonly LinkCut[] = [LINK_CUT.hang, LINK_CUT.reset];
  for (const how of CUTS) {
    it(`does not lose or repeat events (${how})`, async () => {
      // The third host is the only one that can help at first.
      cutWorld = await CutWorld.start(2, {
        routes: {timeoutMs: STREAM_DEADLINE_MS},
        ...AMPLE_RETRIES,
      });
      const {world} = cutWorld;
      for (const engine of world.engines) engine.streamEvents = STREAM_EVENTS;
      await cutWorld.cut(how);
      await sleep(TOUCH_MS);
      const options = {deadlineMs: STREAM_DEADLINE_MS};
      await sendRequest(world, 'resumable', 'first', options);
      const sent: Array<Promise<SeenAnswer>> = [];
      for (let i = 0; i < STREAM_COUNT; i++) {
        sent.push(sendRequest(world, 'resumable', `stream ${i}`, options));
      }
      await cutWorld.links[1].restore();
      await sleep(KILL_AFTER_MS);
      world.hosts[2].terminate();
      const answers = await Promise.all(sent);
      const broken = answers.filter(
        ({body}) => body !== wholeStream(STREAM_EVENTS),
      );
      expect(broken).to.deep.equal([]);
      const resumed = answers.filter(({id}) => world.countRuns(id) > 1);
      expect(resumed.length, 'resumed').to.equal(STREAM_COUNT);
    });
  }
});

describe('GatewayHosts and targets that are silent', () => {
  let cutWorld: CutWorld;

  afterEach(async () => {
    await cutWorld.stop();
  });

  for (const extent of ['one of each service', 'all'] as const) {
    it(`do not take a silence for a lost path (${extent})`, async () => {
      cutWorld = await CutWorld.start(0);
      const {world} = cutWorld;
      const callers = new SteadyCallers(world, [0, 1]);
      const called = callers.run();
      await sleep(AROUND_MS);
      const silent =
        extent === 'all' ? world.workers : [world.plain[0], world.engine];
      for (const worker of silent) worker.silence(SILENCE_MS);
      await sleep(SILENCE_MS + AROUND_MS);
      await Promise.all([called, callers.stop()]);
      const detours = world.lines.filter(line =>
        DETOUR_EVENTS.some(event => line.includes(`event=${event}`)),
      );
      expect(detours).to.deep.equal([]);
    });
  }
});
