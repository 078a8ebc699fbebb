/** The pace of targets over the time for which copies stay. @packageDocumentation */

import {Clock} from '../time/clock.js';
import {PaceObservations} from '../work/pace.js';
import {ResidencyAccount} from './residency_account.js';

/**
 * Time constant of the average. A copy stays for longer than the 600 ms for
 * which a target may be slow; a pace that lasts is learnt within seconds.
 */
const AVERAGING_MS = 5_000;

/** Fewest observations of all hosts that say anything about a target. */
const MIN_OBSERVATIONS = 3;

/** Weight of a typical pace, as observed time: one slow moment says little. */
const TYPICAL_WEIGHT_MS = 500;

/** Longest time between two observations that counts. */
const MAX_INTERVAL_MS = 500;

/** Largest factor either way; a target cannot be thought to have no capacity. */
const MAX_FACTOR = 4;

interface Average {
  startedMs: number;
  recordedMs: number;
  weightedLog: number;
  weightMs: number;
}

/** Averages the pace of each target of a service. */
export class LastingPace {
  private readonly averages = new Map<string, Average>();

  /** @param clock - weights observations by their age. */
  constructor(private readonly clock: Clock) {}

  /**
   * Returns the duration factor of a target.
   *
   * @param account - the target.
   * @returns 1 for a typical target, 2 for one that takes twice as long.
   */
  factor({id, target}: ResidencyAccount): number {
    const average = this.averages.get(id);
    if (average?.startedMs !== target.registration.startedMs) return 1;
    const {weightedLog, weightMs} = average;
    const factor = 2 ** (weightedLog / (weightMs + TYPICAL_WEIGHT_MS));
    return Math.min(MAX_FACTOR, Math.max(1 / MAX_FACTOR, factor));
  }

  /**
   * Adds the present pace of a target. Targets without requests are not
   * observed, and keep their average.
   *
   * @param account - the target.
   * @param pace - observations of all hosts, if there are any.
   */
  record(
    {id, target}: ResidencyAccount,
    pace: PaceObservations | undefined,
  ): void {
    if (pace === undefined || pace.count < MIN_OBSERVATIONS) return;
    const nowMs = this.clock.now();
    const {startedMs} = target.registration;
    let average = this.averages.get(id);
    if (average?.startedMs !== startedMs) {
      average = {startedMs, recordedMs: nowMs, weightedLog: 0, weightMs: 0};
      this.averages.set(id, average);
    }
    const elapsedMs = Math.min(MAX_INTERVAL_MS, nowMs - average.recordedMs);
    const decay = Math.exp(-elapsedMs / AVERAGING_MS);
    average.weightedLog = average.weightedLog * decay + pace.log * elapsedMs;
    average.weightMs = average.weightMs * decay + elapsedMs;
    average.recordedMs = nowMs;
  }

  /** Removes the averages of targets that are gone. */
  retain(ids: ReadonlySet<string>): void {
    for (const id of this.averages.keys())
      if (!ids.has(id)) this.averages.delete(id);
  }
}
