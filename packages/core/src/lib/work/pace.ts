/** Relative pace of a target. @packageDocumentation */

import {Clock} from '../time/clock.js';

/** Number of own observations that are kept; a stream yields some 20 a second. */
const MAX_OBSERVATIONS = 8;

/** Fewest observations of all hosts that say anything: a median of fewer follows an outlier. */
const MIN_OBSERVATIONS = 3;

/** Time after which an observation is forgotten: targets change every 600 ms. */
const OBSERVATION_LIFETIME_MS = 2_000;

/** Time for which the observations of all hosts are used. */
const PUBLISHED_LIFETIME_MS = 1_000;

/** Largest factor of one observation, as a logarithm to base 2. */
const MAX_LOG = 3;

/**
 * Deviation below which a target counts as typical, as a logarithm to base 2:
 * pauses of equal targets vary by this much.
 */
const TYPICAL_LOG = 0.3;

/** Observations of a target: their median as a logarithm to base 2. */
export interface PaceObservations {
  log: number;
  count: number;
}

/**
 * Estimates how long a target takes compared with its service: 1 is typical, 2
 * takes twice as long.
 */
export class Pace {
  private readonly logs = new Float64Array(MAX_OBSERVATIONS);
  private readonly timesMs = new Float64Array(MAX_OBSERVATIONS).fill(-Infinity);
  private readonly sorted = new Float64Array(MAX_OBSERVATIONS);
  private next = 0;
  private newestMs = -Infinity;
  private ownLog = 0;
  private ownCount = 0;
  private publishedLog = 0;
  private publishedCount = 0;
  private publishedMs = -Infinity;

  /** @param clock - measures the age of observations. */
  constructor(private readonly clock: Clock) {}

  /**
   * Adds an observation of this host.
   *
   * @param ratio - observed duration, divided by the typical one.
   */
  record(ratio: number): void {
    const log = Math.log2(Math.max(Number.MIN_VALUE, ratio));
    const nowMs = this.clock.now();
    this.logs[this.next] = Math.max(-MAX_LOG, Math.min(MAX_LOG, log));
    this.timesMs[this.next] = nowMs;
    this.next = (this.next + 1) % MAX_OBSERVATIONS;
    this.newestMs = nowMs;
    this.updateMedian(nowMs);
  }

  /** Median and number of this host's recent observations. */
  get own(): PaceObservations {
    const nowMs = this.clock.now();
    if (this.ownCount > 0) this.updateMedian(nowMs);
    return {log: this.ownLog, count: this.ownCount};
  }

  /**
   * Stores the observations of all hosts.
   *
   * @param observations - their average and number.
   */
  setPublished({log, count}: PaceObservations): void {
    this.publishedLog = log;
    this.publishedCount = count;
    this.publishedMs = this.clock.now();
  }

  /** Duration factor; 1 if the target is typical or too little is known. */
  get factor(): number {
    const nowMs = this.clock.now();
    const isOwnCurrent = nowMs - this.newestMs < OBSERVATION_LIFETIME_MS;
    const own = isOwnCurrent ? this.ownCount : 0;
    const isCurrent = nowMs - this.publishedMs < PUBLISHED_LIFETIME_MS;
    const published = isCurrent ? this.publishedCount : 0;
    const count = own + published;
    if (count < MIN_OBSERVATIONS) return 1;
    const sum = own * this.ownLog + published * this.publishedLog;
    const log = sum / count;
    return Math.abs(log) < TYPICAL_LOG ? 1 : 2 ** log;
  }

  private updateMedian(nowMs: number): void {
    let count = 0;
    for (let i = 0; i < MAX_OBSERVATIONS; i++) {
      if (nowMs - this.timesMs[i] >= OBSERVATION_LIFETIME_MS) continue;
      let at = count++;
      for (; at > 0 && this.sorted[at - 1] > this.logs[i]; at--)
        this.sorted[at] = this.sorted[at - 1];
      this.sorted[at] = this.logs[i];
    }
    this.ownCount = count;
    const middle = count >> 1;
    if (count === 0) this.ownLog = 0;
    else if (count % 2 === 1) this.ownLog = this.sorted[middle];
    else this.ownLog = (this.sorted[middle - 1] + this.sorted[middle]) / 2;
  }
}
