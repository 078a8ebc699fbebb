/** Positions in a log that may come back from an older copy. @packageDocumentation */

/**
 * Number of revisions in an era, which is more than any log has offsets. Both
 * together stay within the integers that a number holds exactly.
 */
const REVISIONS_PER_ERA = 1e12;

/** Position of a record. */
export interface LogPosition {
  /**
   * How often the log came back from an older copy. Offsets are given out again
   * in each era.
   */
  era: number;
  offset: number;
}

/**
 * Returns a number that orders positions over all eras.
 *
 * @param position - the position.
 */
export function revisionOf({era, offset}: LogPosition): number {
  return era * REVISIONS_PER_ERA + offset;
}
