/** The list of benchmarks. @packageDocumentation */

import {Benchmark} from './benchmark.js';
import {PathBenchmark} from './path_benchmark.js';
import {PlacementBenchmark} from './placement_benchmark.js';
import {ReconcileBenchmark} from './reconcile_benchmark.js';

/** Every benchmark, in the order in which they run. */
export const BENCHMARKS: readonly Benchmark[] = [
  new PathBenchmark(),
  new PlacementBenchmark(),
  new ReconcileBenchmark(),
];
