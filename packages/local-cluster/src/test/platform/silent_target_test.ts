import {setTimeout as sleep} from 'node:timers/promises';
import {PlatformWorkerStandin, SILENCE_PLACE} from '@fuchsiacleat/standins';
import {expect} from 'chai';
import {
  PlatformWorld,
  TEAM_KEY,
  WorldOptions,
} from '../../lib/platform_world.js';
import {
  KINDS,
  Kind,
  RUNS_ONCE,
  STREAMS,
  SeenAnswer,
  sendRequest,
  wholeStream,
} from './seen_answer.js';
import {LINK_CUT, TargetLinks} from './target_links.js';

/**
 * Retry budget that is not used up, although a new host takes itself for one of
 * many and is granted its retries one after the other.
 */
const AMPLE_RETRIES = {retrySlack: 10_000, retryWindowMs: 200};

const SILENCES_MS = [300, 900, 1_100, 1_600, 3_000];

/** Deadline of requests; no silence of a test reaches it. */
const DEADLINE_MS = 12_000;

const EVENT_COUNT = 20;
const EVENT_GAP_MS = 40;
const WORK_MS = 400;

/** Requests of each kind that are sent at once. */
const RESUMABLE_COUNT = 12;
const OTHER_COUNT = 2;

/** Time after which requests are sure to be under way, in milliseconds. */
const UNDER_WAY_MS = 200;

/** Gap after which callers leave, at least, and in latency objectives. */
const MIN_CALLER_GAP_MS = 2_000;
const CALLER_GAP_OBJECTIVES = 4;

const OK = 200;

const send = (world: PlatformWorld, kind: Kind, id: string) =>
  sendRequest(world, kind, id, {deadlineMs: DEADLINE_MS});

/**
 * @returns what is wrong with an answer; undefined if nothing is. A request that
 *     a target ran needs its whole answer, as its deadline was not reached.
 */
function faultOf(world: PlatformWorld, seen: SeenAnswer): string | undefined {
  const {body, error, id, kind, status, totalMs} = seen;
  const runs = world.countRuns(id);
  const eventCount = body.split('\n\n').length - 1;
  const where = `${id} (${status}, ${eventCount} events, ${totalMs} ms)`;
  if (RUNS_ONCE.includes(kind) && runs > 1)
    return `${where}: ran ${runs} times`;
  if (error !== undefined) return `${where}: ${error}`;
  if (status !== OK) return runs > 0 ? `${where}: ran, no answer` : undefined;
  const whole = STREAMS.includes(kind)
    ? wholeStream(EVENT_COUNT)
    : `done ${id}`;
  return body === whole ? undefined : `${where}: ${JSON.stringify(body)}`;
}

async function startWorld(
  engineCount: number,
  options: WorldOptions = {},
): Promise<PlatformWorld> {
  const routes = {timeoutMs: DEADLINE_MS, ...options.routes};
  const world = await PlatformWorld.start(1, engineCount, {
    ...options,
    routes,
  });
  for (const worker of world.workers) worker.workMs = WORK_MS;
  for (const engine of world.engines) {
    engine.workMs = 0;
    engine.streamEvents = EVENT_COUNT;
    engine.eventGapMs = EVENT_GAP_MS;
  }
  return world;
}

/** Waits until targets have run this many requests for a while. */
async function untilUnderWay(
  world: PlatformWorld,
  count: number,
): Promise<void> {
  const countRuns = () => world.workers.flatMap(({runs}) => runs).length;
  await world.until(() => countRuns() >= count);
  await sleep(UNDER_WAY_MS);
}

/** Sends requests of all kinds, some of them while the targets are silent. */
async function sendAround(
  world: PlatformWorld,
  name: string,
  disturb: () => Promise<unknown> | void,
): Promise<string[]> {
  const sendAll = (when: string) =>
    KINDS.flatMap(kind => {
      const count = kind === 'resumable' ? RESUMABLE_COUNT : OTHER_COUNT;
      return Array.from({length: count}, (unusedItem, i) =>
        send(world, kind, `${name} ${when} ${kind} ${i}`),
      );
    });
  const before = sendAll('before');
  await untilUnderWay(world, before.length);
  const disturbed = disturb();
  await sleep(UNDER_WAY_MS / 2);
  const during = sendAll('during');
  const answers = await Promise.all([...before, ...during]);
  await disturbed;
  return faultsOf(world, answers);
}

