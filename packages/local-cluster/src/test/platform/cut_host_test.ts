import {setTimeout as sleep} from 'node:timers/promises';
import {withTimeout} from '@fuchsiacleat/core';
import {expect} from 'chai';
import {PlatformWorld} from '../../lib/platform_world.js';
import {CutWorld, DEADLINE_MS, EVENT_COUNT, SteadyCallers} from './cut_play.js';
import {
  RUNS_ONCE,
  STREAMS,
  SeenAnswer,
  sendRequest,
  wholeStream,
} from './seen_answer.js';
import {LINK_CUT, LinkCut} from './target_links.js';

/** Time from the start of a cut after which hosts serve again. */
const TOUCH_MS = 3_000;

/** Least rate of served first tries, as a fraction of that of other hosts. */
const MIN_SERVED_RATIO = 2 / 3;

/** Most failures among consecutive first tries. */
const MAX_FAILED = 11;
const FAILED_OF = 50;

/** Times of a play, in milliseconds. */
const BEFORE_MS = 1_000;
const COUNTED_UNTIL_MS = 6_000;

/** No counted request is still waiting when the cut ends. */
const CUT_MS = COUNTED_UNTIL_MS + DEADLINE_MS;

/** Time from the end of a cut after which targets are reached directly. */
const RETURN_MS = 5_000;

/** Requests that show how targets are reached. */
const RETURNED_COUNT = 12;

/** Cuts that take targets' connections away amid requests, and their times. */
const CUT_COUNT = 4;
const CUT_INTERVAL_MS = 1_500;
const SHORT_CUT_MS = 700;

/** Time that targets work on requests that cuts break off, in milliseconds. */
const LONG_WORK_MS = 600;

const MANY_ENGINES = 6;

/** Time in which a model that no target holds is loaded and served. */
const LOAD_MS = 5_000;

const OK = 200;
const NOT_RUN_STATUSES: readonly number[] = [408, 421, 429, 503];

const EVENT_END = '\n\n';

function isServed({body, error, id, kind, status}: SeenAnswer): boolean {
  if (status !== OK || error !== undefined) return false;
  const isStream = STREAMS.includes(kind);
  return body === (isStream ? wholeStream(EVENT_COUNT) : `done ${id}`);
}

function describeAnswer(seen: SeenAnswer): string {
  const {error = 'whole', id, status, totalMs} = seen;
  return `${id}: ${status}, ${error}, ${totalMs} ms`;
}

/** Returns which requests ran though they must not have. */
function findFalseRuns(world: PlatformWorld, answers: SeenAnswer[]): string[] {
  return answers
    .filter(({id, kind, status = OK}) => {
      const runs = world.countRuns(id);
      const isRepeated = RUNS_ONCE.includes(kind) && runs > 1;
      return isRepeated || (NOT_RUN_STATUSES.includes(status) && runs > 0);
    })
    .map(seen => `${describeAnswer(seen)}, runs: ${world.countRuns(seen.id)}`);
}

/** Returns the streams with missing or repeated events, or a false end. */
function findFalseStreams(answers: SeenAnswer[]): string[] {
  const whole = wholeStream(EVENT_COUNT);
  return answers
    .filter(({kind, status}) => STREAMS.includes(kind) && status === OK)
    .filter(({body, error}) => {
      if (error === undefined) return body !== whole;
      const end = body.lastIndexOf(EVENT_END);
      const events = end < 0 ? '' : body.slice(0, end + EVENT_END.length);
      return !whole.startsWith(events);
    })
    .map(seen => `${describeAnswer(seen)}: ${JSON.stringify(seen.body)}`);
}

/** Largest number of failures among consecutive answers. */
function maxFailed(answers: SeenAnswer[]): number {
  const starts = Math.max(1, answers.length - FAILED_OF + 1);
  const counts = Array.from({length: starts}, (unusedItem, i) => {
    return answers.slice(i, i + FAILED_OF).filter(seen => !isServed(seen))
      .length;
  });
  return Math.max(...counts);
}

