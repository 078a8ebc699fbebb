/** Formats and stores the results of benchmarks. @packageDocumentation */

import {mkdir, writeFile} from 'node:fs/promises';
import {join} from 'node:path';
import {BenchmarkResult, Metric} from './benchmark.js';
import {BOUNDS, Bound, keepsBound} from './bounds.js';

/**
 * Formats a metric and checks it against its bound.
 *
 * @param metric - a measured value.
 * @returns the line `metric value unit bound ok|over`, and whether the value
 *   is within the bound.
 */
export function reportLine(metric: Metric): {line: string; kept: boolean} {
  const bound = BOUNDS.find(known => known.metric === metric.name);
  const {name, unit} = metric;
  const value = formatNumber(metric.value);
  if (bound === undefined) {
    return {line: `${name} ${value} ${unit} - ok`, kept: true};
  }
  const kept = keepsBound(bound, metric.value);
  const verdict = kept ? 'ok' : 'over';
  const line = `${name} ${value} ${unit} ${formatBound(bound)} ${verdict}`;
  return {line, kept};
}

/**
 * Stores a result, which the capacity page and the plots are generated from.
 *
 * @param folder - folder of the results.
 * @param benchmark - name of the benchmark.
 * @param result - its result.
 */
export async function storeResult(
  folder: string,
  benchmark: string,
  result: BenchmarkResult,
): Promise<void> {
  await mkdir(folder, {recursive: true});
  const text = JSON.stringify(result, null, 2) + '\n';
  await writeFile(join(folder, `${benchmark}.json`), text);
}

function formatBound({kind, limit}: Bound): string {
  return `${kind === 'at-most' ? '<=' : '>='}${formatNumber(limit)}`;
}

function formatNumber(value: number): string {
  return String(Number(value.toPrecision(5)));
}