function faultsOf(world: PlatformWorld, answers: SeenAnswer[]): string[] {
  return answers
    .map(seen => faultOf(world, seen))
    .filter(fault => fault !== undefined);
}

/** A deployment whose requests are answered concurrently with others. */
interface Scenario {
  title: string;
  engineCount: number;
  options?: WorldOptions;
  /** @returns what was wrong. */
  play: (world: PlatformWorld) => Promise<string[]>;
}

/** Declares one test for each scenario; their deployments run concurrently. */
function testConcurrently(scenarios: readonly Scenario[]): void {
  const worlds: PlatformWorld[] = [];
  const results = new Map<Scenario, Promise<string[]>>();

  before(async () => {
    for (const {engineCount, options} of scenarios)
      worlds.push(await startWorld(engineCount, options));
    // Until then, hosts take themselves for many that share their retries.
    await Promise.all(
      worlds.map(world => world.until(() => world.hosts[0].canOrder)),
    );
    scenarios.forEach((scenario, i) => {
      const result = scenario.play(worlds[i]);
      result.catch(() => {});
      results.set(scenario, result);
    });
  });

  after(async () => {
    for (const world of worlds.splice(0)) await world.stop();
  });

  for (const scenario of scenarios) {
    it(scenario.title, async () => {
      expect(await results.get(scenario)).to.deep.equal([]);
    });
  }
}

/** Plans a silence of each length at each place, in requests of one kind. */
async function playResponses(
  world: PlatformWorld,
  kind: Kind,
): Promise<string[]> {
  const cases = SILENCES_MS.flatMap(forMs =>
    Object.values(SILENCE_PLACE).map(place => ({forMs, place})),
  );
  const sent = cases.map(({forMs, place}) => {
    const id = `${kind}, ${forMs} ms ${place}`;
    for (const {silences} of world.workers) silences.set(id, [{place, forMs}]);
    return send(world, kind, id);
  });
  return faultsOf(world, await Promise.all(sent));
}

describe('GatewayHost and a target that is silent in one response', () => {
  testConcurrently(
    [1, 2].flatMap(engineCount =>
      KINDS.map(kind => ({
        title: `answers ${kind} requests with targets: ${engineCount}`,
        engineCount,
        play: (world: PlatformWorld) => playResponses(world, kind),
      })),
    ),
  );
});

const EXTENTS = {
  'the only target': {engineCount: 1, silentCount: 1},
  'one of two targets': {engineCount: 2, silentCount: 1},
  'both targets': {engineCount: 2, silentCount: 2},
} as const;

function silence(world: PlatformWorld, count: number, forMs: number): void {
  for (const worker of world.plain.slice(0, count)) worker.silence(forMs);
  for (const worker of world.engines.slice(0, count)) worker.silence(forMs);
}

for (const [extent, {engineCount, silentCount}] of Object.entries(EXTENTS)) {
  describe(`GatewayHost and a silence of ${extent}`, () => {
    testConcurrently([
      ...SILENCES_MS.map(forMs => ({
        title: `answers requests of all kinds after ${forMs} ms`,
        engineCount,
        play: (world: PlatformWorld) =>
          sendAround(world, `${forMs} ms`, () =>
            silence(world, silentCount, forMs),
          ),
      })),
      {
        title: 'answers requests of all kinds with repeated silences',
        engineCount,
        play: world =>
          sendAround(world, 'repeated', async () => {
            for (const forMs of [1_100, 300, 1_600]) {
              silence(world, silentCount, forMs);
              await sleep(forMs + EVENT_GAP_MS * 2);
            }
          }),
      },
    ]);
  });
}

/** Planned work during a silence. */
const PLANNED_WORK: Record<string, (world: PlatformWorld) => Promise<void>> = {
  'a configuration': async world => world.publish([TEAM_KEY]),
  'a series of configurations': async world => {
    for (let i = 0; i < 5; i++) {
      world.publish([TEAM_KEY, `key-of-${i}`]);
      await sleep(UNDER_WAY_MS);
    }
  },
  'a withdrawn key': async world => world.publish(['other-key']),
  'a planned stop': world => world.hosts[0].stop(),
  'a reload': world => world.hosts[0].reload('no-such.settings'),
};

describe('GatewayHost while its only target is silent beside planned work', () => {
  testConcurrently(
    Object.entries(PLANNED_WORK).flatMap(([name, work]) =>
      [900, 1_600].map(forMs => ({
        title: `answers requests of all kinds beside ${name} and ${forMs} ms`,
        engineCount: 1,
        play: (world: PlatformWorld) =>
          sendAround(world, name, () => {
            silence(world, 2, forMs);
            return work(world);
          }),
      })),
    ),
  );
});

