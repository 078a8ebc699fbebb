import {expect} from 'chai';
import {FRAMING} from '../../lib/gateway/answer_framing.js';
import {REQUEST_KIND} from '../../lib/gateway/deployment.js';
import {BODY_END, NOT_RUN, SendResult} from '../../lib/gateway/target_port.js';
import {ModelSearch} from '../../lib/gateway/model_finder.js';
import {NO_SIGNALS} from '../../lib/gateway/target_signals.js';
import {digestParts} from '../../lib/quarantine/part_digest.js';
import {FAILURE, REFUSAL} from '../../lib/requests/outcome.js';
import {
  ENGINE_SERVICE,
  PLAIN_SERVICE,
  deploymentOf,
  routeRule,
  targetRegistration,
  teamConfig,
} from './gateway_fixtures.js';
import {
  FakeCaller,
  NoLoans,
  OneTarget,
  TargetBehavior,
  RelayWorld,
  answer,
  relayWorld,
  timedAnswer,
} from './relay_fixtures.js';

const once = routeRule({kind: REQUEST_KIND.once, maxTargets: 1});
const repeatable = routeRule({maxTargets: 2});
const resumable = routeRule({kind: REQUEST_KIND.stream, isResumable: true});
const stream = routeRule({kind: REQUEST_KIND.stream, maxTargets: 1});

const lost: SendResult = {type: 'lost', reason: 'reset'};

function notRun(reason: keyof typeof NOT_RUN): TargetBehavior {
  return () => ({type: 'not-run', reason: NOT_RUN[reason]});
}

/** Sends no answer until the request is cancelled. */
const silent: TargetBehavior = options =>
  new Promise(resolve => {
    const end = () => resolve({type: 'lost', reason: 'cancelled'});
    options.signal.addEventListener('abort', end);
  });

async function serve(world: RelayWorld): Promise<FakeCaller> {
  const caller = new FakeCaller(world.clock);
  await world.run(caller);
  return caller;
}

function event(id: number): string {
  return `id: ${id}\ndata: piece ${id}\n\n`;
}

/** Lets only the end of the connection delimit an answer. */
function unframed(sent: SendResult): SendResult {
  if (sent.type !== 'answered') throw new Error('no answer');
  const head = {...sent.answer.head, framing: FRAMING.close};
  return {...sent, answer: {...sent.answer, head}};
}

describe('Relay: admission', () => {
  it('refuses for an outdated configuration, not for an unknown route', async () => {
    const world = relayWorld({route: once, behaviors: []});
    await world.clock.advance(5_000);
    const caller = await serve(world);
    expect(caller.refusal?.reason).to.equal(REFUSAL.configTooOld);
    expect(world.port.sent).to.have.lengthOf(0);
  });

  it('refuses a key that belongs to no team', async () => {
    const world = relayWorld({route: once, behaviors: []});
    const caller = new FakeCaller(world.clock);
    caller.key = 'stranger';
    await world.run(caller);
    expect(caller.refusal?.reason).to.equal(REFUSAL.unauthenticated);
  });

  it('does not send a waiting request whose key was withdrawn', async () => {
    const world = relayWorld({route: once, behaviors: [], targetCount: 0});
    const caller = new FakeCaller(world.clock);
    const handled = world.relay.handle(caller);
    await world.clock.advance(20);
    const without = [teamConfig({keys: ['other']})];
    world.state.applyIfNewer(deploymentOf([once], without, 2));
    world.targets.put(targetRegistration(), true);
    await world.clock.advance(200);
    await handled;
    expect(caller.refusal?.reason).to.equal(REFUSAL.unauthenticated);
    expect(world.port.sent).to.have.lengthOf(0);
  });
});

