import {expect} from 'chai';
import fc from 'fast-check';
import {REQUEST_KIND, RouteRule} from '../../lib/gateway/deployment.js';
import {NO_SIGNALS} from '../../lib/gateway/target_signals.js';
import {CLOSE_TIME_MS} from '../../lib/net/process_watch.js';
import {Random} from '../../lib/time/random.js';
import {
  ModelPath,
  ModelPort,
  ModelProcess,
  PART_COUNT,
  PART_GAP_MS,
  STREAM_PREFIX,
  wholeAnswer,
} from './answer_end_model.js';
import {
  deploymentOf,
  routeRule,
  targetRegistration,
  teamConfig,
} from './gateway_fixtures.js';
import {FakeCaller, RelayWorld, relayWorld} from './relay_fixtures.js';

const RUNS = 300;
const TARGET_COUNT = 2;
const RETRIES = 2;
const ANSWER_MS = PART_COUNT * PART_GAP_MS;
const STEP_MS = 5;
const BACK_OFF_MS = 2_000;

/** Longer than an answer and all waits for evidence of its end. */
const MAX_SILENCE_MS = 2_500;

const MAX_OFFSET_MS = 90;

/** A target that the configuration no longer names at this address. */
const STRANGER = 'stranger';

const STREAM = REQUEST_KIND.stream;
const ROUTES: Readonly<Record<string, Partial<RouteRule>>> = {
  [`${STREAM_PREFIX}/once/`]: {kind: STREAM, maxTargets: 1},
  [`${STREAM_PREFIX}/resumable/`]: {
    kind: STREAM,
    isResumable: true,
    maxTargets: 3,
  },
  '/repeatable/': {maxTargets: 2},
  '/once/': {kind: REQUEST_KIND.once, maxTargets: 1},
};

/** What may happen to a target at a time. */
interface PlanEvent {
  atMs: number;
  target: number;
  /** How long it lasts, in milliseconds; for a silence. */
  forMs: number;
  what: string;
}

interface Plan {
  seed: number;
  calls: ReadonlyArray<{atMs: number; route: string}>;
  events: readonly PlanEvent[];
}

/** A relay before processes to which the events of a plan happen. */
class EndWorld {
  readonly world: RelayWorld;
  readonly callers: FakeCaller[] = [];
  private readonly random: Random;
  private readonly port: ModelPort;
  private evacuations = 0;

  private constructor(private readonly plan: Plan) {
    this.random = new Random(plan.seed);
    let port!: ModelPort;
    this.world = relayWorld({
      route: routeRule(),
      behaviors: [],
      retries: RETRIES,
      targetCount: 0,
      port: clock => (port = new ModelPort(clock, this.random)),
    });
    this.port = port;
    const routes = Object.entries(ROUTES).map(([pathPrefix, rule]) =>
      routeRule({name: pathPrefix, pathPrefix, ...rule}),
    );
    const teams = [teamConfig()];
    this.world.state.applyIfNewer(deploymentOf(routes, teams, 2));
    for (let i = 0; i < TARGET_COUNT; i++) this.start(`t${i}`);
  }

  /** Plays a plan to its end. */
  static async play(plan: Plan): Promise<EndWorld> {
    const world = new EndWorld(plan);
    await world.run();
    return world;
  }

  /** Callers whose answers look complete though their targets did not end them. */
  get early(): string[] {
    return this.callers
      .filter(({path, body, isEnded}) => {
        if (!isEnded) return false;
        const last = this.port.sends.filter(send => send.path === path).at(-1);
        const isOwnEnd = last?.answer.isEndedByProcess ?? false;
        return !isOwnEnd || body !== wholeAnswer(path);
      })
      .map(describeCaller);
  }

  /** Callers that have received anything but the beginning of their answers. */
  get mixed(): string[] {
    return this.callers
      .filter(({path, body}) => !wholeAnswer(path).startsWith(body))
      .map(describeCaller);
  }

