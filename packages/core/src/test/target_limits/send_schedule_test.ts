import {expect} from 'chai';
import fc from 'fast-check';
import {SendSchedule} from '../../lib/target_limits/send_schedule.js';
import {allowedInWindow, mostInWindow} from './limit_bound.js';

describe('SendSchedule', () => {
  it('grants requests at the rate', () => {
    const schedule = new SendSchedule(0, 5);
    let granted = 0;
    for (let ms = 0; ms < 20_000; ms += 10)
      if (schedule.reserve(ms, 0).isGranted) granted += 1;
    expect(granted).to.be.within(95, 105);
  });

  it('grants the first request one interval after the start', () => {
    const schedule = new SendSchedule(1_000, 2);
    expect(schedule.reserve(1_000, 0)).to.deep.equal({
      isGranted: false,
      waitMs: 500,
    });
    expect(schedule.reserve(1_000, 600).isGranted).to.equal(true);
  });

  it('reserves times in the order of the requests, up to the longest wait', () => {
    const schedule = new SendSchedule(0, 10);
    const waits = [1, 2, 3, 4].map(() => schedule.reserve(0, 300));
    expect(waits.map(({waitMs}) => waitMs)).to.deep.equal([100, 200, 300, 400]);
    expect(waits.map(({isGranted}) => isGranted)).to.deep.equal([
      true,
      true,
      true,
      false,
    ]);
  });

  it('applies a higher rate at once', () => {
    const schedule = new SendSchedule(0, 0);
    expect(schedule.reserve(0, 0).waitMs).to.equal(5_000);
    schedule.setRate(0, 10);
    expect(schedule.reserve(0, 0).waitMs).to.equal(100);
  });

  it('asks a target that takes nothing now and then', () => {
    const schedule = new SendSchedule(0, 0);
    let granted = 0;
    for (let ms = 0; ms < 60_000; ms += 50)
      if (schedule.reserve(ms, 0).isGranted) granted += 1;
    expect(granted).to.be.within(10, 13);
  });

  it('never exceeds the bound on a limited target in any window', () => {
    const request = fc.record({
      afterMs: fc.nat({max: 700}),
      maxWaitMs: fc.constantFrom(0, 300, 1_000),
      count: fc.integer({min: 1, max: 20}),
    });
    const perSecond = fc.double({min: 0, max: 40, noNaN: true});
    fc.assert(
      fc.property(perSecond, fc.array(request), (rate, requests) => {
        const schedule = new SendSchedule(0, rate);
        const sentMs: number[] = [];
        let nowMs = 0;
        for (const {afterMs, count, maxWaitMs} of requests) {
          nowMs += afterMs;
          for (let i = 0; i < count; i++) {
            const grant = schedule.reserve(nowMs, maxWaitMs);
            if (grant.isGranted) sentMs.push(nowMs + grant.waitMs);
          }
        }
        expect(mostInWindow(sentMs)).to.be.at.most(allowedInWindow(rate));
      }),
    );
  });
});