describe('Relay: retries and "not run"', () => {
  it('sends an at-most-once request only once and does not claim it has not run', async () => {
    const world = relayWorld({route: once, behaviors: [() => lost]});
    const caller = await serve(world);
    expect(world.port.sent).to.have.lengthOf(1);
    expect(caller.refusal).to.equal(undefined);
    expect(caller.failure?.type).to.equal('failed');
  });

  it('sends it to another target after one has refused it', async () => {
    const plays = [notRun('refused'), () => answer(200, ['ok'])];
    const world = relayWorld({route: once, behaviors: plays});
    const caller = await serve(world);
    expect(caller.body).to.equal('ok');
    expect(new Set(world.port.sent.map(({target}) => target)).size).to.equal(2);
  });

  it('refuses a request as not run if every target has refused it', async () => {
    const plays = Array.from({length: 20}, () => notRun('refused'));
    const world = relayWorld({route: once, behaviors: plays});
    const caller = await serve(world);
    expect(caller.refusal?.reason).to.equal(REFUSAL.noCapacity);
    expect(caller.refusal?.retryAfterMs).to.be.above(0);
  });

  it('ranks short objectives before long ones of the same priority', async () => {
    const urgencies: number[] = [];
    for (const objectiveMs of [400, 2_500]) {
      for (const priority of [0, 1]) {
        const kind = REQUEST_KIND.stream;
        const route = routeRule({kind, maxTargets: 1, objectiveMs, priority});
        const world = relayWorld({route, behaviors: [() => lost]});
        await serve(world);
        urgencies.push(world.port.sent[0].options.urgency);
      }
    }
    const [draft, lesserDraft, appeal, lesserAppeal] = urgencies;
    expect(draft).to.be.below(appeal);
    expect(appeal).to.be.below(lesserDraft);
    expect(lesserDraft).to.be.below(lesserAppeal);
  });

  it('lets a request that did not run wait for the retry budget', async () => {
    const plays = [
      ...Array.from({length: 3}, () => notRun('refused')),
      () => answer(200, ['ok']),
    ];
    const world = relayWorld({route: once, behaviors: plays, retries: 1});
    const caller = new FakeCaller(world.clock);
    // Other requests refill the budget.
    const refill = () => world.retries.countRequest(PLAIN_SERVICE);
    for (const ms of [250, 500, 750]) world.clock.after(ms, refill);
    await world.run(caller);
    expect(caller.body).to.equal('ok');
    expect(world.clock.now()).to.be.below(once.objectiveMs * 4);
  });

  it('fails with "may have run" if the deadline passes while a target works', async () => {
    const world = relayWorld({route: once, behaviors: [silent]});
    const caller = await serve(world);
    expect(caller.refusal).to.equal(undefined);
    const {failure} = caller;
    expect(failure?.type === 'failed' && failure.reason).to.equal(
      FAILURE.deadline,
    );
    expect(world.clock.now()).to.be.at.most(once.timeoutMs + 100);
  });

  it('retries a repeatable request at another target', async () => {
    const plays = [() => lost, () => answer(200, ['ok'])];
    const world = relayWorld({route: repeatable, behaviors: plays});
    const caller = await serve(world);
    expect(caller.body).to.equal('ok');
    expect(world.port.sent.map(({target}) => target)).to.deep.equal([
      world.port.sent[0].target,
      world.port.sent[0].target === 't1' ? 't2' : 't1',
    ]);
  });

  it('switches from a target that does not answer to another in time', async () => {
    const plays = [silent, () => answer(200, ['ok'])];
    const world = relayWorld({route: repeatable, behaviors: plays});
    const caller = await serve(world);
    expect(caller.body).to.equal('ok');
    expect(world.clock.now()).to.be.below(repeatable.timeoutMs);
  });

  it('runs on no more targets than the route allows', async () => {
    const plays = Array.from({length: 9}, () => () => answer(500, ['no']));
    const world = relayWorld({
      route: repeatable,
      behaviors: plays,
      targetCount: 5,
    });
    const caller = await serve(world);
    expect(world.port.sent).to.have.lengthOf(2);
    expect(caller.head?.status).to.equal(500);
  });

  it('cancels the request of a caller that has disconnected', async () => {
    const world = relayWorld({route: once, behaviors: [silent]});
    const caller = new FakeCaller(world.clock);
    const handled = world.relay.handle(caller);
    await world.clock.advance(100);
    caller.disconnect.abort();
    await world.clock.advance(10);
    await handled;
    expect(world.port.sent[0].options.signal.aborted).to.equal(true);
    expect(world.observer.traces[0].outcome.type).to.equal('cancelled');
  });
});

describe('Relay: signals of targets', () => {
  const backingOff =
    (backOffMs: number): TargetBehavior =>
    () => ({
      type: 'not-run',
      reason: NOT_RUN.refused,
      signals: {...NO_SIGNALS, backOffMs},
    });

  it('retries elsewhere at once and does not use a target that is backing off', async () => {
    const plays = [
      backingOff(2_000),
      ...Array.from({length: 9}, () => () => answer(200, ['ok'])),
    ];
    const world = relayWorld({route: once, behaviors: plays});
    const caller = await serve(world);
    expect(caller.body).to.equal('ok');
    expect(world.clock.now()).to.be.below(20);
    for (let i = 0; i < 8; i++) await serve(world);
    const [full, ...later] = world.port.sent.map(({target}) => target);
    expect(later).to.have.lengthOf(9);
    expect(later).to.not.include(full);
  });

  it('refuses at once with the shortest time if all targets are backing off', async () => {
    const plays = [backingOff(2_000), backingOff(700)];
    const world = relayWorld({route: once, behaviors: plays});
    const caller = await serve(world);
    expect(world.clock.now()).to.be.below(20);
    expect(caller.refusal?.reason).to.equal(REFUSAL.noCapacity);
    expect(caller.refusal?.retryAfterMs).to.equal(700);
    await serve(world);
    expect(world.port.sent).to.have.lengthOf(2);
  });

  it('sends no more requests to a target whose answer signals that it is leaving', async () => {
    const signals = {...NO_SIGNALS, isLeaving: true};
    const plays = [
      () => answer(200, ['last'], BODY_END.complete, signals),
      ...Array.from({length: 9}, () => () => answer(200, ['ok'])),
    ];
    const world = relayWorld({route: once, behaviors: plays});
    for (let i = 0; i < 9; i++) await serve(world);
    const [left, ...later] = world.port.sent.map(({target}) => target);
    expect(later).to.have.lengthOf(8);
    expect(later).to.not.include(left);
  });

  it('cancels a send while its connection is being established', async () => {
    const world = relayWorld({
      route: once,
      behaviors: [
        ({canStillSend: mayLeave}) => {
          const [target] = world.targets.ofService(PLAIN_SERVICE);
          expect(mayLeave()).to.equal(true);
          for (const each of world.targets.all()) {
            world.targets.recordSignals(each, {
              ...NO_SIGNALS,
              isLeaving: true,
              backOffMs: 1,
            });
          }
          expect(target.isOpen).to.equal(false);
          expect(mayLeave()).to.equal(false);
          return {type: 'not-run', reason: NOT_RUN.withdrawn};
        },
      ],
    });
    const caller = await serve(world);
    expect(caller.refusal?.reason).to.equal(REFUSAL.noCapacity);
    const [first] = world.targets.all();
    expect(first.health.isAvoided).to.equal(false);
  });
});

