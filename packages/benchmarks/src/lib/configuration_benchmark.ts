/** Measures how fast and at what cost the configuration takes effect. @packageDocumentation */

import {Benchmark, BenchmarkResult, Metric, Series} from './benchmark.js';
import {
  AcceptanceResult,
  measureAcceptance,
} from './configuration/acceptance.js';
import {DESIGN_SIZE} from './configuration/large_config.js';
import {SpreadExperiment} from './configuration/spread.js';

const MS_PER_SECOND = 1_000;
const PUBLICATIONS = 30;
const REPEATS = 5;

/** Number of changes per day at the design size. */
const DAILY_CHANGES = 1_100;

/** Fractions of the design size at which acceptance is measured. */
const SIZE_FRACTIONS = [1 / 4, 1 / 2, 3 / 4, 1];

/** Measures propagation over nine hosts and acceptance at the design size. */
export class ConfigurationBenchmark extends Benchmark {
  override readonly name = 'configuration';
  override readonly summary =
    'time until in force at 9 hosts, acceptance and memory at 16,000 adapters';

  override async run(seed: number): Promise<BenchmarkResult> {
    const {metrics, series} = measureSizes(seed);
    const spread = await SpreadExperiment.run(PUBLICATIONS, REPEATS);
    for (const [name, values] of Object.entries(spread)) {
      const base = `configuration.${toSnakeCase(name)}`;
      metrics.push(
        seconds(`${base}_p50`, quantile(values, 0.5)),
        seconds(`${base}_max`, Math.max(...values)),
      );
    }
    return {metrics, series};
  }
}

function measureSizes(seed: number): BenchmarkResult {
  const time = series('acceptance_by_adapters', 'acceptance p95 (ms)');
  const memory = series('memory_by_adapters', 'heap (MiB)');
  let result: AcceptanceResult | undefined;
  for (const fraction of SIZE_FRACTIONS) {
    const size = {
      ...DESIGN_SIZE,
      models: Math.round(DESIGN_SIZE.models * fraction),
      adapters: Math.round(DESIGN_SIZE.adapters * fraction),
    };
    result = measureAcceptance(size, DAILY_CHANGES, seed);
    const x = size.adapters;
    time.points.push({x, y: quantile(result.changeMs, 0.95)});
    memory.points.push({x, y: result.heapMib});
  }
  const {changeMs, firstMs, captureMs, restoreMs, snapshotMib, heapMib} =
    result!;
  const totalMs = changeMs.reduce((sum, ms) => sum + ms, 0);
  const metrics: Metric[] = [
    ms('first_publication', firstMs),
    ms('change_p50', quantile(changeMs, 0.5)),
    ms('change_p95', quantile(changeMs, 0.95)),
    ms('change_max', Math.max(...changeMs)),
    ms('all_changes', totalMs),
    ms('capture', captureMs),
    ms('restore', restoreMs),
    {name: 'configuration.snapshot', value: snapshotMib, unit: 'MiB'},
    {name: 'configuration.heap', value: heapMib, unit: 'MiB'},
    {
      name: 'configuration.heap_per_1000_adapters',
      value: slope(memory) * 1_000,
      unit: 'MiB',
    },
    {
      name: 'configuration.change_p95_per_1000_adapters',
      value: slope(time) * 1_000,
      unit: 'ms',
    },
  ];
  return {metrics, series: [time, memory]};
}

function series(name: string, yLabel: string): Series {
  return {
    name: `configuration.${name}`,
    xLabel: 'adapters',
    yLabel,
    points: [],
  };
}

function ms(name: string, value: number): Metric {
  return {name: `configuration.${name}`, value, unit: 'ms'};
}

function seconds(name: string, valueMs: number): Metric {
  return {name, value: valueMs / MS_PER_SECOND, unit: 's'};
}

function quantile(values: readonly number[], fraction: number): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[
    Math.min(sorted.length - 1, Math.floor(fraction * sorted.length))
  ];
}

/** @returns the slope of the least-squares line through the points. */
function slope({points}: Series): number {
  const meanX = mean(points.map(({x}) => x));
  const meanY = mean(points.map(({y}) => y));
  const covariance = points.map(({x, y}) => (x - meanX) * (y - meanY));
  const variance = points.map(({x}) => (x - meanX) ** 2);
  return mean(covariance) / mean(variance);
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

function toSnakeCase(name: string): string {
  return name.replace(/[A-Z]/g, letter => `_${letter.toLowerCase()}`);
}
