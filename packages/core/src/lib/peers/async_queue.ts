/** An asynchronous queue. @packageDocumentation */

/**
 * An unbounded queue for one reader, which waits for items by asynchronous
 * iteration.
 */
export class AsyncQueue<T> {
  private readonly items: T[] = [];
  private isClosed = false;
  private wake: (() => void) | undefined;

  /** Number of queued items. */
  get length(): number {
    return this.items.length;
  }

  /**
   * Appends an item.
   *
   * @param item - the item; ignored after {@link AsyncQueue.close}.
   */
  push(item: T): void {
    if (this.isClosed) return;
    this.items.push(item);
    this.wake?.();
  }

  /** Ends the iteration once the queued items have been consumed. */
  close(): void {
    this.isClosed = true;
    this.wake?.();
  }

  /** @returns the items in order until the queue is closed and empty. */
  async *drain(): AsyncGenerator<T, void> {
    for (;;) {
      const item = this.items.shift();
      if (item !== undefined) {
        yield item;
        continue;
      }
      if (this.isClosed) return;
      await new Promise<void>(resolve => {
        this.wake = resolve;
      });
      this.wake = undefined;
    }
  }
}
