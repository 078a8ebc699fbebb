import {expect} from 'chai';
import {HostCounter} from '../../lib/residency/host_counter.js';
import {ManualClock} from '../../lib/time/manual_clock.js';

describe('HostCounter', () => {
  it('has no count until one is recorded', () => {
    expect(new HostCounter(new ManualClock()).count).to.equal(undefined);
  });

  it('keeps the larger count while a new holder receives reports one by one', async () => {
    const clock = new ManualClock();
    const counter = new HostCounter(clock);
    counter.record(195);
    for (let heard = 1; heard <= 90; heard++) {
      await clock.advance(100);
      counter.record(heard);
      expect(counter.count).to.equal(195);
    }
    await clock.advance(2_000);
    counter.record(90);
    expect(counter.count).to.equal(90);
  });

  it('increases at once, and keeps the newest count without further records', async () => {
    const clock = new ManualClock();
    const counter = new HostCounter(clock);
    counter.record(9);
    counter.record(12);
    expect(counter.count).to.equal(12);
    await clock.advance(60_000);
    expect(counter.count).to.equal(12);
  });
});
