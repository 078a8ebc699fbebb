/** How long requests hold a batch slot. @packageDocumentation */

/** Weight of the newest observation in the mean. */
const NEWEST_WEIGHT = 0.1;

/** Observations before a prediction is made. */
const MIN_OBSERVATIONS = 8;

interface Mean {
  holdMs: number;
  observations: number;
}

/** Measured times by model. */
export class ServiceTimes {
  private readonly means = new Map<string, Mean>();

  /**
   * @param model - what ran.
   * @param holdMs - for how long it held a slot, in milliseconds.
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
   * @param model - what will run.
   * @returns the expected time in milliseconds; undefined while too little
   *     was seen.
   */
  expectedMs(model: string): number | undefined {
    const known = this.means.get(model);
    if (known === undefined) return undefined;
    return known.observations < MIN_OBSERVATIONS ? undefined : known.holdMs;
  }
}