describe('Relay: progress of streams', () => {
  /** Sends a chunk at each interval until the answer is discarded. */
  const paced = (chunks: string[], intervalMs: number): TargetBehavior =>
    timedAnswer(chunks.map(chunk => [intervalMs, chunk] as const));

  it('abandons a stream that sends bytes but no whole events', async () => {
    for (const fragment of ['x', ': alive\n\n']) {
      const fragments = Array.from({length: 100}, () => fragment);
      const plays = [
        paced([event(1), ...fragments], 200),
        () => answer(200, [event(2)]),
      ];
      const world = relayWorld({route: resumable, behaviors: plays});
      const caller = await serve(world);
      expect(world.clock.now()).to.be.below(1_600);
      expect(world.port.sent[1].options.lastEventId).to.equal('1');
      expect(caller.body).to.contain(event(2));
    }
  });

  it('abandons a stream whose event never ends', async () => {
    const endlessEvent = Array.from({length: 100}, () =>
      'x'.repeat(64 * 1_024),
    );
    const plays = [
      paced([event(1), ...endlessEvent], 1),
      () => answer(200, [event(2)]),
    ];
    const world = relayWorld({route: resumable, behaviors: plays});
    const caller = await serve(world);
    expect(caller.body).to.equal(event(1) + event(2));
    expect(world.clock.now()).to.be.below(100);
  });

  it('reports whether the target, the host or the caller ended a cut answer', async () => {
    const resets = () => answer(200, [event(1)], BODY_END.broken);
    const ends: Array<[TargetBehavior, string]> = [
      [resets, 'target'],
      [paced([event(1), event(2)], 700), 'deadline'],
    ];
    for (const [behavior, endedBy] of ends) {
      const world = relayWorld({route: stream, behaviors: [behavior]});
      const caller = new FakeCaller(world.clock);
      caller.timeoutMs = 1_000;
      await world.run(caller);
      const [trace] = world.observer.traces;
      expect(trace.answer).to.equal('cut');
      expect(trace.endedBy).to.equal(endedBy);
    }
    const world = relayWorld({route: stream, behaviors: [silent]});
    const caller = new FakeCaller(world.clock);
    world.clock.after(100, () => caller.disconnect.abort());
    await world.run(caller);
    expect(world.observer.traces[0].answer).to.equal('none');
    expect(world.observer.traces[0].endedBy).to.equal('caller');
  });

  it("tells that this host closed the caller's connection", async () => {
    for (const endedBy of ['host', 'earlier-answer']) {
      const world = relayWorld({route: once, behaviors: [silent]});
      const caller = new FakeCaller(world.clock);
      world.clock.after(100, () => caller.disconnect.abort(endedBy));
      await world.run(caller);
      expect(world.observer.traces[0].answer).to.equal('none');
      expect(world.observer.traces[0].endedBy).to.equal(endedBy);
    }
  });

  it('continues a slow stream within the latency objective', async () => {
    const slow = routeRule({
      kind: REQUEST_KIND.stream,
      isResumable: true,
      objectiveMs: 2_500,
      timeoutMs: 25_000,
    });
    const plays = [paced([1, 2, 3].map(event), 1_800)];
    const world = relayWorld({route: slow, behaviors: plays});
    const caller = await serve(world);
    expect(caller.isEnded).to.equal(true);
    expect(world.port.sent).to.have.lengthOf(1);
  });
});

