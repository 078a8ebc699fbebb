/** Simulates a workload under a set of policies. @packageDocumentation */

import {FixedLoadPermits, zoneCapacity} from '@fuchsiacleat/core';
import {FakeStore, fastestLoads} from './fake_store.js';
import {UserSize, Workload, weightsOf} from './placement_workload.js';
import {
  PolicyFactory,
  SimulatedZone,
  WARM_UP_MS,
  ZoneCounts,
} from './simulated_zone.js';
import {SteppedClock} from './stepped_clock.js';

const ADAPTER_LOAD_MS = 5;
const POLL_INTERVAL_MS = 60_000;

/** Result of a run, over all zones. */
export interface RunSummary {
  coldStartsMs: number[];
  loadsPerServed: number;
  refusedShare: number;
  /** Fraction of the total target time that was idle while requests waited. */
  idleWhileWaiting: number;
}

/**
 * Runs a workload under a set of policies.
 *
 * @param size - size of the user's system.
 * @param workload - declarations and requests.
 * @param policies - creates the policies of each zone.
 * @param forwards - whether requests are forwarded to a free replica in
 *   another zone while their own zone has none ready.
 * @returns the result over all zones.
 */
export function runPolicies(
  size: UserSize,
  {declared, items, endMs}: Workload,
  policies: PolicyFactory,
  forwards: boolean,
): RunSummary {
  const clock = new SteppedClock();
  const {loadsPerSecond, fullSpeedLoads} = size;
  const store = new FakeStore(clock, fullSpeedLoads);
  const part = zoneCapacity(
    {loadsPerSecond, maxConcurrentLoads: fullSpeedLoads},
    size.zones.length,
  );
  const zones = new Map<string, SimulatedZone>();
  for (const zone of size.zones) {
    const permits = new FixedLoadPermits(clock, () => part);
    const options = {zone, declared, clock, store, permits, policies};
    zones.set(zone, new SimulatedZone(options));
  }
  const poll = () => {
    for (const zone of zones.values()) zone.poll();
    clock.after(POLL_INTERVAL_MS, poll);
  };
  poll();
  for (const item of items) {
    clock.runUntil(item.atMs);
    const own = zones.get(item.zone)!;
    const sooner =
      forwards && !own.canServe(item.model)
        ? [...zones.values()].find(zone => zone.canServe(item.model))
        : undefined;
    (sooner ?? own).arrive(item);
  }
  clock.runUntil(endMs);
  const targets = size.zones.length * size.enginesPerZone;
  const counts = [...zones.values()].map(zone => zone.counts);
  return summarise(counts, targets * endMs);
}

/**
 * @returns the lower bound of the cold start time of each wake-up: the fastest
 *   load that the store permits for the same arrivals, in milliseconds.
 */
export function unavoidableColdStarts(
  size: UserSize,
  {declared, items}: Workload,
): number[] {
  const wakes = items.filter(
    ({isFirstOfWake, atMs}) => isFirstOfWake && atMs >= WARM_UP_MS,
  );
  const bases = wakes.filter(item => !item.baseAwake);
  const loads = bases.map(({atMs, model}) => {
    const {version} = declared.get('model', model)!;
    return {atMs, bytes: weightsOf(declared, version)};
  });
  const {loadsPerSecond, fullSpeedLoads} = size;
  const baseMs = fastestLoads(loads, loadsPerSecond, fullSpeedLoads);
  const adapters = new Array<number>(wakes.length - bases.length);
  return [...baseMs, ...adapters.fill(ADAPTER_LOAD_MS)];
}

/** @returns the percentile of the values at a share between 0 and 1. */
export function percentile(values: readonly number[], share: number): number {
  const sorted = [...values].sort((a, b) => a - b);
  const index = Math.ceil(share * sorted.length) - 1;
  return sorted[Math.max(0, index)];
}

function summarise(
  counts: readonly ZoneCounts[],
  targetTimeMs: number,
): RunSummary {
  const sum = (of: (count: ZoneCounts) => number) =>
    counts.reduce((total, count) => total + of(count), 0);
  const served = sum(count => count.served);
  const refused = sum(count => count.refused);
  return {
    coldStartsMs: counts.flatMap(count => count.coldStartsMs),
    loadsPerServed: sum(count => count.loads) / served,
    refusedShare: refused / (served + refused),
    idleWhileWaiting: sum(count => count.idleWhileWaitingMs) / targetTimeMs,
  };
}
