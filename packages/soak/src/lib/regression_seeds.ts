/** Seeds that are played in every test run. @packageDocumentation */

/** A seed and why it is kept. */
export interface RegressionSeed {
  seed: number;
  cause: string;
}

/** The first is the short run; each other one has failed at some time. */
export const REGRESSION_SEEDS: readonly RegressionSeed[] = [
  {seed: 1, cause: 'all kinds of faults'},
];
