/** Seeds that run in every test run. @packageDocumentation */

/** A seed and the failure that it guards against. */
export interface RegressionSeed {
  seed: number;
  cause: string;
}

/** Seeds that have failed with three hosts and 15 s of faults. */
export const REGRESSION_SEEDS: readonly RegressionSeed[] = [
  {seed: 4, cause: 'SIGHUP ended a host that was loading its code'},
  {seed: 6, cause: 'the same, twice'},
  {seed: 17, cause: 'the same'},
  {seed: 19, cause: 'the same, after all hosts were killed'},
  {seed: 25, cause: 'the same'},
];
