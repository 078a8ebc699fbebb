/** Reads stored results of benchmarks. @packageDocumentation */

import {readFile} from 'node:fs/promises';
import {join} from 'node:path';
import {BenchmarkResult} from '../benchmark.js';

const BENCHMARKS = ['configuration', 'control', 'limits', 'path', 'placement'];

/** Stored metrics and series, by name. */
export class StoredResults {
  private constructor(
    private readonly values: Map<string, number>,
    private readonly xValues: Map<string, number[]>,
  ) {}

  /**
   * Reads the stored results.
   *
   * @param folder - folder of the results.
   * @returns the results of the benchmarks that the capacity page uses.
   */
  static async read(folder: string): Promise<StoredResults> {
    const values = new Map<string, number>();
    const xValues = new Map<string, number[]>();
    for (const benchmark of BENCHMARKS) {
      const text = await readFile(join(folder, `${benchmark}.json`), 'utf8');
      const {metrics, series} = JSON.parse(text) as BenchmarkResult;
      for (const {name, value} of metrics) values.set(name, value);
      for (const {name, points} of series) {
        xValues.set(
          name,
          points.map(({x}) => x),
        );
      }
    }
    return new StoredResults(values, xValues);
  }

  /**
   * @param name - name of a stored metric.
   * @returns its value.
   * @throws if no such metric is stored.
   */
  get(name: string): number {
    const value = this.values.get(name);
    if (value === undefined) throw new Error(`no stored metric ${name}`);
    return value;
  }

  /**
   * @param series - name of a stored series.
   * @returns the x values of its points.
   * @throws if no such series is stored.
   */
  measuredAt(series: string): readonly number[] {
    const xValues = this.xValues.get(series);
    if (xValues === undefined) throw new Error(`no stored series ${series}`);
    return xValues;
  }
}
