import {expect} from 'chai';
import {StoreConcurrency} from '../../lib/residency/store_concurrency.js';
import {ManualClock} from '../../lib/time/manual_clock.js';

const NOMINAL_MS = 7_800;

/**
 * Simulates loads from a store that serves a given number of loads at full
 * speed, with as many loads at once as are allowed.
 */
async function simulateLoads(
  storeWidth: number,
  loads: number,
): Promise<{width: StoreConcurrency; lastMs: number}> {
  const clock = new ManualClock();
  const width = new StoreConcurrency(clock);
  let lastMs = 0;
  for (let i = 0; i < loads; i++) {
    const atOnce = width.allowed;
    const tookMs = NOMINAL_MS * Math.max(1, atOnce / storeWidth);
    await clock.advance(tookMs / atOnce);
    width.record({atOnce, nominalMs: NOMINAL_MS, tookMs: tookMs + 300});
    lastMs = tookMs;
  }
  return {width, lastMs};
}

describe('StoreConcurrency', () => {
  for (const storeWidth of [2, 3, 4, 5]) {
    it(`learns that a store serves ${storeWidth} loads at once`, async () => {
      const {width, lastMs} = await simulateLoads(storeWidth, 10);
      expect(width.allowed).to.equal(storeWidth);
      expect(lastMs).to.equal(NOMINAL_MS);
    });
  }

  it('does not raise the limit after loads that did not use it', () => {
    const width = new StoreConcurrency(new ManualClock());
    for (let i = 0; i < 10; i++) {
      width.record({atOnce: 1, nominalMs: NOMINAL_MS, tookMs: NOMINAL_MS});
    }
    expect(width.allowed).to.equal(2);
  });

  it('does not lower the limit below two because of a slow target', () => {
    const width = new StoreConcurrency(new ManualClock());
    width.record({atOnce: 1, nominalMs: NOMINAL_MS, tookMs: 3 * NOMINAL_MS});
    width.record({atOnce: 2, nominalMs: NOMINAL_MS, tookMs: 3 * NOMINAL_MS});
    expect(width.allowed).to.equal(2);
  });
});
