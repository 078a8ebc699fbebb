/** Compares cold starts of the placement code with those of baselines. @packageDocumentation */

import {WaitingDemand, placementPolicies} from '@fuchsiacleat/core';
import {Benchmark, BenchmarkResult, Metric} from './benchmark.js';
import {leastRecentlyUsed, randomTarget} from './placement/baselines.js';
import {measureDecisions} from './placement/decision_cost.js';
import {
  RunSummary,
  percentile,
  runPolicies,
  unavoidableColdStarts,
} from './placement/placement_run.js';
import {UserSize, makeWorkload} from './placement/placement_workload.js';

const SIMULATED_HOURS = 240;

const PERCENTILES = [
  {label: 'p50', share: 0.5},
  {label: 'p99', share: 0.99},
  {label: 'p999', share: 0.999},
] as const;

const USERS: readonly UserSize[] = [
  {
    name: 'saurashtra',
    zones: ['ahmedabad', 'rajkot', 'surat', 'vadodara'],
    enginesPerZone: 2,
    hostsPerZone: 2,
    models: 45,
    adapters: 65,
    loadsPerSecond: 3,
    fullSpeedLoads: 4,
  },
  {
    name: 'upplysingavefur',
    zones: ['hfj-a', 'hfj-b', 'kef-a', 'rvk-a'],
    enginesPerZone: 2,
    hostsPerZone: 2,
    models: 25,
    adapters: 75,
    loadsPerSecond: 4,
    fullSpeedLoads: 4,
  },
];

/** Simulates both users' systems on a stepped clock. */
export class PlacementBenchmark extends Benchmark {
  override readonly name = 'placement';
  override readonly summary =
    'cold starts against baselines and against what the store permits';

  override async run(seed: number): Promise<BenchmarkResult> {
    const metrics: Metric[] = [];
    for (const size of USERS) metrics.push(...runUser(size, seed));
    metrics.push(...measureDecisions(seed));
    return {metrics, series: []};
  }
}

function runUser(size: UserSize, seed: number): Metric[] {
  const workload = makeWorkload(size, SIMULATED_HOURS, seed);
  const run = (policies: Parameters<typeof runPolicies>[2]) =>
    runPolicies(size, workload, policies, false);
  const real = runPolicies(size, workload, placementPolicies, true);
  const lru = run(leastRecentlyUsed);
  const random = run((demand: WaitingDemand) => randomTarget(demand, seed));
  const limitMs = unavoidableColdStarts(size, workload);
  const prefix = `placement.${size.name}`;
  const p99 = (values: readonly number[]) => percentile(values, 0.99);
  return [
    ...describe(`${prefix}`, real),
    ...describe(`${prefix}.lru`, lru),
    ...describe(`${prefix}.random`, random),
    ...percentilesOf(`${prefix}.limit`, limitMs),
    {
      name: `${prefix}.p99_by_limit`,
      value: p99(real.coldStartsMs) / p99(limitMs),
      unit: 'ratio',
    },
    {
      name: `${prefix}.p99_by_lru`,
      value: p99(real.coldStartsMs) / p99(lru.coldStartsMs),
      unit: 'ratio',
    },
    {
      name: `${prefix}.p99_by_random`,
      value: p99(real.coldStartsMs) / p99(random.coldStartsMs),
      unit: 'ratio',
    },
  ];
}

function describe(prefix: string, summary: RunSummary): Metric[] {
  const {coldStartsMs, loadsPerServed, refusedShare, idleWhileWaiting} =
    summary;
  return [
    ...percentilesOf(prefix, coldStartsMs),
    {
      name: `${prefix}.idle_while_waiting`,
      value: idleWhileWaiting,
      unit: 'ratio',
    },
    {name: `${prefix}.loads_per_served`, value: loadsPerServed, unit: 'ratio'},
    {name: `${prefix}.refused`, value: refusedShare, unit: 'ratio'},
  ];
}

function percentilesOf(prefix: string, values: readonly number[]): Metric[] {
  return PERCENTILES.map(({label, share}) => ({
    name: `${prefix}.cold_start_${label}`,
    value: percentile(values, share),
    unit: 'ms',
  }));
}
