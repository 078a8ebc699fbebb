/** Positions in a log that may come back from an older copy. @packageDocumentation */

/** Offsets of an era lie below this number. */
const OFFSETS_PER_ERA = 1e12;

/** Highest era of a log that has never come back from an older copy. */
export const FIRST_ERA = 1;

/** Where a record of a log is. */
export interface LogPosition {
  /**
   * How often the log came back from an older copy. It then gives out again the
   * offsets of the records that it has lost.
   */
  era: number;
  offset: number;
}

/**
 * Returns a number that rises with era and offset. It is exact in JSON for up
 * to 9,000 eras.
 */
export function revisionOf({era, offset}: LogPosition): number {
  return era * OFFSETS_PER_ERA + offset;
}
