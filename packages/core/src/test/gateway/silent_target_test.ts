import {expect} from 'chai';
import {REQUEST_KIND, RouteRule} from '../../lib/gateway/deployment.js';
import {
  BODY_END,
  NOT_RUN,
  TARGET_STATE,
} from '../../lib/gateway/target_port.js';
import {PLAIN_SERVICE, routeRule} from './gateway_fixtures.js';
import {
  FakeCaller,
  RelayWorld,
  TargetBehavior,
  answer,
  relayWorld,
  timedAnswer,
} from './relay_fixtures.js';

const TIMEOUT_MS = 12_000;
const SILENCES_MS = [300, 900, 1_100, 1_600, 3_000];

const repeatable = routeRule({timeoutMs: TIMEOUT_MS, maxTargets: 2});
const resumable = routeRule({
  kind: REQUEST_KIND.stream,
  isResumable: true,
  timeoutMs: TIMEOUT_MS,
  maxTargets: 2,
});

function event(id: number): string {
  return `id: ${id}\ndata: piece ${id}\n\n`;
}

const EVENTS = [1, 2, 3].map(event);
const WHOLE = EVENTS.join('');

/** Chunks of {@link WHOLE} with the index before which the target is silent. */
const SILENT_BEFORE: ReadonlyArray<{chunks: string[]; at: number}> = [
  {chunks: EVENTS, at: 0},
  {chunks: EVENTS, at: 1},
  {chunks: EVENTS, at: 2},
  {
    chunks: [EVENTS[0], EVENTS[1].slice(0, 8), EVENTS[1].slice(8), EVENTS[2]],
    at: 2,
  },
];

/** Sends chunks and is silent before one of them, unless it is cancelled. */
function silentBefore(
  {chunks, at}: {chunks: string[]; at: number},
  silenceMs: number,
): TargetBehavior {
  return timedAnswer(
    chunks.map((chunk, i) => [i === at ? silenceMs : 0, chunk] as const),
  );
}

/** Sends nothing for a time, and a whole answer then, unless it is cancelled. */
function silentBeforeHead(silenceMs: number): TargetBehavior {
  return async (options, clock) => {
    await clock.sleep(silenceMs, options.signal);
    if (options.signal.aborted) return {type: 'lost', reason: 'cancelled'};
    return answer(200, ['ok']);
  };
}

async function serve(
  route: RouteRule,
  behaviors: TargetBehavior[],
  options: {retries?: number; targetCount?: number} = {},
): Promise<{world: RelayWorld; caller: FakeCaller}> {
  const world = relayWorld({route, behaviors, ...options});
  const caller = new FakeCaller(world.clock);
  await world.run(caller);
  return {world, caller};
}

describe('Relay: a sound target that falls silent and goes on', () => {
  it('does not cut a stream when the retry budget is used up', async () => {
    for (const place of SILENT_BEFORE) {
      for (const silenceMs of SILENCES_MS) {
        const plays = [silentBefore(place, silenceMs)];
        const {caller} = await serve(resumable, plays, {retries: 0});
        expect(caller.isAborted, `${silenceMs} ms`).to.equal(false);
        expect(caller.body).to.equal(WHOLE);
        expect(caller.isEnded).to.equal(true);
      }
    }
  });

  it('does not cut a stream that no other target can take', async () => {
    for (const place of SILENT_BEFORE) {
      const plays = [silentBefore(place, 3_000)];
      const {caller} = await serve(resumable, plays, {targetCount: 1});
      expect(caller.body).to.equal(WHOLE);
      expect(caller.isEnded).to.equal(true);
    }
  });

  it('does not cut a stream on the last target that it may run on', async () => {
    const broken = () => answer(200, [EVENTS[0]], BODY_END.broken);
    const rest = {chunks: EVENTS.slice(1), at: 1};
    const plays = [broken, silentBefore(rest, 1_600)];
    const {caller} = await serve(resumable, plays);
    expect(caller.body).to.equal(WHOLE);
    expect(caller.isEnded).to.equal(true);
  });

  it('spends no retry on a stream', async () => {
    const plays = [silentBefore(SILENT_BEFORE[1], 1_600)];
    const {world, caller} = await serve(resumable, plays, {retries: 1});
    expect(caller.body).to.equal(WHOLE);
    expect(world.port.sent).to.have.lengthOf(1);
    expect(world.retries.tryRetry(PLAIN_SERVICE)).to.equal(true);
  });

  it('does not fail a request before the head without a replacement', async () => {
    for (const silenceMs of SILENCES_MS) {
      const plays = [silentBeforeHead(silenceMs)];
      for (const options of [{retries: 0}, {targetCount: 1}]) {
        const {caller} = await serve(repeatable, plays, options);
        expect(caller.body, `${silenceMs} ms`).to.equal('ok');
      }
    }
  });

  it('does not fail a request on the last target that it may run on', async () => {
    const plays = [silentBeforeHead(3_000), silentBeforeHead(3_000)];
    const {caller} = await serve(repeatable, plays);
    expect(caller.body).to.equal('ok');
  });
});

