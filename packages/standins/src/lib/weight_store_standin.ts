/** Fake weight store of the platform. @packageDocumentation */

import {TokenBucket} from '@fuchsiacleat/core';
import {StandinOptions, StandinServer} from './standin_server.js';

/** Options of a {@link WeightStoreStandin}. */
export interface WeightStoreOptions extends StandinOptions {
  /** Number of loads that may start per second. */
  loadsPerSecond?: number;
  /** Number of concurrent loads that run at full speed. */
  fullSpeedLoads?: number;
  /** Speed of one load at full speed, in bytes per second. */
  bytesPerSecond?: number;
}

/**
 * Weight store with limited bandwidth: it answers a fetch after the time that
 * copying the bytes would take.
 */
export class WeightStoreStandin extends StandinServer {
  /** Number of fetches that were started. */
  fetches = 0;
  /** Number of fetches that were rejected by the rate limit. */
  rejected = 0;
  /** Factor by which each fetch takes longer than usual. */
  slowdown = 1;
  private running = 0;
  private readonly startLimiter: TokenBucket;
  private readonly fullSpeedLoads: number;
  private readonly bytesPerSecond: number;

  constructor(options: WeightStoreOptions = {}) {
    super(options);
    const rate = options.loadsPerSecond ?? 4;
    this.startLimiter = new TokenBucket(this.clock, {rate, burst: rate}, rate);
    this.fullSpeedLoads = options.fullSpeedLoads ?? 4;
    this.bytesPerSecond = options.bytesPerSecond ?? 20 * 1024 ** 3;
    this.app.post('/weights/:version', async c => {
      if (!this.startLimiter.take(1)) {
        this.rejected += 1;
        return c.json({message: 'too many loads a second'}, 429);
      }
      this.startLimiter.settle(1, 1);
      const bytes = Number(c.req.query('bytes') ?? 0);
      await this.copy(bytes, c.req.raw.signal);
      return c.json({bytes});
    });
  }

  private async copy(bytes: number, signal: AbortSignal): Promise<void> {
    this.fetches += 1;
    this.running += 1;
    const contention = Math.max(1, this.running / this.fullSpeedLoads);
    const seconds = (bytes / this.bytesPerSecond) * contention * this.slowdown;
    await this.clock.sleep(seconds * 1_000, signal);
    this.running -= 1;
  }
}
