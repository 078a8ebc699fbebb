/** Sum over a sliding window. @packageDocumentation */

import {Clock} from '../time/clock.js';

/** Number of sub-windows that the window is divided into. */
const PARTS = 8;

interface Part {
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
  private readonly parts: Part[] = [];

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
    const newest = this.parts.at(-1);
    if (newest?.index === index) newest.sum += amount;
    else this.parts.push({index, sum: amount});
    this.prune(index);
  }

  /** Sum of the amounts added within the window. */
  get sum(): number {
    this.prune(this.index);
    return this.parts.reduce((sum, part) => sum + part.sum, 0);
  }

  private get index(): number {
    return Math.floor((this.clock.now() * PARTS) / this.windowMs);
  }

  private prune(index: number): void {
    const {parts} = this;
    while (parts.length > 0 && parts[0].index < index - PARTS) parts.shift();
  }
}
