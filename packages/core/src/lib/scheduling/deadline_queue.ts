/** Queue ordered by deadline. @packageDocumentation */

/** An item of a {@link DeadlineQueue}. */
export interface DeadlineItem {
  /** Deadline as clock time, in milliseconds. */
  deadlineMs: number;
}

/** A queue whose items are ordered by deadline, earliest first. */
export class DeadlineQueue<Item extends DeadlineItem> {
  /** Sorted latest first, so that the first item is removed from the end. */
  private readonly items: Item[] = [];

  /** Number of items in the queue. */
  get length(): number {
    return this.items.length;
  }

  /** Returns the item with the earliest deadline, if there is one. */
  first(): Item | undefined {
    return this.items.at(-1);
  }

  /** Adds an item, after those that have the same deadline. */
  add(item: Item): void {
    this.items.splice(this.positionOf(item.deadlineMs), 0, item);
  }

  /** Returns the number of items that precede one with the given deadline. */
  countAhead(deadlineMs: number): number {
    return this.items.length - this.positionOf(deadlineMs);
  }

  /** Removes an item, if it is in the queue. */
  remove(item: Item): void {
    let at = this.positionOf(item.deadlineMs);
    while (this.items[at]?.deadlineMs === item.deadlineMs) {
      if (this.items[at] === item) this.items.splice(at, 1);
      else at += 1;
    }
  }

  /** Returns all items, earliest deadline first. */
  all(): Item[] {
    return [...this.items].reverse();
  }

  /** Returns the index of the first item whose deadline is not later. */
  private positionOf(deadlineMs: number): number {
    let low = 0;
    let high = this.items.length;
    while (low < high) {
      const middle = (low + high) >>> 1;
      if (this.items[middle].deadlineMs > deadlineMs) low = middle + 1;
      else high = middle;
    }
    return low;
  }
}
