import {expect} from 'chai';
import {REQUEST_KIND} from '../../lib/gateway/deployment.js';
import {NOT_RUN, TARGET_STATE} from '../../lib/gateway/target_port.js';
import {deploymentOf, routeRule, teamConfig} from './gateway_fixtures.js';
import {
  FakeCaller,
  TargetBehavior,
  answer,
  relayWorld,
  timedAnswer,
} from './relay_fixtures.js';

const EVENTS = [1, 2, 3].map(id => `id: ${id}\ndata: piece ${id}\n\n`);
const resumable = routeRule({
  kind: REQUEST_KIND.stream,
  isResumable: true,
  timeoutMs: 12_000,
  maxTargets: 2,
});
const rest: TargetBehavior = () => answer(200, EVENTS.slice(1));
const refuse: TargetBehavior = () => ({
  type: 'not-run',
  reason: NOT_RUN.refused,
});

const neverOn = timedAnswer([
  [0, EVENTS[0]],
  [20_000, EVENTS[1]],
]);

describe('Relay: a stream that this host gave up', () => {
  it('is not cut because other targets refuse it often', async () => {
    const refusals = Array.from({length: 8}, () => refuse);
    const behaviors = [neverOn, ...refusals, rest];
    const world = relayWorld({route: resumable, behaviors, retries: 20});
    world.port.state = TARGET_STATE.responsive;
    const caller = new FakeCaller(world.clock);
    await world.run(caller);
    expect(caller.isAborted, `at ${world.clock.now()} ms`).to.equal(false);
    expect(caller.isEnded).to.equal(true);
  });

  it('is not cut because the configuration is outdated for a moment', async () => {
    const behaviors = [neverOn, rest];
    const world = relayWorld({route: resumable, behaviors});
    world.port.state = TARGET_STATE.responsive;
    world.clock.after(5_500, () => world.freshness.confirm(world.clock.now()));
    await world.clock.advance(3_500);
    const caller = new FakeCaller(world.clock);
    await world.run(caller);
    expect(caller.isAborted, `at ${world.clock.now()} ms`).to.equal(false);
    expect(caller.isEnded).to.equal(true);
  });
});

describe('Relay: a run that pauses beside a change of the keys', () => {
  // Another target may not begin the rest, so that giving the run up ends it.
  it('is not given up once its key is withdrawn', async () => {
    const paused = timedAnswer([
      [0, EVENTS[0]],
      [4_000, EVENTS[1]],
      [0, EVENTS[2]],
    ]);
    const world = relayWorld({route: resumable, behaviors: [paused, rest]});
    world.port.state = TARGET_STATE.responsive;
    const caller = new FakeCaller(world.clock);
    world.clock.after(500, () => {
      const teams = [teamConfig({keys: ['other']})];
      world.state.applyIfNewer(deploymentOf([resumable], teams, 2));
    });
    await world.run(caller);
    expect(caller.isAborted, `at ${world.clock.now()} ms`).to.equal(false);
    expect(caller.body).to.equal(EVENTS.join(''));
  });
});

describe('Relay: evidence of a stall', () => {
  it('needs a check when a target is silent inside an event', async () => {
    const halves = timedAnswer([
      [0, EVENTS[0]],
      [700, EVENTS[1].slice(0, 8)],
      [700, EVENTS[1].slice(8)],
      [0, EVENTS[2]],
    ]);
    const world = relayWorld({route: resumable, behaviors: [halves, rest]});
    const caller = new FakeCaller(world.clock);
    await world.run(caller);
    expect(world.port.sent).to.have.lengthOf(1);
  });

  it('leaves an unreachable target in time when checks take their time', async () => {
    const world = relayWorld({route: resumable, behaviors: [neverOn, rest]});
    world.port.probe = async () => {
      await world.clock.sleep(150);
      return TARGET_STATE.unreachable;
    };
    const caller = new FakeCaller(world.clock);
    await world.run(caller);
    expect(world.clock.now()).to.be.below(1_800);
  });

  it('is not given by a caller that reads slowly', async () => {
    const whole: TargetBehavior = (...args) =>
      timedAnswer([
        [0, EVENTS[0]],
        [0, EVENTS[1]],
        [0, EVENTS[2]],
      ])(...args);
    const world = relayWorld({route: resumable, behaviors: [whole, rest]});
    world.port.state = TARGET_STATE.responsive;
    class SlowCaller extends FakeCaller {
      override write(chunk: Buffer): undefined {
        super.write(chunk);
        return world.clock.sleep(1_500) as never;
      }
    }
    const caller = new SlowCaller(world.clock);
    await world.run(caller);
    expect(world.port.sent).to.have.lengthOf(1);
  });
});
