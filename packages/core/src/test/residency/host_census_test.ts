import {expect} from 'chai';
import {HostCensus} from '../../lib/residency/host_census.js';
import {ManualClock} from '../../lib/time/manual_clock.js';

describe('HostCounter', () => {
  it('has no count until one is recorded', () => {
    expect(new HostCensus(new ManualClock()).count).to.equal(undefined);
  });

  it('keeps the larger count while a new holder receives reports one by one', async () => {
    const clock = new ManualClock();
    const census = new HostCensus(clock);
    census.note(195);
    for (let heard = 1; heard <= 90; heard++) {
      await clock.advance(100);
      census.note(heard);
      expect(census.count).to.equal(195);
    }
    await clock.advance(2_000);
    census.note(90);
    expect(census.count).to.equal(90);
  });

  it('increases at once, and keeps the newest count without further records', async () => {
    const clock = new ManualClock();
    const census = new HostCensus(clock);
    census.note(9);
    census.note(12);
    expect(census.count).to.equal(12);
    await clock.advance(60_000);
    expect(census.count).to.equal(12);
  });
});
