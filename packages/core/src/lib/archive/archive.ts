/** Interface to a lasting record that may come back from an older copy. @packageDocumentation */

import {Result} from 'neverthrow';

/** Content of an archive, as of one era. */
export interface ArchiveContent<Content> {
  /** Era of the answer that the content comes from. */
  era: number;
  content: Content;
}

/**
 * Keeps what must outlast all hosts. It may come back from an older copy, in
 * which the newest entries are missing.
 */
export abstract class Archive<Content, Entry> {
  /**
   * Newest era of the archive that is known. It rises each time that the archive
   * may have lost what was written to it.
   */
  abstract readonly era: number;

  /**
   * Reads all entries.
   *
   * @param signal - cancels the read.
   */
  abstract read(
    signal: AbortSignal,
  ): Promise<Result<ArchiveContent<Content>, 'unavailable'>>;

  /**
   * Stores entries.
   *
   * @param entries - the entries.
   * @param signal - cancels the write.
   */
  abstract write(
    entries: readonly Entry[],
    signal: AbortSignal,
  ): Promise<Result<void, 'unavailable'>>;
}
