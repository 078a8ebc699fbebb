/** The interface of a benchmark and its results. @packageDocumentation */

/** A measured value. */
export interface Metric {
  /** Unique over all benchmarks, such as `path.first_token_added_p95`. */
  name: string;
  value: number;
  /** Such as `ms`, `MiB` or `ratio`. */
  unit: string;
}

/** Points of a curve, for plots and slopes. */
export interface Series {
  /** Such as `control.bytes_by_peers`. */
  name: string;
  xLabel: string;
  yLabel: string;
  points: Array<{x: number; y: number}>;
}

/** Result of one run of a benchmark. */
export interface BenchmarkResult {
  metrics: Metric[];
  series: Series[];
}

/** An experiment that measures one part of the system. */
export abstract class Benchmark {
  /** Name on the command line. */
  abstract readonly name: string;

  /** One-line description of what the benchmark measures. */
  abstract readonly summary: string;

  /**
   * Runs the experiment once.
   *
   * @param seed - seed of all randomness.
   */
  abstract run(seed: number): Promise<BenchmarkResult>;
}
