/** Records what disturbed the hosts, and which stops were planned. @packageDocumentation */

/** Last part of the grace period, as a fraction of it. */
const LAST_PART = 1 / 6;

/** Time span in which something unplanned disturbed a host. */
interface Disturbance {
  host: string;
  fromMs: number;
  toMs: number;
}

/** Planned stop of a host. */
interface PlannedStop {
  host: string;
  atMs: number;
}

/** Keeps every disturbance and planned stop of a run. */
export class DisturbanceBook {
  private readonly disturbances: Disturbance[] = [];
  private readonly stops: PlannedStop[] = [];

  /**
   * @param calmMs - time after a disturbance in which it still excuses a host.
   * @param graceMs - time from a planned stop to the end of its process; targets
   *   that are at work in its last part are an excuse.
   */
  constructor(
    private readonly calmMs: number,
    private readonly graceMs: number,
  ) {}

  /** Records an unplanned disturbance from now on. */
  recordDisturbance(host: string, forMs: number): void {
    const fromMs = performance.now();
    this.disturbances.push({host, fromMs, toMs: fromMs + forMs});
  }

  /** Records a planned stop at this moment. */
  recordStop(host: string): void {
    this.stops.push({host, atMs: performance.now()});
  }

  /**
   * @param host - host that has read a request.
   * @param sentMs - when the request was sent.
   * @param endedMs - when its connection ended.
   * @returns whether nothing that happened excuses the end.
   */
  isCalm(host: string, sentMs: number, endedMs: number): boolean {
    const isDisturbed = this.disturbances.some(
      span =>
        span.host === host &&
        span.fromMs <= endedMs &&
        sentMs <= span.toMs + this.calmMs,
    );
    if (isDisturbed) return false;
    const lastPartMs = this.graceMs * (1 - LAST_PART);
    return !this.stops.some(
      ({atMs, host: stopped}) =>
        stopped === host &&
        sentMs <= atMs + this.graceMs &&
        endedMs >= atMs + lastPartMs,
    );
  }
}
