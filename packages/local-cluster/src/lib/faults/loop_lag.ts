/** Measures the event loop lag of this process. @packageDocumentation */

const SAMPLE_INTERVAL_MS = 10;

/** Samples how late timers run. */
export class LoopLag {
  private readonly samples: Array<{atMs: number; lagMs: number}> = [];
  private lastMs = performance.now();
  private readonly timer = setInterval(() => this.sample(), SAMPLE_INTERVAL_MS);

  /** Stops sampling. */
  stop(): void {
    clearInterval(this.timer);
  }

  /** @returns the total lag within a time window, in milliseconds. */
  lagWithin(fromMs: number, toMs: number): number {
    return this.samples
      .filter(({atMs}) => atMs >= fromMs && atMs <= toMs + SAMPLE_INTERVAL_MS)
      .reduce((sum, {lagMs}) => sum + lagMs, 0);
  }

  private sample(): void {
    const nowMs = performance.now();
    const lagMs = nowMs - this.lastMs - SAMPLE_INTERVAL_MS;
    this.lastMs = nowMs;
    if (lagMs > 1) this.samples.push({atMs: nowMs, lagMs});
  }
}
