import {expect} from 'chai';
import {Freshness} from '../../lib/gateway/freshness.js';
import {ManualClock} from '../../lib/time/manual_clock.js';

const MAX_AGE_MS = 4_000;

/** A clock whose monotonic time can stop while the wall clock continues. */
class SuspendableClock extends ManualClock {
  private suspendedMs = 0;

  override epochNow(): number {
    return super.epochNow() + this.suspendedMs;
  }

  suspend(durationMs: number): void {
    this.suspendedMs += durationMs;
  }
}

describe('Freshness', () => {
  it('expires without a new confirmation', async () => {
    const clock = new ManualClock();
    const freshness = new Freshness(clock, MAX_AGE_MS);
    expect(freshness.isFresh).to.equal(false);
    freshness.confirm(clock.now());
    await clock.advance(MAX_AGE_MS);
    expect(freshness.isFresh).to.equal(true);
    await clock.advance(1);
    expect(freshness.isFresh).to.equal(false);
  });

  it('counts the time for which the process was paused', () => {
    const clock = new ManualClock();
    const freshness = new Freshness(clock, MAX_AGE_MS);
    freshness.confirm(clock.now());
    clock.pause(MAX_AGE_MS + 1);
    expect(freshness.isFresh).to.equal(false);
  });

  it('expires at once after a suspension that only the wall clock shows', () => {
    const clock = new SuspendableClock();
    const freshness = new Freshness(clock, MAX_AGE_MS);
    freshness.confirm(clock.now());
    expect(freshness.isFresh).to.equal(true);
    clock.suspend(2_000);
    expect(freshness.isFresh).to.equal(false);
  });

  it('ignores the answer to a request sent before a suspension', () => {
    const clock = new SuspendableClock();
    const freshness = new Freshness(clock, MAX_AGE_MS);
    const askedMs = clock.now();
    clock.suspend(2_000);
    freshness.confirm(askedMs);
    expect(freshness.isFresh).to.equal(false);
  });

  it('is restored by the answer to a request sent after a suspension', async () => {
    const clock = new SuspendableClock();
    const freshness = new Freshness(clock, MAX_AGE_MS);
    clock.suspend(2_000);
    expect(freshness.isFresh).to.equal(false);
    await clock.advance(10);
    freshness.confirm(clock.now());
    expect(freshness.isFresh).to.equal(true);
  });
});