describe('Relay: answers', () => {
  it('relays no part of a plain answer that broke off', async () => {
    const plays = [() => answer(200, ['half'], BODY_END.broken)];
    const world = relayWorld({route: once, behaviors: plays});
    const caller = await serve(world);
    expect(caller.head).to.equal(undefined);
    expect(caller.failure?.type).to.equal('failed');
  });

  it('does not continue a plain answer with the answer to another send', async () => {
    const start = 'x'.repeat(300 * 1_024);
    const plays: TargetBehavior[] = [
      () => answer(200, [start], BODY_END.broken),
      () => answer(200, ['y']),
    ];
    const world = relayWorld({route: repeatable, behaviors: plays});
    const caller = await serve(world);
    expect(caller.body).to.equal(start);
    expect(caller.isEnded).to.equal(false);
    expect(caller.isAborted).to.equal(true);
    expect(world.port.sent).to.have.lengthOf(1);
  });

  it('does not end a stream that began in chunks because the connection of its next target ended', async () => {
    const plays: TargetBehavior[] = [
      () => answer(200, [event(1)], BODY_END.broken),
      () => unframed(answer(200, [event(2)])),
    ];
    const world = relayWorld({route: resumable, behaviors: plays});
    const caller = await serve(world);
    expect(caller.body).to.equal(event(1) + event(2));
    expect(caller.isEnded).to.equal(false);
    expect(caller.isAborted).to.equal(true);
  });

  describe('whose target gave no length and whose connection ended', () => {
    /** Ends the process of the target with its connection. */
    function endsWith(chunks: string[]): TargetBehavior {
      return () => {
        world.port.ended.add(world.port.sent.at(-1)!.target);
        return unframed(answer(200, chunks));
      };
    }

    let world: RelayWorld;

    // The operating system closes the connections of a crashed process in order.
    it('does not take the end of a process for the end of a plain answer', async () => {
      world = relayWorld({route: once, behaviors: [endsWith(['part'])]});
      const caller = await serve(world);
      expect(caller.head).to.equal(undefined);
      expect(caller.failure?.type).to.equal('failed');
    });

    it('finds the end of a process that closes its listener last', async () => {
      const ending: TargetBehavior = () => {
        world.port.ending.add(world.port.sent.at(-1)!.target);
        return unframed(answer(200, ['part']));
      };
      world = relayWorld({route: once, behaviors: [ending]});
      const caller = await serve(world);
      expect(caller.head).to.equal(undefined);
      expect(caller.failure?.type).to.equal('failed');
    });

    it('sends a repeatable request again if its process ended', async () => {
      const behaviors = [endsWith(['part']), () => answer(200, ['whole'])];
      world = relayWorld({route: repeatable, behaviors});
      expect((await serve(world)).body).to.equal('whole');
    });

    it('goes on with a stream elsewhere if its process ended', async () => {
      const behaviors = [endsWith([event(1)]), () => answer(200, [event(2)])];
      world = relayWorld({route: resumable, behaviors});
      const caller = await serve(world);
      expect(caller.body).to.equal(event(1) + event(2));
      expect(caller.isEnded).to.equal(true);
    });

    it('takes it for whole if its process outlives it, and not if a leaving one ends', async () => {
      for (const [isLeaving, hasEnded] of [
        [false, false],
        [true, false],
        [true, true],
      ]) {
        const behaviors = hasEnded
          ? [endsWith(['whole'])]
          : [() => unframed(answer(200, ['whole']))];
        world = relayWorld({route: once, behaviors, targetCount: 1});
        const [sent] = behaviors;
        behaviors[0] = (options, clock) => {
          const registration = targetRegistration({id: 't1', zone: 'a'});
          world.targets.put({...registration, isLeaving}, true);
          return sent(options, clock);
        };
        const caller = await serve(world);
        expect(caller.isEnded).to.equal(!hasEnded);
        if (hasEnded) expect(caller.failure?.type).to.equal('failed');
        else expect(caller.body).to.equal('whole');
      }
    });

    it('does not avoid a target whose process it could not watch', async () => {
      const unknown: TargetBehavior = () => {
        world.port.unwatched.add(world.port.sent.at(-1)!.target);
        return unframed(answer(200, ['part']));
      };
      world = relayWorld({route: once, behaviors: [unknown]});
      await serve(world);
      for (const {health} of world.targets.all())
        expect(health.isAvoided).to.equal(false);
    });

    for (const route of [once, repeatable, resumable]) {
      it(`does not take it for whole if nothing shows that (${route.kind})`, async () => {
        const isStream = route.kind === REQUEST_KIND.stream;
        const part = isStream ? event(1) : 'part';
        const rest = isStream ? event(2) : 'whole';
        const unknown: TargetBehavior = () => {
          world.port.unwatched.add(world.port.sent.at(-1)!.target);
          return unframed(answer(200, [part]));
        };
        const behaviors = [unknown, () => answer(200, [rest])];
        world = relayWorld({route, behaviors});
        const caller = await serve(world);
        const expected = isStream ? part + rest : rest;
        expect(caller.isEnded).to.equal(route !== once);
        if (route !== once) expect(caller.body).to.equal(expected);
      });
    }
  });

  // The caller was cut off again and again once it had all events.
  it('does not break off an empty rest of a stream because only its connection ended', async () => {
    const plays: TargetBehavior[] = [() => unframed(answer(200, []))];
    const world = relayWorld({route: resumable, behaviors: plays});
    const caller = new FakeCaller(world.clock);
    caller.lastEventId = '16';
    caller.resumedId = 'req-0';
    await world.run(caller);
    expect(caller.isEnded).to.equal(true);
  });

  it('does not continue an answer that is no event stream with events', async () => {
    const plays: TargetBehavior[] = [
      () => answer(400, ['{"error":'], BODY_END.broken),
      () => answer(200, [event(1)]),
    ];
    const world = relayWorld({route: resumable, behaviors: plays});
    const caller = await serve(world);
    expect(caller.body).to.not.include(event(1));
    expect(caller.isEnded).to.equal(false);
    expect(world.port.sent).to.have.lengthOf(1);
  });

  it('does not continue a stream with an answer that is no event stream', async () => {
    const plays: TargetBehavior[] = [
      () => answer(200, [event(1)], BODY_END.broken),
      () => answer(200, ['{}']),
    ];
    const world = relayWorld({route: resumable, behaviors: plays});
    const caller = await serve(world);
    expect(caller.body).to.equal(event(1));
    expect(caller.isEnded).to.equal(false);
  });

  it('does not pass on events without an id again when another target goes on', async () => {
    const bare = (text: string) => `data: ${text}\n\n`;
    const plays: TargetBehavior[] = [
      () => answer(200, [event(1), bare('a')], BODY_END.broken),
      () => answer(200, [bare('a'), event(2)]),
    ];
    const world = relayWorld({route: resumable, behaviors: plays});
    const caller = await serve(world);
    expect(caller.body.split(bare('a'))).to.have.lengthOf(2);
  });

  it('does not pass on events again that the next target repeats', async () => {
    const plays: TargetBehavior[] = [
      () => answer(200, [event(1), event(2)], BODY_END.broken),
      () => answer(200, [event(1), event(2), event(3)]),
    ];
    const world = relayWorld({route: resumable, behaviors: plays});
    const caller = await serve(world);
    const sound = event(1) + event(2);
    expect(caller.body).to.be.oneOf([sound, sound + event(3)]);
  });

  it('counts the send that brought only the head of an answer', async () => {
    const plays: TargetBehavior[] = [
      () => answer(200, [], BODY_END.broken),
      () => answer(200, [event(1)]),
    ];
    const world = relayWorld({route: resumable, behaviors: plays});
    const caller = await serve(world);
    expect(caller.isEnded).to.equal(true);
    expect(world.observer.traces[0].answerSends).to.equal(2);
  });

  it('aborts a broken stream that is not resumable', async () => {
    const plays = [() => answer(200, [event(1)], BODY_END.broken)];
    const world = relayWorld({route: stream, behaviors: plays});
    const caller = await serve(world);
    expect(caller.isAborted).to.equal(true);
    expect(caller.isEnded).to.equal(false);
    expect(world.port.sent).to.have.lengthOf(1);
  });

  it('resumes after the last whole event at another target', async () => {
    const half = event(3).slice(0, 7);
    const plays: TargetBehavior[] = [
      () => answer(200, [event(1), event(2) + half], BODY_END.broken),
      () => answer(200, [event(3), event(4)]),
    ];
    const world = relayWorld({route: resumable, behaviors: plays});
    const caller = await serve(world);
    expect(caller.body).to.equal([1, 2, 3, 4].map(event).join(''));
    expect(caller.isEnded).to.equal(true);
    expect(world.port.sent[1].options.lastEventId).to.equal('2');
  });

  it('resumes a stream whose connection ended inside an event', async () => {
    const plays: TargetBehavior[] = [
      () => answer(200, [event(1), event(2).slice(0, 9)]),
      () => answer(200, [event(2)]),
    ];
    const world = relayWorld({route: resumable, behaviors: plays});
    const caller = await serve(world);
    expect(caller.body).to.equal(event(1) + event(2));
    expect(caller.isEnded).to.equal(true);
    expect(world.port.sent[1].options.lastEventId).to.equal('1');
  });

  it('does not end a stream that broke off inside an event as complete', async () => {
    const cut = event(2).slice(0, -1);
    const plays = [() => answer(200, [event(1), cut])];
    const world = relayWorld({route: stream, behaviors: plays});
    const caller = await serve(world);
    expect(caller.isAborted).to.equal(true);
    expect(caller.isEnded).to.equal(false);
  });

  it('relays an error of a stream route that is no event stream', async () => {
    const plays = [() => answer(400, ['{"error":"no"}'])];
    const world = relayWorld({route: stream, behaviors: plays});
    const caller = await serve(world);
    expect(caller.body).to.equal('{"error":"no"}');
    expect(caller.isEnded).to.equal(true);
  });

  it('aborts a stream whose continuation is answered with an error', async () => {
    const plays: TargetBehavior[] = [
      () => answer(200, [event(1)], BODY_END.broken),
      () => answer(400, ['no']),
    ];
    const world = relayWorld({route: resumable, behaviors: plays});
    const caller = await serve(world);
    expect(caller.body).to.equal(event(1));
    expect(caller.isAborted).to.equal(true);
  });
});