/** One play: callers before, during and after a cut. */
interface Scenario {
  title: string;
  how: LinkCut;
  /** Number of hosts that are cut off; the first ones. */
  cutCount: number;
  hostZones?: readonly string[];
}

const SCENARIOS: readonly Scenario[] = [
  ...Object.values(LINK_CUT).map(how => ({
    title: `one of three, ${how}`,
    how,
    cutCount: 1,
  })),
  {
    title: 'a zone with two of three, hang',
    how: LINK_CUT.hang,
    cutCount: 2,
    hostZones: ['a', 'a', 'b'],
  },
];

/** What a play has shown. */
interface Result {
  world: PlatformWorld;
  callers: SteadyCallers;
  cutMs: number;
  restoredMs: number;
  /** Requests after the return, and how many of them went over the links. */
  returned: SeenAnswer[];
  directCount: number;
}

async function play(
  {cutCount, how}: Scenario,
  cutWorld: CutWorld,
): Promise<Result> {
  const {links, world} = cutWorld;
  const callers = new SteadyCallers(
    world,
    Array.from({length: cutCount + 1}, (unusedItem, i) => i),
  );
  const called = callers.run();
  await sleep(BEFORE_MS);
  const cutMs = performance.now();
  await cutWorld.cut(how);
  await sleep(cutMs + CUT_MS - performance.now());
  await cutWorld.restore();
  const restoredMs = performance.now();
  await sleep(RETURN_MS);
  await Promise.all([called, callers.stop()]);
  const countDirect = () =>
    links.reduce((sum, {requestCount}) => sum + requestCount, 0);
  const before = countDirect();
  const returned: SeenAnswer[] = [];
  for (let i = 0; i < RETURNED_COUNT; i++) {
    const options = {deadlineMs: DEADLINE_MS, host: i % cutCount};
    returned.push(await sendRequest(world, 'once', `returned ${i}`, options));
  }
  const directCount = countDirect() - before;
  return {world, callers, cutMs, restoredMs, returned, directCount};
}

for (const scenario of SCENARIOS) {
  const {cutCount, hostZones, title} = scenario;

  describe(`GatewayHosts that are cut off from all targets (${title})`, () => {
    let cutWorld: CutWorld;
    let result: Result;

    before(async () => {
      cutWorld = await CutWorld.start(cutCount, {hostZones});
      result = await play(scenario, cutWorld);
    });

    after(async () => {
      await cutWorld.stop();
    });

    it('do not go on failing their callers', () => {
      const {callers, cutMs} = result;
      const ofHost = (host: number) =>
        callers.sentBetween(host, cutMs + TOUCH_MS, cutMs + COUNTED_UNTIL_MS);
      const countServed = (answers: SeenAnswer[]) =>
        answers.filter(isServed).length;
      const other = ofHost(cutCount);
      const otherRate = countServed(other) / other.length;
      for (let host = 0; host < cutCount; host++) {
        const own = ofHost(host);
        const served = countServed(own);
        const detail =
          `host ${host}: ${served} of ${own.length} served, ` +
          `${countServed(other)} of ${other.length} elsewhere`;
        expect(own.length).to.be.at.least(FAILED_OF);
        const ratio = served / own.length / otherRate;
        expect(ratio, detail).to.be.at.least(MIN_SERVED_RATIO);
        expect(maxFailed(own), detail).to.be.at.most(MAX_FAILED);
      }
    });

    it('run no request falsely', () => {
      const {callers, world} = result;
      const answers = [...callers.answers, ...callers.left];
      expect(findFalseRuns(world, answers)).to.deep.equal([]);
    });

    it('lose and repeat no event', () => {
      const {callers} = result;
      expect(findFalseStreams(callers.answers)).to.deep.equal([]);
    });

    it('do not disturb callers of other hosts', () => {
      const {callers, cutMs} = result;
      const failed = callers
        .sentBetween(cutCount, cutMs, Infinity)
        .filter(seen => !isServed(seen));
      expect(failed.map(describeAnswer)).to.deep.equal([]);
    });

    it('do not fail callers when the cut ends', () => {
      const {callers, restoredMs, returned} = result;
      const failed = [...callers.answers, ...returned].filter(
        seen => seen.sentMs >= restoredMs && !isServed(seen),
      );
      expect(failed.map(describeAnswer)).to.deep.equal([]);
    });

    it('do not stay on a detour after the cut', () => {
      const {directCount, returned} = result;
      expect(directCount).to.be.at.least(returned.length);
    });
  });
}

