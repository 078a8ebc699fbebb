/** Logs that the event loop was held up. @packageDocumentation */

import {Logger} from './logger.js';

/** Delay of a timer from which the event loop counts as held up. */
const MIN_HELD_MS = 200;

/** Least time between two log lines, in milliseconds. */
const LINE_INTERVAL_MS = 1_000;

/**
 * Detects by late timers that the process has not run or was busy. Meanwhile
 * its connections were not read, which callers and peers take for silence.
 */
export class LoopHoldLog {
  private writtenMs = -Infinity;

  /**
   * @param now - returns the clock time in milliseconds.
   * @param logger - receives at most one line a second.
   * @param onHeld - called with the length of each delay, in milliseconds.
   */
  constructor(
    private readonly now: () => number,
    private readonly logger: Logger,
    private readonly onHeld: (heldMs: number) => void = () => {},
  ) {}

  /**
   * Records a timer that has fired.
   *
   * @param lateMs - its delay beyond its time, in milliseconds.
   */
  recordTimer(lateMs: number): void {
    if (lateMs < MIN_HELD_MS) return;
    const nowMs = this.now();
    // All timers that fell due meanwhile fire one after another.
    if (nowMs - this.writtenMs < LINE_INTERVAL_MS) return;
    this.writtenMs = nowMs;
    this.onHeld(lateMs);
    this.logger.warn('event_loop_held', {held_ms: Math.round(lateMs)});
  }
}
