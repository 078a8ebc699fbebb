import {expect} from 'chai';
import {ManualClock} from '../../lib/time/manual_clock.js';
import {Pace} from '../../lib/work/pace.js';

describe('Pace', () => {
  it('follows a change of the target within its last observations', () => {
    const pace = new Pace(new ManualClock());
    for (let i = 0; i < 8; i++) pace.record(1);
    expect(pace.factor).to.equal(1);
    for (let i = 0; i < 5; i++) pace.record(2.5);
    expect(pace.factor).to.be.closeTo(2.5, 0.01);
  });

  it('does not follow a single outlier', () => {
    const pace = new Pace(new ManualClock());
    for (const ratio of [1, 1, 8, 1, 1.05]) pace.record(ratio);
    expect(pace.factor).to.equal(1);
  });

  it('is 1 until there are enough observations, and again when they are old', async () => {
    const clock = new ManualClock();
    const pace = new Pace(clock);
    pace.record(2);
    pace.record(2);
    expect(pace.factor).to.equal(1);
    pace.record(2);
    expect(pace.factor).to.be.closeTo(2, 0.01);
    await clock.advance(2_000);
    expect(pace.factor).to.equal(1);
    expect(pace.own.count).to.equal(0);
  });

  it('uses the observations of other hosts while they are current', async () => {
    const clock = new ManualClock();
    const pace = new Pace(clock);
    pace.setPublished({log: 1, count: 20});
    expect(pace.factor).to.be.closeTo(2, 0.01);
    await clock.advance(1_000);
    expect(pace.factor).to.equal(1);
  });
});
