/** Detection of repeated records. @packageDocumentation */

/**
 * Bounded set of the ids of the latest records of a stream.
 *
 * All readers must evict an id at the same record, otherwise they would
 * disagree on whether a later record is a repetition. The size is therefore
 * fixed, and snapshots contain the ids.
 */
export class RecentIds {
  private ids: Set<string>;

  /**
   * @param size - maximum number of ids.
   * @param ids - initial ids, oldest first.
   */
  constructor(
    private readonly size: number,
    ids: readonly string[] = [],
  ) {
    this.ids = new Set(ids.slice(-size));
  }

  /**
   * Adds an id and evicts the oldest one if the set is full.
   *
   * @returns whether the id is new.
   */
  add(id: string): boolean {
    if (this.ids.has(id)) return false;
    this.ids.add(id);
    if (this.ids.size > this.size) {
      const oldest = this.ids.values().next().value!;
      this.ids.delete(oldest);
    }
    return true;
  }

  /** Returns whether the set contains an id. */
  has(id: string): boolean {
    return this.ids.has(id);
  }

  /** Adds ids that are older than all ids in the set. */
  addOlder(ids: readonly string[]): void {
    const newer = [...this.ids];
    const older = ids.filter(id => !this.ids.has(id));
    this.ids = new Set([...older, ...newer].slice(-this.size));
  }

  /** Returns the ids, oldest first. */
  all(): string[] {
    return [...this.ids];
  }
}
