/** Measures the cost of placement decisions in a zone of the largest size. @packageDocumentation */

import {
  WaitingDemand,
  FixedLoadPermits,
  LoadTimes,
  MemoryLedger,
  PlacementPlanner,
  Random,
  RecordIdGenerator,
  ReplicaCatalog,
  placementPolicies,
} from '@fuchsiacleat/core';
import {Metric} from '../benchmark.js';
import {UserSize, makeWorkload} from './placement_workload.js';
import {percentile} from './placement_run.js';
import {SteppedClock} from './stepped_clock.js';

const LARGE_ZONE: UserSize = {
  name: 'large',
  zones: ['zone-0'],
  enginesPerZone: 90,
  hostsPerZone: 15,
  models: 590,
  adapters: 16_000,
  loadsPerSecond: 4,
  fullSpeedLoads: 4,
};
const WAKES = 2_000;
const RESIDENTS_PER_TARGET = 4;
const WAITING_MODELS = 12;
const MIB = 1024 ** 2;
const GIB = 1024 ** 3;

/** @returns the decision times and the memory in a zone of the largest size. */
export function measureDecisions(seed: number): Metric[] {
  const {declared} = makeWorkload(LARGE_ZONE, 0, seed);
  const random = new Random(seed);
  const beforeBytes = heapBytes();
  const clock = new SteppedClock();
  const catalog = new ReplicaCatalog('zone-0', () => declared);
  const ledger = new MemoryLedger(replica => catalog.kvBytes(replica));
  ledger.setTargets(catalog.targets());
  fill(ledger, catalog, random);
  const demand = new WaitingDemand();
  const times = new LoadTimes();
  const planner = new PlacementPlanner({
    ...{ledger, demand, catalog, clock, times},
    permits: new FixedLoadPermits(clock, () => {
      return {loadsPerSecond: 1e9, maxConcurrentLoads: 1e9};
    }),
    ids: new RecordIdGenerator('large'),
    ...placementPolicies(demand, times),
  });
  const tookMs: number[] = [];
  for (let wake = 0; wake < WAKES; wake++) {
    clock.runUntil(clock.now() + 1_000);
    tookMs.push(decideOnce(planner, demand, clock, random));
  }
  const usedBytes = heapBytes() - beforeBytes;
  // Uses the ledger after the measurement, so that it is not collected before.
  if (ledger.account('zone-0-0') === undefined)
    throw new Error('the ledger has no account of target zone-0-0');
  return [
    {
      name: 'placement.large.decision_p50',
      value: percentile(tookMs, 0.5),
      unit: 'ms',
    },
    {
      name: 'placement.large.decision_p99',
      value: percentile(tookMs, 0.99),
      unit: 'ms',
    },
    {name: 'placement.large.memory', value: usedBytes / MIB, unit: 'MiB'},
  ];
}

function decideOnce(
  planner: PlacementPlanner,
  demand: WaitingDemand,
  clock: SteppedClock,
  random: Random,
): number {
  const nowMs = clock.now();
  const models = Array.from({length: WAITING_MODELS}, () => {
    return `model-${random.int(0, LARGE_ZONE.models - 1)}`;
  });
  for (const model of models) {
    const deadlineMs = nowMs + 30_000;
    demand.set({host: 'h', model, waiting: 1, deadlineMs}, nowMs);
  }
  const startMs = performance.now();
  planner.plan();
  const tookMs = performance.now() - startMs;
  for (const model of models) demand.remove('h', model);
  return tookMs;
}

function fill(
  ledger: MemoryLedger,
  catalog: ReplicaCatalog,
  random: Random,
): void {
  for (const account of ledger.all()) {
    account.canReceiveOrders = true;
    const models = Array.from({length: RESIDENTS_PER_TARGET}, () => {
      return `model-${random.int(0, LARGE_ZONE.models - 1)}`;
    });
    account.applyInventory(
      {
        target: account.spec.name,
        memoryBytes: account.spec.memoryBytes,
        usedBytes: RESIDENTS_PER_TARGET * 16 * GIB,
        slots: 8,
        running: 0,
        highestFencing: 0,
        leaving: false,
        role: 'any',
        onDisk: models.map(model => `${model}.1`),
        inMemory: [],
        residents: [...new Set(models)].map(model => ({
          model,
          version: catalog.spec(model)!.version,
          bytes: 16 * GIB,
          state: 'ready' as const,
          running: 0,
          adapters: Array.from({length: 8}, (unused, index) => {
            return {adapter: `adapter-${index}`, bytes: 200 * MIB};
          }),
        })),
      },
      1,
    );
  }
}

function heapBytes(): number {
  globalThis.gc?.();
  return process.memoryUsage().heapUsed;
}
