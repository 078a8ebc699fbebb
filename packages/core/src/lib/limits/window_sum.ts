/** Sum over a sliding window. @packageDocumentation */

import {Clock} from '../time/clock.js';

/** Number of sub-windows that the window is divided into. */
const SUB_WINDOWS = 8;

interface SubWindow {
  /** Number of the sub-window, counted from the origin of the clock. */
  index: number;
  sum: number;
}

/**
 * Sums amounts over a sliding window.
 *
 * The sum also covers up to one sub-window before the window, so it is never
 * too small.
 */
export class WindowSum {
  private readonly subWindows: SubWindow[] = [];

  /**
   * @param clock - measures the window.
   * @param windowMs - length of the window, in milliseconds.
   */
  constructor(
    private readonly clock: Clock,
    private readonly windowMs: number,
  ) {}

  /** Adds an amount at the current time. */
  add(amount: number): void {
    const index = this.index;
    const newest = this.subWindows.at(-1);
    if (newest?.index === index) newest.sum += amount;
    else this.subWindows.push({index, sum: amount});
    this.prune(index);
  }

  /** Sum of the amounts added within the window. */
  get sum(): number {
    this.prune(this.index);
    return this.subWindows.reduce((sum, subWindow) => sum + subWindow.sum, 0);
  }

  private get index(): number {
    return Math.floor((this.clock.now() * SUB_WINDOWS) / this.windowMs);
  }

  private prune(index: number): void {
    const {subWindows: oldestFirst} = this;
    while (oldestFirst.length > 0 && oldestFirst[0].index < index - SUB_WINDOWS)
      oldestFirst.shift();
  }
}
