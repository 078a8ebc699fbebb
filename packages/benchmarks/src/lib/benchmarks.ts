/** The list of benchmarks. @packageDocumentation */

import {Benchmark} from './benchmark.js';
import {LimitsBenchmark} from './limits_benchmark.js';
import {PathBenchmark} from './path_benchmark.js';

/** Every benchmark, in the order in which they run. */
export const BENCHMARKS: readonly Benchmark[] = [
  new PathBenchmark(),
  new LimitsBenchmark(),
];
