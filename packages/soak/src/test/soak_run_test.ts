import {expect} from 'chai';
import {PROMISE, PromiseName} from '../lib/soak_checks.js';
import {runSoak} from '../lib/soak_run.js';
import {REGRESSION_SEEDS} from '../lib/regression_seeds.js';

/** Promises that take some seconds to be broken: hosts have time for them. */
const SLOW: readonly PromiseName[] = [
  PROMISE.withdrawnKey,
  PROMISE.drain,
  PROMISE.limit,
];
const SLOW_MS = 8_000;
const QUICK_MS = 2_500;
const SHORT_MS = 10_000;

async function brokenBy(plant: PromiseName): Promise<Set<PromiseName>> {
  const durationMs = SLOW.includes(plant) ? SLOW_MS : QUICK_MS;
  const options = {seed: 1, processes: 1, hasFaults: false};
  const {violations} = await runSoak({...options, durationMs, plant});
  return new Set(violations.map(({promise}) => promise));
}

describe('the soak', () => {
  it('finds each promise broken by a fault that is planted for it', async () => {
    const plants = Object.values(PROMISE);
    const found = await Promise.all(plants.map(brokenBy));
    plants.forEach((plant, i) => {
      expect([...found[i]], plant).to.include(plant);
    });
  });

  for (const {seed, cause} of REGRESSION_SEEDS) {
    it(`keeps every promise with seed ${seed}: ${cause}`, async () => {
      const options = {seed, durationMs: SHORT_MS, processes: 3};
      const {violations} = await runSoak(options);
      expect(violations).to.deep.equal([]);
    });
  }
});
