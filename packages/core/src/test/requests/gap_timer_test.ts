import {expect} from 'chai';
import {GapTimer, ManualClock} from '../../index.js';

describe('GapTimer', () => {
  it('aborts once the reader has waited as long as the limit', async () => {
    const clock = new ManualClock();
    const gap = new GapTimer(clock, 100);
    gap.startWait();
    await clock.advance(99);
    expect(gap.signal.aborted).to.equal(false);
    await clock.advance(1);
    expect(gap.signal.aborted).to.equal(true);
  });

  it('counts only time that the reader spends waiting', async () => {
    const clock = new ManualClock();
    const gap = new GapTimer(clock, 100);
    for (let event = 0; event < 5; event++) {
      gap.startWait();
      await clock.advance(90);
      gap.endWait(100);
      await clock.advance(500);
    }
    expect(gap.signal.aborted).to.equal(false);
  });

  it('applies a shorter limit to the next gap', async () => {
    const clock = new ManualClock();
    const gap = new GapTimer(clock, 1_000);
    gap.startWait();
    await clock.advance(10);
    gap.endWait(50);
    gap.startWait();
    await clock.advance(50);
    expect(gap.signal.aborted).to.equal(true);
  });
});