describe('Relay: models', () => {
  const route = routeRule({
    kind: REQUEST_KIND.stream,
    shares: [{service: ENGINE_SERVICE, weight: 1}],
  });

  it('refuses a request whose model is not loaded in time', async () => {
    const world = relayWorld({route, behaviors: []});
    const caller = new FakeCaller(world.clock);
    caller.demand = {model: 'm1', adapter: undefined};
    await world.run(caller);
    expect(caller.refusal?.type).to.equal('refused');
    expect(world.port.sent).to.have.lengthOf(0);
  });

  it('refuses a model that the configuration does not have at once', async () => {
    const world = relayWorld({route, behaviors: []});
    const caller = new FakeCaller(world.clock);
    caller.demand = {model: 'unknown', adapter: undefined};
    const startMs = world.clock.now();
    await world.run(caller);
    expect(caller.refusal?.reason).to.equal(REFUSAL.noCapacity);
    expect(world.clock.now() - startMs).to.be.below(50);
  });

  it('reports targets that lack the model or refuse the request to the finder', async () => {
    let finder: OneTarget | undefined;
    const world = relayWorld({
      route,
      behaviors: [
        notRun('modelAbsent'),
        notRun('refused'),
        () => answer(200, [event(1)]),
      ],
      models: (clock, targets) =>
        (finder = new OneTarget(clock, () => targets.get('t1')!)),
    });
    const caller = new FakeCaller(world.clock);
    caller.demand = {model: 'm1', adapter: undefined};
    await world.run(caller);
    expect(finder?.notRun).to.deep.equal([
      NOT_RUN.modelAbsent,
      NOT_RUN.refused,
    ]);
    expect(caller.isEnded).to.equal(true);
  });
});

