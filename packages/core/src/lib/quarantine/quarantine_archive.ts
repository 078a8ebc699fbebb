/** Interface to the lasting copy of the quarantine. @packageDocumentation */

import {Archive} from '../archive/archive.js';
import {PartState} from './part_record.js';

/** Content of the archive. */
export interface ArchivedParts {
  states: PartState[];
  /** Parts that an operator has lifted. */
  lifted: string[];
}

/**
 * Keeps the states of quarantined parts while all hosts are down. Writers may
 * race: the last one counts for each part. A state without ends and quarantine
 * removes its part.
 */
export abstract class QuarantineArchive extends Archive<
  ArchivedParts,
  PartState
> {}
