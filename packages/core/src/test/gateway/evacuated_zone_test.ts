import {expect} from 'chai';
import {REQUEST_KIND} from '../../lib/gateway/deployment.js';
import {NOT_RUN, TARGET_STATE} from '../../lib/gateway/target_port.js';
import {TargetProber} from '../../lib/gateway/target_prober.js';
import {REFUSAL} from '../../lib/requests/outcome.js';
import {routeRule, targetRegistration} from './gateway_fixtures.js';
import {FakeCaller, answer, relayWorld} from './relay_fixtures.js';

const once = routeRule({kind: REQUEST_KIND.once, maxTargets: 1});
const repeatable = routeRule({maxTargets: 2});
const served = () => answer(200, ['ok']);

describe('Relay and evacuated zones', () => {
  it('sends nothing to a target in an evacuated zone until it is returned', async () => {
    const world = relayWorld({
      route: repeatable,
      behaviors: Array.from({length: 12}, () => served),
      targetCount: 1,
    });
    world.targets.put(targetRegistration({id: 'other', zone: 'b'}), true);
    world.evacuations.set('a', true, 1);
    for (let i = 0; i < 6; i++) await world.run(new FakeCaller(world.clock));
    const during = world.port.sent.map(({target}) => target);
    expect(new Set(during)).to.deep.equal(new Set(['other']));
    world.evacuations.set('a', false, 2);
    await world.run(new FakeCaller(world.clock));
    expect(world.port.sent.at(-1)?.target).to.equal('t1');
  });

  // Guards against requests that wait until their objective has passed for a
  // zone whose return is not known.
  it('refuses at once if all targets are in evacuated zones', async () => {
    const world = relayWorld({route: once, behaviors: []});
    world.evacuations.set('a', true, 1);
    const caller = new FakeCaller(world.clock);
    const beganMs = world.clock.now();
    await world.run(caller);
    expect(caller.refusal?.reason).to.equal(REFUSAL.noCapacity);
    expect(caller.refusal?.message).to.contain('evacuated');
    expect(world.clock.now() - beganMs).to.be.at.most(20);
  });

  // Guards against a request that has selected its target and waits for a
  // connection while the zone is evacuated.
  it('withdraws a send that waits for its connection', async () => {
    const world = relayWorld({
      route: once,
      behaviors: [
        ({canStillSend}) => {
          expect(canStillSend()).to.equal(true);
          world.evacuations.set('a', true, 1);
          expect(canStillSend()).to.equal(false);
          return {type: 'not-run', reason: NOT_RUN.withdrawn};
        },
        served,
      ],
      targetCount: 1,
    });
    const caller = new FakeCaller(world.clock);
    await world.run(caller);
    expect(world.port.sent).to.have.lengthOf(1);
    expect(caller.refusal?.reason).to.equal(REFUSAL.noCapacity);
  });

  it('lets an answer end that began before the evacuation', async () => {
    const world = relayWorld({
      route: once,
      behaviors: [
        () => {
          world.evacuations.set('a', true, 1);
          return answer(200, ['still ', 'whole']);
        },
      ],
    });
    const caller = new FakeCaller(world.clock);
    await world.run(caller);
    expect(caller.body).to.equal('still whole');
  });

  it('does not check a silent target in an evacuated zone', async () => {
    const world = relayWorld({route: once, behaviors: []});
    const [target] = world.targets.all();
    let checks = 0;
    const prober = new TargetProber(world.clock, async () => {
      checks += 1;
      return TARGET_STATE.ended;
    });
    world.evacuations.set('a', true, 1);
    expect(await prober.check(target)).to.equal(TARGET_STATE.unchecked);
    expect(checks).to.equal(0);
  });
});
