/** Seeds that run in every test run. @packageDocumentation */

/** A seed and the failure that it guards against. */
export interface RegressionSeed {
  seed: number;
  cause: string;
}

/** Seeds that have failed with three hosts and 15 s of the first faults. */
export const REGRESSION_SEEDS: readonly RegressionSeed[] = [
  {seed: 4, cause: 'SIGHUP ended a host that was loading its code'},
  {seed: 6, cause: 'the same, twice'},
  {seed: 17, cause: 'the same'},
  {seed: 19, cause: 'the same, after all hosts were killed'},
  {seed: 25, cause: 'the same'},
];

/** Seeds that have failed with three hosts and 12 s of planned work and silences. */
export const PLANNED_SEEDS: readonly RegressionSeed[] = [
  {seed: 1, cause: 'a stop cut streams whose silent target was given up'},
  {seed: 2, cause: 'the same by a withdrawn key'},
  {seed: 4, cause: 'a second SIGTERM ended a host that was stopping'},
];
