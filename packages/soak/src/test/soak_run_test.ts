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
const REGRESSION_MS = 15_000;

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

  it('keeps every promise among all kinds of faults', async () => {
    const options = {seed: 1, durationMs: SHORT_MS, processes: 3};
    const {violations} = await runSoak(options);
    expect(violations).to.deep.equal([]);
  });

  it('keeps every promise with the seeds that have failed', async () => {
    const options = {durationMs: REGRESSION_MS, processes: 3};
    const results = await Promise.all(
      REGRESSION_SEEDS.map(({seed}) => runSoak({...options, seed})),
    );
    REGRESSION_SEEDS.forEach(({seed, cause}, i) => {
      expect(results[i].violations, `seed ${seed}: ${cause}`).to.deep.equal([]);
    });
  });
});