  /** Callers whose requests were sent and that have no whole answer. */
  get broken(): string[] {
    return this.callers
      .filter(({refusal}) => refusal === undefined)
      .filter(({body, isEnded, path}) => !isEnded || body !== wholeAnswer(path))
      .map(describeCaller);
  }

  /** Checks the numbers of sends that reached targets. */
  checkSends(): void {
    const {callers, port} = this;
    for (const {path} of callers) {
      const sends = port.sends.filter(send => send.path === path);
      const [, {maxTargets}] = Object.entries(ROUTES).find(([prefix]) =>
        path.startsWith(prefix),
      )!;
      expect(sends.length, `sends of ${path}`).to.be.at.most(maxTargets!);
    }
    const retries = port.sends.length - callers.length;
    expect(retries, 'retries').to.be.at.most(RETRIES + callers.length);
  }

  private async run(): Promise<void> {
    const {clock, relay} = this.world;
    const {calls, events} = this.plan;
    for (const event of events)
      clock.after(event.atMs, () => this.happen(event));
    const handled = calls.map(async ({atMs, route}, i) => {
      await clock.sleep(atMs);
      const caller = new FakeCaller(clock);
      caller.id = `req-${i}`;
      caller.path = `${route}${i}`;
      this.callers.push(caller);
      await relay.handle(caller);
    });
    let isDone = false;
    const all = Promise.all(handled).finally(() => (isDone = true));
    while (!isDone) await clock.advance(STEP_MS);
    await all;
  }

  private start(id: string, path = new ModelPath()): void {
    const {clock, targets} = this.world;
    const process = new ModelProcess(id, path, clock, this.random);
    this.port.processes.set(id, process);
    targets.put(targetRegistration({id, zone: id}), true);
  }

  /** Lets another process listen at the address of one that was killed. */
  private replace(id: string, path: ModelPath, nextId: string): void {
    const {clock} = this.world;
    const next = new ModelProcess(nextId, path, clock, this.random);
    clock.after(CLOSE_TIME_MS, () => this.port.processes.set(id, next));
  }

  private happen({forMs, target, what}: PlanEvent): void {
    const {clock, evacuations, targets} = this.world;
    const id = `t${target}`;
    const known = targets.get(id)!;
    const process = this.port.processes.get(id)!;
    if (process.hasExited && PROCESS_EVENTS.has(what)) return;
    const {path} = process;
    switch (what) {
      case 'is killed':
        process.kill();
        return;
      case 'is killed and restarted':
        process.kill();
        // A restart in a silence isn't told from the earlier process.
        path.pass(() => this.replace(id, path, id));
        return;
      case 'is killed and restarted at once':
        process.kill();
        this.replace(id, path, id);
        return;
      case 'is killed and its address reused':
        process.kill();
        this.replace(id, path, STRANGER);
        return;
      case 'drains':
        process.drain(false);
        targets.recordSignals(known, {...NO_SIGNALS, isLeaving: true});
        return;
      case 'drains and exits at once':
        process.drain(true);
        targets.recordSignals(known, {...NO_SIGNALS, isLeaving: true});
        return;
      case 'backs off':
        targets.recordSignals(known, {...NO_SIGNALS, backOffMs: BACK_OFF_MS});
        return;
      case 'is evacuated':
        evacuations.set(id, true, ++this.evacuations);
        return;
      case 'is silent':
        path.silence();
        clock.after(forMs, () => path.restore());
        return;
      case 'is reached through a helper':
        this.port.tunneled.add(id);
        return;
      case 'is reached directly':
        this.port.tunneled.delete(id);
        return;
      case 'loses its helper':
        this.port.helperless.add(id);
        this.port.tunneled.delete(id);
        process.breakTunnels();
        return;
    }
  }
}

function describeCaller({body, isEnded, path}: FakeCaller): string {
  const parts = body.split(path).length - 1;
  return `${path}: ${isEnded ? 'ended' : 'cut'} after ${parts} parts`;
}

