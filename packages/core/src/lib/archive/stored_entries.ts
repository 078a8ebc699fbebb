/** Remembers which entries an archive holds. @packageDocumentation */

/**
 * Entries that an archive holds in one era. An archive of a newer era may have
 * lost any of them.
 */
export class StoredEntries<Entry> {
  private readonly entries = new Map<string, Entry>();

  /**
   * @param archive - the archive.
   * @param era - era in which the entries are read or written. Calls overlap, so
   *     that after a read the archive may know a newer one already.
   */
  constructor(
    private readonly archive: {readonly era: number},
    private readonly era = archive.era,
  ) {}

  /** Whether the archive is known to be still in that era. */
  get isCurrent(): boolean {
    return this.era === this.archive.era;
  }

  /** Returns an entry; undefined if it is not known to be stored. */
  get(key: string): Entry | undefined {
    return this.entries.get(key);
  }

  /** Records that an entry was read or written. */
  set(key: string, entry: Entry): void {
    this.entries.set(key, entry);
  }

  /** Records that an entry was removed. */
  delete(key: string): void {
    this.entries.delete(key);
  }

  /** Returns the keys of all entries. */
  keys(): string[] {
    return [...this.entries.keys()];
  }
}
