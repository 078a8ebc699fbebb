/** A stand-in for the platform's weight store. @packageDocumentation */

import {TokenBucket} from '@fuchsiacleat/core';
import {StandinOptions, StandinServer} from './standin_server.js';

/** Options of a {@link WeightStoreStandin}. */
export interface WeightStoreOptions extends StandinOptions {
  /** Loads that may start in a second. */
  loadsPerSecond?: number;
  /** Loads that run at full speed at once. */
  fullSpeedLoads?: number;
  /** Bytes per second of one load at full speed. */
  bytesPerSecond?: number;
}

/**
 * Hands out weights at a limited rate: a fetch is answered once the bytes
 * would have been copied.
 */
export class WeightStoreStandin extends StandinServer {
  /** Fetches that were started. */
  fetches = 0;
  /** Fetches that were turned away because the rate was exceeded. */
  rejected = 0;
  /** Divides the speed of every fetch; over 1 the store is slow. */
  slowdown = 1;
  private running = 0;
  private readonly starts: TokenBucket;
  private readonly fullSpeedLoads: number;
  private readonly bytesPerSecond: number;

  constructor(options: WeightStoreOptions = {}) {
    super(options);
    const rate = options.loadsPerSecond ?? 4;
    this.starts = new TokenBucket(this.clock, {rate, burst: rate}, rate);
    this.fullSpeedLoads = options.fullSpeedLoads ?? 4;
    this.bytesPerSecond = options.bytesPerSecond ?? 20 * 1024 ** 3;
    this.app.post('/weights/:version', async c => {
      if (!this.starts.take(1)) {
        this.rejected += 1;
        return c.json({message: 'too many loads a second'}, 429);
      }
      this.starts.settle(1, 1);
      const bytes = Number(c.req.query('bytes') ?? 0);
      await this.copy(bytes, c.req.raw.signal);
      return c.json({bytes});
    });
  }

  private async copy(bytes: number, signal: AbortSignal): Promise<void> {
    this.fetches += 1;
    this.running += 1;
    const crowding = Math.max(1, this.running / this.fullSpeedLoads);
    const seconds = (bytes / this.bytesPerSecond) * crowding * this.slowdown;
    await this.clock.sleep(seconds * 1_000, signal);
    this.running -= 1;
  }
}
