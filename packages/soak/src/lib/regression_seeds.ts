/** Seeds that are played in every test run. @packageDocumentation */

/** A seed and why it is kept. */
export interface RegressionSeed {
  seed: number;
  cause: string;
}

/** Seeds that have failed at some time, with three hosts for 15 s. */
export const REGRESSION_SEEDS: readonly RegressionSeed[] = [
  {seed: 4, cause: 'SIGHUP while a host loads its code ended it'},
  {seed: 6, cause: 'the same, twice'},
  {seed: 17, cause: 'the same'},
  {seed: 19, cause: 'the same, after all hosts were killed'},
  {seed: 25, cause: 'the same'},
];
