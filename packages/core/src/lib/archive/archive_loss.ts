/** Notices that an archive may have lost entries. @packageDocumentation */

/**
 * Compares the era in which an archive was last known with its newest one. What
 * was read or written in an earlier era may be lost.
 */
export class ArchiveLoss {
  private checkedEra: number | undefined;

  /** @param archive - the archive. */
  constructor(private readonly archive: {readonly era: number}) {}

  /**
   * Records a read. Calls overlap, so that the archive may know a newer era by
   * now.
   *
   * @param era - era of the answer.
   */
  recordRead(era: number): void {
    this.checkedEra = era;
  }

  /**
   * Returns whether entries may have been lost since the last read or call, and
   * counts them as written again from now on.
   */
  take(): boolean {
    const {era} = this.archive;
    const isLost = era !== this.checkedEra;
    this.checkedEra = era;
    return isLost;
  }
}
