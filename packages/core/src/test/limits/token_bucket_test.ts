import {expect} from 'chai';
import fc from 'fast-check';
import {ManualClock, TokenBucket} from '../../index.js';

describe('TokenBucket', () => {
  it('refills at its rate up to its burst', async () => {
    const clock = new ManualClock();
    const bucket = new TokenBucket(clock, {rate: 10, burst: 20}, 0);
    await clock.advance(1_000);
    expect(bucket.level).to.be.closeTo(10, 1e-6);
    await clock.advance(10_000);
    expect(bucket.level).to.be.closeTo(20, 1e-6);
  });

  it('does not refill capacity taken by reservations', async () => {
    const clock = new ManualClock();
    const bucket = new TokenBucket(clock, {rate: 10, burst: 20}, 20);
    expect(bucket.take(15)).to.equal(true);
    await clock.advance(60_000);
    expect(bucket.level).to.be.closeTo(5, 1e-6);
    bucket.settle(15, 5);
    expect(bucket.level).to.be.closeTo(15, 1e-6);
  });

  it('keeps every window within rate * window + burst', async () => {
    const step = fc.record({
      waitMs: fc.integer({min: 0, max: 400}),
      tokens: fc.integer({min: 1, max: 60}),
      used: fc.double({min: 0, max: 1, noNaN: true}),
    });
    await fc.assert(
      fc.asyncProperty(fc.array(step, {maxLength: 60}), async steps => {
        const clock = new ManualClock();
        const shape = {rate: 40, burst: 50};
        const bucket = new TokenBucket(clock, shape, shape.burst);
        const admitted: Array<{atMs: number; tokens: number}> = [];
        for (const {waitMs, tokens, used} of steps) {
          clock.pause(waitMs);
          if (!bucket.take(tokens)) continue;
          const usedTokens = Math.floor(tokens * used);
          admitted.push({atMs: clock.now(), tokens: usedTokens});
          bucket.settle(tokens, usedTokens);
        }
        for (let from = 0; from < admitted.length; from++) {
          let sum = 0;
          for (let to = from; to < admitted.length; to++) {
            sum += admitted[to].tokens;
            const windowMs = admitted[to].atMs - admitted[from].atMs;
            const bound = (windowMs / 1_000) * shape.rate + shape.burst;
            expect(sum).to.be.at.most(bound + 1e-6);
          }
        }
      }),
      {seed: 11},
    );
  });
});
