/** Adds up what happened in a sliding window. @packageDocumentation */

import {Clock} from '../time/clock.js';

/** Parts of the window that are kept apart: the sum is never too small. */
const PARTS = 8;

interface Part {
  /** Number of the part since the clock's origin. */
  index: number;
  sum: number;
}

/** A sum over the last window, and up to a part of it more. */
export class WindowSum {
  private readonly parts: Part[] = [];

  /**
   * @param clock - measures the window.
   * @param windowMs - its length, in milliseconds.
   */
  constructor(
    private readonly clock: Clock,
    private readonly windowMs: number,
  ) {}

  /** Adds an amount as of now. */
  add(amount: number): void {
    const index = this.index;
    const newest = this.parts.at(-1);
    if (newest?.index === index) newest.sum += amount;
    else this.parts.push({index, sum: amount});
    this.prune(index);
  }

  /** What was added in the window. */
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
