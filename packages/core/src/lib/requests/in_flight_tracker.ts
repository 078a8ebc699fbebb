/** Tracks work that a graceful shutdown waits for. @packageDocumentation */

/** Counts the operations in progress on a host. */
export class InFlightTracker {
  private count = 0;
  private readonly listeners: Array<() => void> = [];

  /** Number of operations in progress. */
  get size(): number {
    return this.count;
  }

  /**
   * Registers the start of an operation.
   *
   * @returns a function that registers its end; further calls have no effect.
   */
  begin(): () => void {
    this.count += 1;
    let hasEnded = false;
    return () => {
      if (hasEnded) return;
      hasEnded = true;
      this.count -= 1;
      if (this.count > 0) return;
      for (const listener of this.listeners.splice(0)) listener();
    };
  }

  /** Resolves once no operation is in progress. */
  whenIdle(): Promise<void> {
    if (this.count === 0) return Promise.resolve();
    return new Promise(resolve => this.listeners.push(resolve));
  }
}
