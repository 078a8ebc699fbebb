import {expect} from 'chai';
import {DemandPeaks} from '../../lib/residency/demand_peaks.js';
import {LoadRequests} from '../../lib/residency/load_requests.js';
import {SlotTime} from '../../lib/residency/slot_time.js';
import {ManualClock} from '../../lib/time/manual_clock.js';

describe('SlotTime', () => {
  it('is typical without traffic, and learns from all hosts within seconds', async () => {
    const clock = new ManualClock();
    const slotTime = new SlotTime(clock);
    expect(slotTime.seconds).to.equal(1);
    for (let i = 0; i < 20; i++) {
      slotTime.record(200, 50);
      await clock.advance(150);
    }
    expect(slotTime.seconds).to.be.within(3.9, 4.1);
  });

  it('keeps its value while nothing can be observed', async () => {
    const clock = new ManualClock();
    const slotTime = new SlotTime(clock);
    for (let i = 0; i < 400; i++) {
      if (i < 20) slotTime.record(100, 50);
      else slotTime.record(0, 0);
      await clock.advance(150);
    }
    expect(slotTime.seconds).to.be.within(1.9, 2.1);
  });
});

describe('DemandPeaks', () => {
  it('remembers a wave for longer than a lull, and forgets it in the end', async () => {
    const clock = new ManualClock();
    const peaks = new DemandPeaks(clock);
    peaks.record('m', 20, 20_000);
    await clock.advance(10_000);
    peaks.record('m', 0.5, 20_000);
    expect(peaks.get('m')).to.be.above(14);
    await clock.advance(200_000);
    peaks.record('m', 0, 20_000);
    expect(peaks.get('m')).to.equal(0);
  });
});

describe('LoadRequests', () => {
  it('does not hold loads up for one that no target takes or nobody wants', async () => {
    const clock = new ManualClock();
    const requests = new LoadRequests(clock);
    requests.ask('a');
    requests.ask('b');
    requests.recordUnplaced('a');
    expect(requests.active()).to.deep.equal(['b']);
    await clock.advance(550);
    requests.ask('a');
    expect(requests.active()).to.deep.equal(['a']);
    // The age is that of the first request.
    expect(requests.agePriority('a')).to.be.closeTo(0.11, 1e-9);
  });
});
