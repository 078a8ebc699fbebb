/** Interface to the lasting copy of the quarantine. @packageDocumentation */

import {Result} from 'neverthrow';
import {PartState} from './part_record.js';

/** Content of the archive. */
export interface ArchivedParts {
  states: PartState[];
  /** Parts that an operator has lifted. */
  lifted: string[];
}

/**
 * Keeps the states of quarantined parts while all hosts are down. Writers may
 * race: the last one counts for each part.
 */
export abstract class QuarantineArchive {
  /**
   * Changes when the archive may have lost what was written to it; undefined
   * while that is unknown.
   */
  abstract readonly era: number | undefined;

  /**
   * Reads all parts.
   *
   * @param signal - cancels the read.
   */
  abstract read(
    signal: AbortSignal,
  ): Promise<Result<ArchivedParts, 'unavailable'>>;

  /**
   * Stores states; one without ends and quarantine removes its part.
   *
   * @param states - states of parts.
   * @param signal - cancels the write.
   */
  abstract write(
    states: readonly PartState[],
    signal: AbortSignal,
  ): Promise<Result<void, 'unavailable'>>;
}