function planWith(events: readonly string[]): fc.Arbitrary<Plan> {
  const routes = Object.keys(ROUTES);
  // Events come close to each other, as the times that the watch waits are short.
  const atMs = fc
    .tuple(fc.constantFrom(0, ANSWER_MS / 2, ANSWER_MS), fc.nat(MAX_OFFSET_MS))
    .map(([baseMs, offsetMs]) => baseMs + offsetMs);
  return fc.record({
    seed: fc.nat(),
    calls: fc.array(
      fc.record({
        atMs: fc.nat(ANSWER_MS / 2),
        route: fc.constantFrom(...routes),
      }),
      {minLength: 1, maxLength: 6},
    ),
    events: fc.array(
      fc.record({
        atMs,
        forMs: fc.nat(MAX_SILENCE_MS),
        target: fc.nat(TARGET_COUNT - 1),
        what: fc.constantFrom(...events),
      }),
      {maxLength: 8},
    ),
  });
}

const KILLS = [
  'is killed',
  'is killed and restarted',
  'is killed and its address reused',
];

/** Events after which a target may not be asked anything. */
const QUIET = ['backs off', 'is evacuated'];

const ENDS = [...KILLS, 'drains', 'drains and exits at once'];
const PROCESS_EVENTS: ReadonlySet<string> = new Set(ENDS);
const SILENCE = 'is silent';
const HELPER = ['is reached through a helper', 'is reached directly'];
const HELPER_LOSS = 'loses its helper';

async function expectNoEarlyEnd(plan: Plan): Promise<void> {
  const world = await EndWorld.play(plan);
  expect(world.early).to.deep.equal([]);
  expect(world.mixed).to.deep.equal([]);
  world.checkSends();
}

describe('Relay and answers that only their connections delimit', () => {
  const ending: Readonly<Record<string, readonly string[]>> = {
    'that may not be asked': [...ENDS, ...QUIET, ...HELPER, HELPER_LOSS],
    'behind silences': [...ENDS, SILENCE, ...HELPER, HELPER_LOSS],
  };
  for (const [name, events] of Object.entries(ending)) {
    it(`ends none as complete that its target has not ended of itself (targets ${name})`, async () => {
      const property = fc.asyncProperty(planWith(events), expectNoEarlyEnd);
      await fc.assert(property, {numRuns: RUNS});
    });
  }

  it('passes them on whole if their targets go on to the end', async () => {
    const sound = planWith(['drains', 'backs off']);
    await fc.assert(
      fc.asyncProperty(sound, async plan => {
        const world = await EndWorld.play(plan);
        expect(world.broken).to.deep.equal([]);
      }),
      {numRuns: RUNS},
    );
  });

  const cases: Readonly<Record<string, Plan['events']>> = {
    'its target may not be asked and is killed before a silence': [
      {atMs: 20, forMs: 0, target: 0, what: 'is evacuated'},
      {atMs: 320, forMs: 0, target: 0, what: 'is killed'},
      {atMs: 333, forMs: 250, target: 0, what: SILENCE},
    ],
    'its target is restarted under its id in a silence': [
      {atMs: 0, forMs: 200, target: 0, what: SILENCE},
      {atMs: 130, forMs: 0, target: 0, what: 'is killed and restarted at once'},
    ],
    'the end of a killed target comes late': [
      {atMs: 320, forMs: 0, target: 0, what: 'is killed'},
      {atMs: 334, forMs: 50, target: 0, what: SILENCE},
    ],
  };
  for (const [name, events] of Object.entries(cases)) {
    it(`ends none as complete if ${name}`, async () => {
      const route = `${STREAM_PREFIX}/once/`;
      const calls = Array.from({length: 3}, () => ({atMs: 0, route}));
      const seeds = fc.asyncProperty(fc.nat(), seed =>
        expectNoEarlyEnd({seed, calls, events}),
      );
      await fc.assert(seeds, {numRuns: RUNS});
    });
  }
});
