/** Counts the hosts that share rates, budgets and connections. @packageDocumentation */

import {Clock} from '../time/clock.js';

/**
 * Shortest time for which a recorded count holds. Rates and budgets are
 * enforced over windows of up to ten seconds: a host that has just left may
 * have used its share in the window, and a new lease holder receives the hosts'
 * reports one after the other.
 */
const MIN_HOLD_MS = 10_000;

/**
 * Keeps the largest of the counts recorded lately. The newest count holds until
 * the next one.
 */
export class HostCounter {
  /** Recorded counts, larger and older ones first. */
  private readonly peaks: Array<{count: number; recordedMs: number}> = [];

  /** @param clock - clock for the age of counts. */
  constructor(private readonly clock: Clock) {}

  /**
   * Records a count.
   *
   * @param count - hosts from which the lease holder received reports, at least
   *     one.
   */
  record(count: number): void {
    const {peaks} = this;
    while (peaks.length > 0 && peaks.at(-1)!.count <= count) peaks.pop();
    peaks.push({count, recordedMs: this.clock.now()});
  }

  /** Upper estimate of the number of hosts; undefined if none was recorded. */
  get count(): number | undefined {
    const {peaks} = this;
    const sinceMs = this.clock.now() - MIN_HOLD_MS;
    while (peaks.length > 1 && peaks[0].recordedMs < sinceMs) peaks.shift();
    return peaks[0]?.count;
  }
}
