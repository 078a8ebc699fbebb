/** Spaces out the requests to a target. @packageDocumentation */

/**
 * Lowest rate that is scheduled, in requests per second. A target that takes
 * nothing must be asked now and then whether it still does not.
 */
const MIN_PER_SECOND = 0.2;

/** Requests that may be sent at once, as seconds of the rate, besides one. */
const BURST_S = 0.25;

const MS_PER_SECOND = 1_000;

/** How closely a {@link SendSchedule} keeps to its rate. */
export const PACE = {
  /** A few requests may be sent at once after a pause. */
  bursts: 'bursts',
  /** Two requests are never closer than the rate says. */
  strict: 'strict',
} as const;

/** One of {@link PACE}. */
export type Pace = (typeof PACE)[keyof typeof PACE];

/**
 * Grants requests at a rate, in the order in which they are asked for. A
 * request that cannot be sent now reserves a time in the near future.
 */
export class SendSchedule {
  private intervalMs: number;
  private readonly burstMs: number;
  /** Clock time at which the next request is due at an even pace. */
  private dueMs: number;

  /**
   * @param nowMs - clock time. The first request is granted one interval later,
   *     as it is not known what was sent before.
   * @param perSecond - requests per second.
   * @param pace - see {@link PACE}.
   */
  constructor(
    nowMs: number,
    perSecond: number,
    private readonly pace: Pace = PACE.bursts,
  ) {
    this.intervalMs = intervalOf(perSecond);
    this.burstMs = pace === PACE.strict ? 0 : BURST_S * MS_PER_SECOND;
    this.dueMs = nowMs + this.intervalMs + this.burstMs;
  }

  /**
   * Changes the rate.
   *
   * @param nowMs - clock time.
   * @param perSecond - requests per second.
   */
  setRate(nowMs: number, perSecond: number): void {
    const intervalMs = intervalOf(perSecond);
    if (intervalMs === this.intervalMs) return;
    this.intervalMs = intervalMs;
    // What is reserved already would come on top of an earlier time.
    if (this.pace === PACE.strict) return;
    this.dueMs = Math.min(this.dueMs, nowMs + intervalMs + this.burstMs);
  }

  /**
   * Reserves the next request.
   *
   * @param nowMs - clock time.
   * @param maxWaitMs - longest wait for which the request is reserved.
   * @returns whether it is, and the time until it may be sent.
   */
  reserve(
    nowMs: number,
    maxWaitMs: number,
  ): {isGranted: boolean; waitMs: number} {
    const dueMs = Math.max(this.dueMs, nowMs);
    const waitMs = Math.max(0, dueMs - this.burstMs - nowMs);
    if (waitMs > maxWaitMs) return {isGranted: false, waitMs};
    this.dueMs = dueMs + this.intervalMs;
    return {isGranted: true, waitMs};
  }
}

function intervalOf(perSecond: number): number {
  return MS_PER_SECOND / Math.max(MIN_PER_SECOND, perSecond);
}
