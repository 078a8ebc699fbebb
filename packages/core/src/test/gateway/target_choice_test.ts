import {expect} from 'chai';
import {chooseService, chooseTarget} from '../../lib/gateway/target_choice.js';
import {KnownTarget, TargetTable} from '../../lib/gateway/target_table.js';
import {ManualClock} from '../../lib/time/manual_clock.js';
import {Random} from '../../lib/time/random.js';
import {PLAIN_SERVICE, targetRegistration} from './gateway_fixtures.js';

const HOSTS = 6;

function targetsIn(zones: string[], slots: number): readonly KnownTarget[] {
  const table = new TargetTable(new ManualClock());
  zones.forEach((zone, i) =>
    table.put(targetRegistration({id: `t${i}`, zone, slots}), true),
  );
  return table.ofService(PLAIN_SERVICE);
}

function options(draw: number, tried: string[] = []) {
  return {zone: 'a', tried: new Set(tried), draw};
}

describe('chooseTarget', () => {
  it('prefers an idle target in the same zone', () => {
    const targets = targetsIn(['b', 'a'], 64);
    for (const draw of [0, 0.5, 0.99]) {
      const target = chooseTarget(targets, options(draw));
      expect(target?.registration.zone).to.equal('a');
    }
  });

  it('spreads the load of hosts that do not know each other', () => {
    const random = new Random(1);
    const total = new Map<string, number>();
    for (let host = 0; host < HOSTS; host++) {
      const targets = targetsIn(['x', 'y', 'z'], 64);
      for (let i = 0; i < 10; i++) {
        const target = chooseTarget(targets, options(random.float()))!;
        target.beginRequest(undefined);
        const {id} = target.registration;
        total.set(id, (total.get(id) ?? 0) + 1);
      }
    }
    const counts = [...total.values()];
    expect(Math.max(...counts) / Math.min(...counts)).to.be.below(1.6);
  });

  it('does not fill a target in the same zone while one in another zone is idle', () => {
    const slots = 12;
    const hostCount = 60;
    const random = new Random(1);
    const clock = new ManualClock();
    const hosts = Array.from({length: hostCount}, () => {
      const table = new TargetTable(clock);
      table.put(targetRegistration({id: 'near', zone: 'a', slots}), true);
      table.put(targetRegistration({id: 'far', zone: 'b', slots}), true);
      return table.ofService(PLAIN_SERVICE);
    });
    const running: KnownTarget[] = [];
    const count = (id: string) =>
      running.filter(({registration}) => registration.id === id).length;
    let maxRunning = 0;
    for (let i = 0; i < 200; i++) {
      const targets = random.pick(hosts);
      const target = chooseTarget(targets, options(random.float()))!;
      target.beginRequest(undefined);
      running.push(target);
      // Each request runs until as many new ones have arrived as there are
      // slots.
      if (running.length > slots) running.shift()!.endRequest(undefined);
      maxRunning = Math.max(maxRunning, count('near'));
      if (i % 3 !== 0) continue;
      // Load reports reach the hosts a few requests late.
      for (const known of hosts.flat()) {
        known.setReportedLoad(count(known.registration.id) / slots);
      }
    }
    expect(maxRunning).to.be.at.most(slots * 0.75);
    expect(count('near')).to.be.above(0);
  });

  it('ignores a reported load that is not renewed', async () => {
    const clock = new ManualClock();
    const table = new TargetTable(clock);
    const registration = targetRegistration({id: 't', slots: 10});
    const target = table.put(registration, true);
    target.setReportedLoad(0.5);
    expect(target.load).to.equal(0.5);
    await clock.advance(1_000);
    expect(target.load).to.equal(0);
  });

  it('skips targets that are leaving, removed or were tried', () => {
    const targets = targetsIn(['a', 'a', 'a'], 8);
    targets[0].registration = {...targets[0].registration, isLeaving: true};
    targets[1].isRemoved = true;
    expect(chooseTarget(targets, options(0))?.registration.id).to.equal('t2');
    expect(chooseTarget(targets, options(0, ['t2']))).to.equal(undefined);
  });

  it('avoids a failed target while there is another', () => {
    const targets = targetsIn(['a', 'b'], 8);
    targets[0].health.recordFailure();
    expect(chooseTarget(targets, options(0))?.registration.id).to.equal('t1');
    const only = chooseTarget(targets, options(0, ['t1']));
    expect(only?.registration.id).to.equal('t0');
  });
});

describe('chooseService', () => {
  it('follows the weights', () => {
    const shares = [
      {service: 'x', weight: 90},
      {service: 'y', weight: 10},
    ];
    expect(chooseService(shares, 0.89)).to.equal('x');
    expect(chooseService(shares, 0.91)).to.equal('y');
    expect(chooseService([], 0.5)).to.equal(undefined);
  });
});
