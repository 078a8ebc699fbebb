/** Requests of one team in the order of their deadlines. @packageDocumentation */

/** An item of a {@link DeadlineLine}. */
export interface WithDeadline {
  /** Clock time in milliseconds. */
  deadlineMs: number;
}

/** Keeps items in the order of their deadlines, earliest first. */
export class DeadlineLine<Item extends WithDeadline> {
  /** Latest first, so that the earliest is popped from the end. */
  private readonly items: Item[] = [];

  /** How many items wait. */
  get length(): number {
    return this.items.length;
  }

  /** @returns the item with the earliest deadline. */
  first(): Item | undefined {
    return this.items.at(-1);
  }

  /** Adds an item; of equal deadlines the earlier one stays first. */
  add(item: Item): void {
    this.items.splice(this.positionOf(item.deadlineMs), 0, item);
  }

  /** @returns how many items go before one with that deadline. */
  ahead(deadlineMs: number): number {
    return this.items.length - this.positionOf(deadlineMs);
  }

  /** Removes an item, if it waits. */
  remove(item: Item): void {
    let at = this.positionOf(item.deadlineMs);
    while (this.items[at]?.deadlineMs === item.deadlineMs) {
      if (this.items[at] === item) this.items.splice(at, 1);
      else at += 1;
    }
  }

  /** @returns every item, earliest first. */
  all(): Item[] {
    return [...this.items].reverse();
  }

  /** @returns index of the first item whose deadline is not later. */
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
