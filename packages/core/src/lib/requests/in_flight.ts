/** Counts work that a graceful shutdown waits for. @packageDocumentation */

/** The work in progress at a host. */
export class InFlight {
  private count = 0;
  private readonly listeners: Array<() => void> = [];

  /** Pieces of work in progress. */
  get size(): number {
    return this.count;
  }

  /** @returns a function that ends the piece of work; it counts once. */
  enter(): () => void {
    this.count += 1;
    let ended = false;
    return () => {
      if (ended) return;
      ended = true;
      this.count -= 1;
      if (this.count > 0) return;
      for (const listener of this.listeners.splice(0)) listener();
    };
  }

  /** @returns a promise that resolves once nothing is in progress. */
  idle(): Promise<void> {
    if (this.count === 0) return Promise.resolve();
    return new Promise(resolve => this.listeners.push(resolve));
  }
}