describe('Relay: graceful shutdown', () => {
  it('refuses waiting and new requests and lets running ones continue', async () => {
    const world = relayWorld({route: once, behaviors: [silent]});
    const running = new FakeCaller(world.clock);
    void world.relay.handle(running);
    await world.clock.advance(20);
    world.relay.refuseWaiting();
    const late = await serve(world);
    expect(late.refusal?.reason).to.equal(REFUSAL.stopping);
    expect(world.port.sent).to.have.lengthOf(1);
    expect(world.port.sent[0].options.signal.aborted).to.equal(false);
    world.relay.abortAll();
    await world.clock.advance(20);
    expect(running.failure?.type).to.equal('failed');
  });
});

describe('Relay: a request that waits for tokens of its team', () => {
  /** Has a request wait for about a second, at a host without a lender. */
  async function waitForTokens() {
    const world = relayWorld({
      route: once,
      behaviors: [() => answer(200, ['x'])],
      loans: new NoLoans(),
    });
    const team = teamConfig({tokensPerSecond: 100, burstTokens: 100});
    world.state.applyIfNewer(deploymentOf([once], [team], 2));
    const caller = new FakeCaller(world.clock);
    const handled = world.relay.handle(caller);
    await world.clock.advance(0);
    await world.clock.advance(500);
    return {world, caller, handled};
  }

  it('is refused as not run when its host stops', async () => {
    const {world, caller, handled} = await waitForTokens();
    expect(caller.refusal).to.equal(undefined);
    world.relay.refuseWaiting();
    await handled;
    expect(caller.refusal?.reason).to.equal(REFUSAL.stopping);
    expect(world.port.sent).to.eql([]);
  });

  it('no longer waits when its caller has left', async () => {
    const {world, caller, handled} = await waitForTokens();
    caller.disconnect.abort();
    await handled;
    expect(world.observer.traces[0].outcome.type).to.equal('cancelled');
    expect(world.port.sent).to.eql([]);
  });

  it('is served once it is its turn', async () => {
    const {world, caller, handled} = await waitForTokens();
    await world.clock.advance(600);
    await handled;
    expect(caller.isEnded).to.equal(true);
  });
});

describe('Relay: reports', () => {
  it('reports how far a broken answer had come and its prompt parts', async () => {
    const plays = [() => answer(200, [event(1)], BODY_END.broken)];
    const world = relayWorld({route: stream, behaviors: plays});
    const caller = new FakeCaller(world.clock);
    caller.sharedParts = ['5c1e07a2'];
    await world.run(caller);
    const [end] = world.observer.ends;
    expect(end.receivedBytes).to.equal(event(1).length);
    expect(end.parts).to.have.lengthOf(2);
    expect(end.parts[0]).to.match(/^[0-9a-f]{16}$/);
    expect(end.parts[1]).to.match(/^req-[0-9a-f]{16}$/);
  });
});