describe('GatewayHosts whose order lease holder is cut off from all targets', () => {
  let cutWorld: CutWorld;

  afterEach(async () => {
    await cutWorld.stop();
  });

  const CASES = Object.values(LINK_CUT).flatMap(how =>
    [false, true].map(isCalled => ({
      how,
      isCalled,
      title: isCalled ? `${how}, beside callers` : how,
    })),
  );
  for (const {how, isCalled, title} of CASES) {
    it(`do not leave a model unloaded that no target holds (${title})`, async () => {
      cutWorld = await CutWorld.start(3);
      const {links, world} = cutWorld;
      const holder = world.hosts.findIndex(({canOrder}) => canOrder);
      const callers = new SteadyCallers(world, [holder]);
      if (isCalled) void callers.run();
      await links[holder].cut(how);
      await sleep(TOUCH_MS);
      const endMs = performance.now() + LOAD_MS;
      const served: boolean[] = [];
      const options = {
        deadlineMs: DEADLINE_MS,
        headers: {'x-fuchsiacleat-model': 'm2'},
        host: (holder + 1) % world.hosts.length,
      };
      for (let i = 0; !served.at(-1) && performance.now() < endMs; i++) {
        const leftMs = endMs - performance.now();
        const seen = await withTimeout(leftMs, undefined, signal =>
          sendRequest(world, 'stream', `m2 ${i}`, {...options, signal}),
        );
        served.push(isServed(seen));
      }
      await callers.stop();
      expect(served.at(-1), `${served.length} tries`).to.equal(true);
    });
  }
});

describe('GatewayHosts of which one loses its connections to all targets again and again', () => {
  const SHARED_PART = '5a5a';
  let cutWorld: CutWorld;
  let callers: SteadyCallers;

  before(async () => {
    cutWorld = await CutWorld.start(1, {}, MANY_ENGINES);
    const {world} = cutWorld;
    for (const worker of world.workers) worker.workMs = LONG_WORK_MS;
    callers = new SteadyCallers(world, [0, 1], {
      'x-fuchsiacleat-token-count': '100,20',
      'x-fuchsiacleat-prompt-prefix': `${SHARED_PART}:40,00:10`,
    });
    const called = callers.run();
    for (let i = 0; i < CUT_COUNT; i++) {
      await sleep(CUT_INTERVAL_MS - SHORT_CUT_MS);
      await cutWorld.cut(LINK_CUT.reset);
      await sleep(SHORT_CUT_MS);
      await cutWorld.restore();
    }
    await Promise.all([called, callers.stop()]);
  });

  after(async () => {
    await cutWorld.stop();
  });

  const linesWith = (...parts: string[]) =>
    cutWorld.world.lines.filter(line =>
      parts.every(part => line.includes(part)),
    );

  it('do not take the targets for ended', () => {
    const ended = linesWith('target_end_checked', 'ended=true');
    expect(ended).to.deep.equal([]);
  });

  it('do not suspect sound prompt parts', () => {
    expect(linesWith('part_standing')).to.deep.equal([]);
  });

  it('do not fail callers of the other hosts', () => {
    const failed = callers
      .sentBetween(1, -Infinity, Infinity)
      .filter(seen => !isServed(seen));
    expect(failed.map(describeAnswer)).to.deep.equal([]);
  });
});
