/** Seeded run with mixed faults that checks every promise. @packageDocumentation */

import {Random} from '@fuchsiacleat/core';
import {FaultScenario} from './fault_scenario.js';
import {FaultSchedule} from './fault_schedule.js';
import {LoopLag} from './loop_lag.js';
import {PlacementMonitor} from './placement_monitor.js';
import {
  PromiseVerdict,
  checkPromises,
  undecidedLoads,
} from './promise_checks.js';
import {RequestJournal} from './request_journal.js';

const MEAN_REQUEST_GAP_MS = 40;
const MIN_FAULT_GAP_MS = 300;
const MAX_FAULT_GAP_MS = 2_000;
const HEAL_TIMEOUT_MS = 30_000;
const HEAL_POLL_MS = 100;

/** Options of {@link runFaults}. */
export interface FaultRunOptions {
  seed: number;
  durationMs: number;
}

/** Result of {@link runFaults}. */
export interface FaultRunResult {
  verdicts: PromiseVerdict[];
  requests: number;
  /** Number of requests by the way they ended. */
  ends: Record<string, number>;
  /** Number of requests that were not served, by error code. */
  codes: Record<string, number>;
  /** Number of injections by fault. */
  faults: Record<string, number>;
}

/**
 * Injects all faults while requests of both kinds run on four zones and six
 * hosts, waits for the recovery, and checks every promise.
 *
 * @param options - see {@link FaultRunOptions}.
 */
export async function runFaults({
  seed,
  durationMs,
}: FaultRunOptions): Promise<FaultRunResult> {
  const scenario = new FaultScenario();
  await scenario.start();
  const schedule = new FaultSchedule(scenario, new Random(seed));
  const journal = new RequestJournal(scenario, new Random(seed + 1));
  const monitor = new PlacementMonitor(scenario);
  const lag = new LoopLag();
  const endMs = performance.now() + durationMs;
  await Promise.all([
    injectFaults(schedule, new Random(seed + 2), endMs),
    sendRequests(journal, new Random(seed + 3), endMs),
  ]);
  await journal.waitForAll();
  await waitForRecovery(scenario);
  monitor.stop();
  lag.stop();
  const verdicts = checkPromises({
    scenario,
    schedule,
    journal,
    monitor,
    lag,
  });
  await scenario.cluster.kill();
  return {
    verdicts,
    requests: journal.entries.length,
    ends: countBy(journal.entries.map(({answer}) => answer.end)),
    codes: countBy(journal.entries.flatMap(({answer}) => answer.code ?? [])),
    faults: countBy(schedule.episodes.map(({fault}) => fault)),
  };
}

/** Injects all faults in shuffled rounds, so that none is left out. */
async function injectFaults(
  schedule: FaultSchedule,
  random: Random,
  endMs: number,
): Promise<void> {
  const running: Array<Promise<void>> = [];
  let round: string[] = [];
  while (performance.now() < endMs) {
    if (round.length === 0) round = shuffle(schedule.names, random);
    running.push(schedule.inject(round.pop()!));
    await sleep(random.int(MIN_FAULT_GAP_MS, MAX_FAULT_GAP_MS));
  }
  await Promise.all(running);
}

async function sendRequests(
  journal: RequestJournal,
  random: Random,
  endMs: number,
): Promise<void> {
  while (performance.now() < endMs) {
    journal.send();
    await sleep(random.int(0, 2 * MEAN_REQUEST_GAP_MS));
  }
}

/**
 * Waits until all hosts have the same configuration version and the log holds a
 * decision for every load, or until the timeout.
 */
async function waitForRecovery(scenario: FaultScenario): Promise<void> {
  const endMs = performance.now() + HEAL_TIMEOUT_MS;
  for (;;) {
    const daemons = [...scenario.cluster.daemons.values()];
    const versions = new Set(daemons.map(daemon => daemon.configVersion));
    const isHealed =
      versions.size === 1 && undecidedLoads(scenario).length === 0;
    if (isHealed || performance.now() > endMs) return;
    await sleep(HEAL_POLL_MS);
  }
}

function shuffle<T>(items: readonly T[], random: Random): T[] {
  const rest = [...items];
  const shuffled: T[] = [];
  while (rest.length > 0) {
    const [item] = rest.splice(random.int(0, rest.length - 1), 1);
    shuffled.push(item);
  }
  return shuffled;
}

function countBy(names: readonly string[]): Record<string, number> {
  const counts: Record<string, number> = {};
  for (const name of names) counts[name] = (counts[name] ?? 0) + 1;
  return counts;
}

function sleep(durationMs: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, durationMs));
}