describe('Relay: requests that crash targets', () => {
  const route = routeRule({
    kind: REQUEST_KIND.stream,
    isResumable: true,
    maxTargets: 5,
  });

  /** Ends the process of the target after the head of an answer. */
  function crash(world: () => RelayWorld): TargetBehavior {
    return () => {
      const {port} = world();
      port.ended.add(port.sent.at(-1)!.target);
      return answer(200, [], BODY_END.broken);
    };
  }

  function callerWith(world: RelayWorld, ...parts: string[]): FakeCaller {
    const caller = new FakeCaller(world.clock);
    caller.sharedParts = parts;
    return caller;
  }

  it('suspects a request whose target ended with an answer that only its connection ends', async () => {
    const ending: TargetBehavior = () => {
      const sent = answer(200, []);
      if (sent.type !== 'answered') throw new Error('no answer');
      const head = {status: 200, isEventStream: false, framing: FRAMING.close};
      world.port.ended.add(world.port.sent.at(-1)!.target);
      return {...sent, answer: {...sent.answer, head}};
    };
    const world: RelayWorld = relayWorld({
      route: repeatable,
      behaviors: [ending],
    });
    await world.run(new FakeCaller(world.clock));
    await world.clock.advance(1_000);
    const [state] = world.ledger.states();
    expect(state.part).to.match(/^req-/);
    expect(world.ledger.standingOf(state.part)).to.equal('suspect');
  });

  it('continues a stream that ends with its connection before the first event', async () => {
    const empty: TargetBehavior = () => {
      const sent = answer(200, []);
      if (sent.type !== 'answered') throw new Error('no answer');
      const head = {status: 200, isEventStream: true, framing: FRAMING.close};
      return {...sent, answer: {...sent.answer, head}};
    };
    const plays = [empty, () => answer(200, [event(1)])];
    const world = relayWorld({route, behaviors: plays});
    const caller = new FakeCaller(world.clock);
    await world.run(caller);
    expect(caller.body).to.equal(event(1));
  });

  it('does not send a request to a third target after two ended under it', async () => {
    const plays = Array.from({length: 5}, () => crash(() => world));
    const world: RelayWorld = relayWorld({
      route,
      behaviors: plays,
      targetCount: 6,
    });
    const caller = callerWith(world);
    await world.run(caller);
    expect(world.port.sent).to.have.lengthOf(2);
    expect(caller.refusal).to.equal(undefined);
    expect(caller.isAborted).to.equal(true);
  });

  it('continues a stream that had begun when its target ended, without a trial', async () => {
    const world: RelayWorld = relayWorld({
      route,
      behaviors: [
        async ({signal}, clock) => ({
          type: 'answered',
          answer: {
            head: {status: 200, isEventStream: true, framing: FRAMING.chunks},
            signals: NO_SIGNALS,
            connection: '1/1',
            read: async sink => {
              await sink(Buffer.from(event(1)));
              await clock.sleep(400, signal);
              await sink(Buffer.from(event(2)));
              world.port.ended.add(world.port.sent[0].target);
              return BODY_END.broken;
            },
            discard: () => {},
          },
        }),
        () => answer(200, [event(3)]),
      ],
    });
    const caller = callerWith(world, 'p');
    await world.run(caller);
    expect(caller.body).to.equal(event(1) + event(2) + event(3));
    expect(world.ledger.size).to.equal(0);
  });

  it('quarantines the part of a request that ends its trial as well', async () => {
    const plays = Array.from({length: 5}, () => crash(() => world));
    const world: RelayWorld = relayWorld({
      route,
      behaviors: plays,
      targetCount: 6,
    });
    await world.run(callerWith(world, 'bad'));
    expect(world.port.sent).to.have.lengthOf(2);
    const next = callerWith(world, 'other', 'bad');
    const startMs = world.clock.now();
    await world.run(next);
    expect(next.refusal?.reason).to.equal(REFUSAL.quarantined);
    expect(next.refusal?.retryAfterMs).to.be.above(1_000);
    expect(world.clock.now() - startMs).to.be.below(50);
    expect(world.port.sent).to.have.lengthOf(2);
  });

  it('sends a sound request again after another one has ended its target', async () => {
    const world: RelayWorld = relayWorld({
      route,
      behaviors: [crash(() => world), () => answer(200, [event(1)])],
    });
    const caller = callerWith(world, 'sound');
    await world.run(caller);
    expect(caller.body).to.equal(event(1));
    expect(world.ledger.size).to.equal(0);
  });

  it('withdraws a waiting request once its part is quarantined', async () => {
    const world = relayWorld({route, behaviors: [silent]});
    const caller = callerWith(world, 'bad');
    const handled = world.relay.handle(caller);
    await world.clock.advance(100);
    expect(world.port.sent).to.have.lengthOf(1);
    world.ledger.setQuarantine('irrelevant', 60_000);
    await world.clock.advance(100);
    expect(caller.failure).to.equal(undefined);
    const [digest] = digestParts(route.shares[0].service, ['bad']);
    world.ledger.setQuarantine(digest, 60_000);
    await world.clock.advance(100);
    await handled;
    expect(caller.failure?.type).to.equal('failed');
    expect(world.port.sent).to.have.lengthOf(1);
  });
});

