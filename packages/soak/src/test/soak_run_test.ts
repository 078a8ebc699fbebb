import {expect} from 'chai';
import {
  BREAKS,
  FIRST_FAULTS,
  OLDER_STORE_FAULTS,
  PLANNED_FAULTS,
} from '../lib/fault_names.js';
import {PROMISE, PromiseName} from '../lib/soak_checks.js';
import {runSoak} from '../lib/soak_run.js';
import {PLANNED_SEEDS, REGRESSION_SEEDS} from '../lib/regression_seeds.js';

/** Promises with a time allowance, whose violation takes some seconds. */
const SLOW: readonly PromiseName[] = [
  PROMISE.withdrawnKey,
  PROMISE.drain,
  PROMISE.limit,
  PROMISE.crashBudget,
];
const SLOW_MS = 8_000;
const QUICK_MS = 2_500;
const SHORT_MS = 10_000;
const REGRESSION_MS = 15_000;
const PLANNED_MS = 12_000;
const OLDER_STORE_MS = 20_000;

async function findViolations(plant: PromiseName): Promise<Set<PromiseName>> {
  const durationMs = SLOW.includes(plant) ? SLOW_MS : QUICK_MS;
  const options = {seed: 1, processes: 1, hasFaults: false};
  const {violations} = await runSoak({...options, durationMs, plant});
  return new Set(violations.map(({promise}) => promise));
}

describe('runSoak', () => {
  it('detects a planted violation of each promise', async () => {
    const plants = Object.values(PROMISE);
    const found = await Promise.all(plants.map(findViolations));
    plants.forEach((plant, i) => {
      expect([...found[i]], plant).to.include(plant);
    });
  });

  it('finds no violation under all kinds of faults', async () => {
    const options = {seed: 1, durationMs: SHORT_MS, processes: 3};
    const {violations} = await runSoak(options);
    expect(violations).to.deep.equal([]);
  });

  it('finds no violation with the regression seeds', async () => {
    const options = {durationMs: REGRESSION_MS, processes: 3};
    const results = await Promise.all(
      REGRESSION_SEEDS.map(({seed}) =>
        runSoak({...options, seed, faults: FIRST_FAULTS}),
      ),
    );
    REGRESSION_SEEDS.forEach(({seed, cause}, i) => {
      expect(results[i].violations, `seed ${seed}: ${cause}`).to.deep.equal([]);
    });
  });

  it('finds no answer joined from two sends or ended early when workers break off', async () => {
    const options = {seed: 1, durationMs: SHORT_MS, processes: 3};
    const {violations} = await runSoak({...options, faults: BREAKS});
    expect(violations).to.deep.equal([]);
  });

  it('finds no violation when the store comes back from older copies', async () => {
    const options = {seed: 11, durationMs: OLDER_STORE_MS, processes: 4};
    const {violations} = await runSoak({
      ...options,
      faults: OLDER_STORE_FAULTS,
    });
    expect(violations).to.deep.equal([]);
  });

  it('finds no lost request beside planned work and silences', async () => {
    const options = {durationMs: PLANNED_MS, processes: 3};
    const faults = PLANNED_FAULTS;
    const results = await Promise.all(
      PLANNED_SEEDS.map(({seed}) => runSoak({...options, seed, faults})),
    );
    PLANNED_SEEDS.forEach(({seed, cause}, i) => {
      expect(results[i].violations, `seed ${seed}: ${cause}`).to.deep.equal([]);
    });
  });
});
