/** How many hosts share what is divided among them. @packageDocumentation */

import {Clock} from '../time/clock.js';

/**
 * How long a count holds at least after it was told. Rates and budgets are held
 * over windows of up to ten seconds: a host that has just gone may have used its
 * part in the window, and a new holder hears the hosts one after the other.
 */
const HOLD_MS = 10_000;

/** The largest of the counts told of late; the newest holds until the next. */
export class HostCensus {
  /** What was told, larger and older ones first. */
  private readonly peaks: Array<{count: number; toldMs: number}> = [];

  /** @param clock - measures how long counts hold. */
  constructor(private readonly clock: Clock) {}

  /** @param count - hosts that someone heard, at least one. */
  note(count: number): void {
    const {peaks} = this;
    while (peaks.length > 0 && peaks.at(-1)!.count <= count) peaks.pop();
    peaks.push({count, toldMs: this.clock.now()});
  }

  /** Hosts that there may be; undefined if nobody has told. */
  get count(): number | undefined {
    const {peaks} = this;
    const sinceMs = this.clock.now() - HOLD_MS;
    while (peaks.length > 1 && peaks[0].toldMs < sinceMs) peaks.shift();
    return peaks[0]?.count;
  }
}