describe('Relay: a silent target that will not go on', () => {
  /** Gap between events after which callers disconnect, in milliseconds. */
  const CALLER_GAP_MS = 2_000;
  const neverOn = silentBefore(SILENT_BEFORE[1], TIMEOUT_MS);
  const rest: TargetBehavior = () => answer(200, EVENTS.slice(1));

  for (const [state, endedBy] of [
    [TARGET_STATE.ended, 'target-ended'],
    [TARGET_STATE.unreachable, 'target-unreachable'],
    [TARGET_STATE.responsive, 'stall'],
  ] as const) {
    it(`is left for another one in time when it is ${state}`, async () => {
      const world = relayWorld({route: resumable, behaviors: [neverOn, rest]});
      world.port.state = state;
      const caller = new FakeCaller(world.clock);
      await world.run(caller);
      expect(caller.body).to.equal(WHOLE);
      expect(world.clock.now()).to.be.below(CALLER_GAP_MS);
      expect(world.observer.ends[0].endedBy).to.equal(endedBy);
      expect(world.observer.stalls[0].state).to.equal(state);
    });
  }

  it('does not end the answer when other targets refuse to continue it', async () => {
    const refuse: TargetBehavior = () => ({
      type: 'not-run',
      reason: NOT_RUN.refused,
    });
    const behaviors = [neverOn, refuse, refuse, rest];
    const world = relayWorld({route: resumable, behaviors, retries: 1});
    world.port.state = TARGET_STATE.unreachable;
    const caller = new FakeCaller(world.clock);
    // Other requests refill the budget.
    const refill = () => world.retries.countRequest(PLAIN_SERVICE);
    for (const ms of [2_500, 3_000, 3_500]) world.clock.after(ms, refill);
    await world.run(caller);
    expect(caller.body).to.equal(WHOLE);
    expect(caller.isEnded).to.equal(true);
  });
});

describe('Relay: a stopping host', () => {
  it('continues a stream elsewhere whose target breaks it off', async () => {
    const breaksOff: TargetBehavior = async (options, clock) => {
      await clock.sleep(500);
      return answer(200, [EVENTS[0]], BODY_END.broken);
    };
    const refuse: TargetBehavior = () => ({
      type: 'not-run',
      reason: NOT_RUN.refused,
    });
    const rest: TargetBehavior = () => answer(200, EVENTS.slice(1));
    const behaviors = [breaksOff, refuse, rest];
    const world = relayWorld({route: resumable, behaviors});
    const caller = new FakeCaller(world.clock);
    world.clock.after(100, () => world.relay.refuseWaiting());
    await world.run(caller);
    expect(caller.body).to.equal(WHOLE);
    expect(caller.isEnded).to.equal(true);
  });
});