describe('GatewayHost and streams beyond its retry budget', () => {
  const STREAM_COUNT = 40;

  async function playStreams(
    world: PlatformWorld,
    silentCount: number,
  ): Promise<string[]> {
    const sent = Array.from({length: STREAM_COUNT}, (unusedItem, i) =>
      send(world, 'resumable', `stream ${i}`),
    );
    await untilUnderWay(world, STREAM_COUNT);
    silence(world, silentCount, 1_300);
    return faultsOf(world, await Promise.all(sent));
  }

  testConcurrently(
    Object.entries(EXTENTS).map(([extent, {engineCount, silentCount}]) => ({
      title: `completes all of them after ${extent} fell silent`,
      engineCount,
      options: {retrySlack: 4},
      play: (world: PlatformWorld) => playStreams(world, silentCount),
    })),
  );
});

describe('GatewayHost and a target that does not go on', () => {
  const LOSS_CASES = [
    {when: 'between events', objectiveMs: 500},
    {when: 'between events', objectiveMs: 1_000},
    {when: 'before the head', objectiveMs: 500},
  ] as const;
  type LossCase = (typeof LOSS_CASES)[number];

  type Loss = (engine: PlatformWorkerStandin) => Promise<void>;

  /** Ways to lose an engine for good. */
  const losses: Record<string, Loss> = {
    ended: engine => engine.stop(),
    crashed: engine => engine.crash(),
    'without its connections': async engine => engine.loseConnections(),
  };

  async function playLoss(
    world: PlatformWorld,
    {objectiveMs, when}: LossCase,
    lose: Loss,
  ): Promise<string[]> {
    if (when === 'before the head')
      for (const engine of world.engines) engine.workMs = 1.5 * UNDER_WAY_MS;
    const kinds: Kind[] = ['resumable', 'resumable', 'resumable', 'resumable'];
    const sent = kinds.map((kind, i) => send(world, kind, `${kind} ${i}`));
    await untilUnderWay(world, sent.length);
    await lose(world.engines.find(({runs}) => runs.length > 0)!);
    const answers = await Promise.all(sent);
    const minGapMs = MIN_CALLER_GAP_MS;
    const maxGapMs = Math.max(minGapMs, CALLER_GAP_OBJECTIVES * objectiveMs);
    const late = answers
      .filter(seen => seen.maxGapMs >= maxGapMs || seen.status !== OK)
      .map(({id, maxGapMs: gapMs, status}) => `${id}: ${status}, ${gapMs} ms`);
    const targets = world.engines.filter(({runs}) => runs.length > 0);
    if (targets.length < 2) late.push('only one target was used');
    return [...faultsOf(world, answers), ...late];
  }

  /** @returns a scenario whose engines are reached through links. */
  function darkScenario(title: string, lossCase: LossCase): Scenario {
    const links = new Map<PlatformWorkerStandin, TargetLinks>();
    const prepare = async ({engines}: PlatformWorld) => {
      for (const engine of engines) {
        const link = await TargetLinks.open([engine.port]);
        links.set(engine, link);
        engine.registeredPort = link.portTo(engine.port);
      }
    };
    const routes = {resumableObjectiveMs: lossCase.objectiveMs};
    return {
      title,
      engineCount: 2,
      options: {...AMPLE_RETRIES, routes, prepare},
      play: async world => {
        const lose: Loss = engine => links.get(engine)!.cut(LINK_CUT.hang);
        const faults = await playLoss(world, lossCase, lose);
        for (const link of links.values()) await link.close();
        return faults;
      },
    };
  }

  testConcurrently(
    LOSS_CASES.flatMap(lossCase => {
      const {objectiveMs, when} = lossCase;
      const routes = {resumableObjectiveMs: objectiveMs};
      const detail = `${when}, at an objective of ${objectiveMs} ms`;
      const scenarios = Object.entries(losses).map(([name, lose]) => ({
        title: `goes on elsewhere when it is ${name} ${detail}`,
        engineCount: 2,
        options: {...AMPLE_RETRIES, routes},
        play: (world: PlatformWorld) => playLoss(world, lossCase, lose),
      }));
      const title = `goes on elsewhere when it is dark ${detail}`;
      return [...scenarios, darkScenario(title, lossCase)];
    }),
  );
});
