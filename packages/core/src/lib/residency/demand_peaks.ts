/** Decaying peaks of the demand for models. @packageDocumentation */

import {Clock} from '../time/clock.js';

/** Peak below which it is forgotten, in requests per second. */
const MIN_PEAK = 0.05;

interface Peak {
  perSecond: number;
  sinceMs: number;
  halfLifeMs: number;
}

/**
 * Remembers how high the demand for each model has been. Demand comes in waves,
 * and a copy that was evicted between two of them has to be loaded again.
 */
export class DemandPeaks {
  private readonly peaks = new Map<string, Peak>();

  /** @param clock - measures the decay. */
  constructor(private readonly clock: Clock) {}

  /** Returns the decayed peak of a model, in requests per second. */
  get(model: string): number {
    const peak = this.peaks.get(model);
    if (peak === undefined) return 0;
    const ageMs = this.clock.now() - peak.sinceMs;
    return peak.perSecond * 2 ** (-ageMs / peak.halfLifeMs);
  }

  /**
   * Records the current demand for a model.
   *
   * @param model - name of the model.
   * @param perSecond - requests per second.
   * @param halfLifeMs - time in which a peak falls to one half.
   */
  record(model: string, perSecond: number, halfLifeMs: number): void {
    const decayed = this.get(model);
    if (perSecond >= decayed && perSecond > MIN_PEAK) {
      const sinceMs = this.clock.now();
      this.peaks.set(model, {perSecond, sinceMs, halfLifeMs});
    } else if (decayed < MIN_PEAK) this.peaks.delete(model);
  }
}
