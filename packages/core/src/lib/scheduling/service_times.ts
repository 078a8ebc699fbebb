/** Measured service times of requests. @packageDocumentation */

/** Weight of a new observation in the exponentially weighted mean. */
const NEWEST_WEIGHT = 0.1;

/** Minimum number of observations for a prediction. */
const MIN_OBSERVATIONS = 8;

interface Mean {
  holdMs: number;
  observations: number;
}

/** Tracks, by model, the mean time that requests hold a batch slot. */
export class ServiceTimes {
  private readonly means = new Map<string, Mean>();

  /**
   * Records the service time of a request.
   *
   * @param model - name of the model that ran.
   * @param holdMs - time that the request held a slot, in milliseconds.
   */
  observe(model: string, holdMs: number): void {
    const known = this.means.get(model);
    if (known === undefined) {
      this.means.set(model, {holdMs, observations: 1});
      return;
    }
    known.holdMs += NEWEST_WEIGHT * (holdMs - known.holdMs);
    known.observations += 1;
  }

  /**
   * Predicts the service time of a request.
   *
   * @param model - name of the model that will run.
   * @returns the expected time in milliseconds; undefined while there are too
   *     few observations.
   */
  expectedMs(model: string): number | undefined {
    const known = this.means.get(model);
    if (known === undefined) return undefined;
    return known.observations < MIN_OBSERVATIONS ? undefined : known.holdMs;
  }
}
