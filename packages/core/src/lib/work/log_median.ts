/** A running median. @packageDocumentation */

/** Step of the estimate for each new value, as a factor of 1.02. */
const STEP = Math.log(1.02);

/** Larger step for the first values, divided by their number. */
const FIRST_STEP = 1;

/** Smallest value that is counted; logarithms of zero are not defined. */
const MIN_VALUE = 0.1;

/**
 * Tracks the median of positive values. A single outlier moves it by no more
 * than one step, whatever its size.
 */
export class LogMedian {
  private median: number;
  private count = 0;

  /** @param initial - the value until one is recorded. */
  constructor(initial: number) {
    this.median = initial;
  }

  /** Median of the values so far. */
  get value(): number {
    return this.median;
  }

  /** Adds a value. */
  record(value: number): void {
    const counted = Math.max(MIN_VALUE, value);
    this.count += 1;
    if (this.count === 1) {
      this.median = counted;
      return;
    }
    const step = Math.max(STEP, FIRST_STEP / this.count);
    const change = Math.log(counted / this.median);
    this.median *= Math.exp(Math.max(-step, Math.min(step, change)));
  }
}
