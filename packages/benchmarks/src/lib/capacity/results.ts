/** Stored results of benchmarks. @packageDocumentation */

import {readFile} from 'node:fs/promises';
import {join} from 'node:path';
import {BenchmarkResult} from '../benchmark.js';

const BENCHMARKS = ['configuration', 'control', 'limits', 'path', 'placement'];

/** Looks stored metrics up by their names. */
export class StoredResults {
  private constructor(
    private readonly values: Map<string, number>,
    private readonly xValues: Map<string, number[]>,
  ) {}

  /**
   * @param folder - folder of the results.
   * @returns the metrics of all benchmarks.
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
   * @param name - name of a metric that was stored.
   * @returns its value.
   */
  get(name: string): number {
    const value = this.values.get(name);
    if (value === undefined) throw new Error(`no stored metric ${name}`);
    return value;
  }

  /**
   * @param series - name of a series that was stored.
   * @returns where it was measured.
   */
  measuredAt(series: string): readonly number[] {
    const xValues = this.xValues.get(series);
    if (xValues === undefined) throw new Error(`no stored series ${series}`);
    return xValues;
  }
}