describe('Relay: limits of targets', () => {
  /** The first target names a limit in each answer. */
  function limitedWorld(targetCount: number, perSecond: number): RelayWorld {
    const signals = {...NO_SIGNALS, requestsPerSecond: perSecond};
    const reply: TargetBehavior = () => {
      const isLimited = world.port.sent.at(-1)!.target === 't1';
      const named = isLimited ? signals : NO_SIGNALS;
      return answer(200, ['ok'], BODY_END.complete, named);
    };
    const behaviors = Array.from({length: 40}, () => reply);
    const world: RelayWorld = relayWorld({
      route: repeatable,
      behaviors,
      targetCount,
    });
    world.targets.recordLimit(world.targets.get('t1')!, perSecond);
    return world;
  }

  it('sends requests elsewhere while the limit of a target is used up', async () => {
    const world = limitedWorld(2, 1);
    const startMs = world.clock.now();
    for (let i = 0; i < 20; i++) await serve(world);
    const elapsedMs = world.clock.now() - startMs;
    expect(elapsedMs).to.be.below(2_500);
    const limited = world.port.sent.filter(({target}) => target === 't1');
    expect(limited.length).to.be.at.most(3);
    expect(world.port.sent).to.have.lengthOf(20);
  });

  it('spaces out requests if there is no other target', async () => {
    const world = limitedWorld(1, 4);
    const callers = Array.from({length: 2}, () => new FakeCaller(world.clock));
    const done = callers.map(caller => world.relay.handle(caller));
    await world.clock.advance(0);
    await world.clock.advance(450);
    expect(world.port.sent.length).to.equal(1);
    await world.clock.advance(1_500);
    await Promise.all(done);
    expect(world.port.sent).to.have.lengthOf(2);
    for (const caller of callers) expect(caller.isEnded).to.equal(true);
  });

  it('refuses what a limit does not take in time, as not run', async () => {
    const world = limitedWorld(1, 0.5);
    const callers = Array.from({length: 6}, () => new FakeCaller(world.clock));
    const done = callers.map(caller => world.relay.handle(caller));
    await world.clock.advance(0);
    await world.clock.advance(2_400);
    await Promise.all(done);
    const refused = callers.filter(({refusal}) => refusal !== undefined);
    expect(refused.length).to.be.at.least(4);
    for (const {refusal} of refused) {
      expect(refusal?.reason).to.equal(REFUSAL.noCapacity);
      expect(refusal?.retryAfterMs).to.be.at.least(1_000);
    }
    expect(world.port.sent.length).to.equal(6 - refused.length);
  });

  it('refuses a request that waits for a limit when the host stops', async () => {
    const world = limitedWorld(1, 2);
    const caller = new FakeCaller(world.clock);
    const done = world.relay.handle(caller);
    await world.clock.advance(0);
    await world.clock.advance(100);
    world.relay.refuseWaiting();
    await world.clock.advance(100);
    expect(caller.refusal?.reason).to.equal(REFUSAL.stopping);
    await done;
    expect(world.port.sent).to.have.lengthOf(0);
  });

  it('finds another target of the model while the limit is used up', async () => {
    const route = routeRule({
      kind: REQUEST_KIND.stream,
      shares: [{service: ENGINE_SERVICE, weight: 1}],
    });
    let searched: string[] = [];
    const world = relayWorld({
      route,
      behaviors: Array.from({length: 4}, () => () => answer(200, [event(1)])),
      models: (clock, targets) =>
        new (class extends OneTarget {
          override async find(search?: ModelSearch) {
            searched = [...search!.tried];
            return super.find();
          }
        })(clock, () => targets.get('e2')!),
    });
    const service = ENGINE_SERVICE;
    const held = [{model: 'm1', adapters: []}];
    world.targets.put(targetRegistration({id: 'e1', service, held}), true);
    world.targets.put(targetRegistration({id: 'e2', service}), true);
    world.targets.recordLimit(world.targets.get('e1')!, 0.5);
    const caller = new FakeCaller(world.clock);
    caller.demand = {model: 'm1', adapter: undefined};
    await world.run(caller);
    expect(caller.isEnded).to.equal(true);
    expect(searched).to.deep.equal(['e1']);
    expect(world.port.sent.map(({target}) => target)).to.deep.equal(['e2']);
  });

  it('takes one retry from the budget for a send that waits for a limit', async () => {
    const world = relayWorld({
      route: repeatable,
      behaviors: [() => lost, () => answer(200, ['ok'])],
      targetCount: 2,
      retries: 1,
    });
    for (const target of world.targets.all())
      world.targets.recordLimit(target, 2);
    const caller = await serve(world);
    expect(caller.isEnded).to.equal(true);
    expect(world.port.sent).to.have.lengthOf(2);
  });
});
