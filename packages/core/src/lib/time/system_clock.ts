/** The clock of the operating system. @packageDocumentation */

import {Clock, Timer} from './clock.js';

const NANOS_PER_MS = 1e6;

/**
 * A {@link Clock} that reads the operating system's monotonic and wall clocks.
 */
export class SystemClock extends Clock {
  /**
   * @param call - calls the callback of each timer, for example to handle its
   *     errors; by default they end the process.
   * @param onFired - called with the delay of each timer beyond its time, in
   *     milliseconds.
   */
  constructor(
    private readonly call: (callback: () => void) => void = callback =>
      callback(),
    private readonly onFired: (lateMs: number) => void = () => {},
  ) {
    super();
  }

  override now(): number {
    return Number(process.hrtime.bigint()) / NANOS_PER_MS;
  }

  override epochNow(): number {
    return Date.now();
  }

  override after(delayMs: number, callback: () => void): Timer {
    const dueMs = this.now() + Math.max(0, delayMs);
    const fire = () => {
      this.onFired(this.now() - dueMs);
      this.call(callback);
    };
    const handle = setTimeout(fire, Math.max(0, delayMs));
    return {cancel: () => clearTimeout(handle)};
  }
}
