/** Mean time for which a request occupies a slot. @packageDocumentation */

import {Clock} from '../time/clock.js';

/** Mean time that is assumed before any was observed. */
const TYPICAL_SLOT_SECONDS = 1;

/** Requests that the typical value counts for; real traffic outweighs it in a second. */
const TYPICAL_WEIGHT = 2;

/**
 * Time constant of the average. The rates that hosts report lag by 6 s; over
 * several times that, the errors of rising and of falling demand cancel out.
 */
const AVERAGING_MS = 30_000;

/** Longest time between two observations that counts. */
const MAX_INTERVAL_MS = 1_000;

const MS_PER_SECOND = 1_000;

/**
 * Averages the time for which requests of a service occupy a slot of a target of
 * typical pace: by Little's law, the requests in flight divided by their rate,
 * where nothing queues.
 */
export class SlotTime {
  private inFlight = 0;
  private requests = 0;
  private recordedMs: number | undefined;

  /** @param clock - weights observations by their age. */
  constructor(private readonly clock: Clock) {}

  /** The mean time, in seconds. */
  get seconds(): number {
    const slotSeconds = this.inFlight + TYPICAL_WEIGHT * TYPICAL_SLOT_SECONDS;
    return slotSeconds / (this.requests + TYPICAL_WEIGHT);
  }

  /**
   * Adds an observation, which holds for the time since the last one.
   *
   * @param inFlight - requests in flight, divided by the pace of their targets.
   * @param perSecond - requests per second for the same models.
   */
  record(inFlight: number, perSecond: number): void {
    const nowMs = this.clock.now();
    const elapsedMs = Math.min(
      MAX_INTERVAL_MS,
      nowMs - (this.recordedMs ?? nowMs),
    );
    this.recordedMs = nowMs;
    if (perSecond <= 0) return;
    const decay = Math.exp(-elapsedMs / AVERAGING_MS);
    const seconds = elapsedMs / MS_PER_SECOND;
    this.inFlight = this.inFlight * decay + inFlight * seconds;
    this.requests = this.requests * decay + perSecond * seconds;
  }
}
