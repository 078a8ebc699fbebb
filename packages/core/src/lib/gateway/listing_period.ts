/** How long the targets have been listed without a gap. @packageDocumentation */

/** Longest time between two lists without a gap, in milliseconds. */
const MAX_LIST_GAP_MS = 5_000;

/** The period over which current lists of the targets were at hand. */
export class ListingPeriod {
  private startMs = Infinity;
  private endMs = -Infinity;

  /**
   * Records a list.
   *
   * @param asOfMs - clock time at which it was current.
   */
  record(asOfMs: number): void {
    if (asOfMs <= this.endMs) return;
    if (asOfMs - this.endMs > MAX_LIST_GAP_MS) this.startMs = asOfMs;
    this.endMs = asOfMs;
  }

  /**
   * Returns how long lists have been at hand without a gap.
   *
   * @param sinceMs - clock time before which lists don't count.
   * @returns the time in milliseconds; 0 or less if there was none.
   */
  lengthSince(sinceMs: number): number {
    return this.endMs - Math.max(this.startMs, sinceMs);
  }
}
