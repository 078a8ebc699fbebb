/** Detects repeated records. @packageDocumentation */

/**
 * The ids of the latest records of a stream.
 *
 * All readers must forget an id at the same record, or they would disagree on
 * whether a record repeats an earlier one. So the size is fixed and snapshots
 * carry the ids.
 */
export class RecentIds {
  private ids: Set<string>;

  /**
   * @param size - how many ids are remembered.
   * @param ids - the first ids, oldest first.
   */
  constructor(
    private readonly size: number,
    ids: readonly string[] = [],
  ) {
    this.ids = new Set(ids.slice(-size));
  }

  /**
   * Remembers an id.
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

  /** @returns whether the id is remembered. */
  has(id: string): boolean {
    return this.ids.has(id);
  }

  /** Adds ids that are older than all that are remembered. */
  addOlder(ids: readonly string[]): void {
    const newer = [...this.ids];
    const older = ids.filter(id => !this.ids.has(id));
    this.ids = new Set([...older, ...newer].slice(-this.size));
  }

  /** @returns the ids, oldest first. */
  all(): string[] {
    return [...this.ids];
  }
}
