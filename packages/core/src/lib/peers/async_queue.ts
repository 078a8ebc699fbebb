/** A queue between one producer and one consumer. @packageDocumentation */

/** Holds items until they are taken; iterating waits for the next one. */
export class AsyncQueue<T> {
  private readonly items: T[] = [];
  private closed = false;
  private wake: (() => void) | undefined;

  /** Number of items at hand. */
  get length(): number {
    return this.items.length;
  }

  /** @param item - ignored after {@link AsyncQueue.close}. */
  push(item: T): void {
    if (this.closed) return;
    this.items.push(item);
    this.wake?.();
  }

  /** Ends the iteration once the items at hand are taken. */
  close(): void {
    this.closed = true;
    this.wake?.();
  }

  /** @returns the items in order, until the queue is closed and empty. */
  async *drain(): AsyncGenerator<T, void> {
    for (;;) {
      const item = this.items.shift();
      if (item !== undefined) {
        yield item;
        continue;
      }
      if (this.closed) return;
      await new Promise<void>(resolve => {
        this.wake = resolve;
      });
      this.wake = undefined;
    }
  }
}
