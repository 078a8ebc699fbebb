/** The list of benchmarks. @packageDocumentation */

import {Benchmark} from './benchmark.js';
import {ConfigurationBenchmark} from './configuration_benchmark.js';
import {ControlBenchmark} from './control_benchmark.js';
import {HostBenchmark} from './host_benchmark.js';
import {LimitsBenchmark} from './limits_benchmark.js';
import {PathBenchmark} from './path_benchmark.js';
import {PlacementBenchmark} from './placement_benchmark.js';
import {ReconcileBenchmark} from './reconcile_benchmark.js';

/** All benchmarks, in the order in which they run. */
export const BENCHMARKS: readonly Benchmark[] = [
  new PathBenchmark(),
  new ConfigurationBenchmark(),
  new ControlBenchmark(),
  new LimitsBenchmark(),
  new PlacementBenchmark(),
  new ReconcileBenchmark(),
  new HostBenchmark(),
];
