/** The clock of the operating system. @packageDocumentation */

import {Clock, Timer} from './clock.js';

const NANOS_PER_MS = 1e6;

/**
 * A {@link Clock} that reads the operating system's monotonic and wall clocks.
 */
export class SystemClock extends Clock {
  override now(): number {
    return Number(process.hrtime.bigint()) / NANOS_PER_MS;
  }

  override epochNow(): number {
    return Date.now();
  }

  override after(delayMs: number, callback: () => void): Timer {
    const handle = setTimeout(callback, Math.max(0, delayMs));
    return {cancel: () => clearTimeout(handle)};
  }
}
