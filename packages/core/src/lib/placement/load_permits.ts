/** Limits how many loads from the weight store start and run. @packageDocumentation */

import {Clock} from '../time/clock.js';

/** Capacity of the weight store, or a zone's share of it. */
export interface StoreCapacity {
  loadsPerSecond: number;
  /** Number of concurrent loads that the store serves at full speed. */
  maxConcurrentLoads: number;
}

/** Limits a zone's loads to its share of the store's capacity. */
export abstract class LoadPermits {
  /**
   * Acquires a permit if one is free; it must be released when the load ends.
   *
   * @returns whether the load may start now.
   */
  abstract tryAcquire(): boolean;

  /** Releases the permit of a load that has ended. */
  abstract release(): void;

  /** Returns the time until a permit may be free, in milliseconds. */
  abstract waitMs(): number;
}

/**
 * Limits a zone to a fixed share of the store's capacity, with a token bucket
 * for starts and a cap on concurrent loads.
 */
export class FixedLoadPermits extends LoadPermits {
  private runningLoads = 0;
  private tokens: number;
  private lastRefillMs: number;

  /**
   * Creates the permits of a zone.
   *
   * @param clock - source of time.
   * @param capacity - returns this zone's share, see {@link zoneCapacity}.
   */
  constructor(
    private readonly clock: Clock,
    private readonly capacity: () => StoreCapacity,
  ) {
    super();
    this.tokens = 1;
    this.lastRefillMs = clock.now();
  }

  override tryAcquire(): boolean {
    this.refill();
    if (
      this.runningLoads >= this.capacity().maxConcurrentLoads ||
      this.tokens < 1
    )
      return false;
    this.runningLoads += 1;
    this.tokens -= 1;
    return true;
  }

  override release(): void {
    this.runningLoads -= 1;
  }

  override waitMs(): number {
    this.refill();
    if (this.tokens >= 1) return 0;
    return ((1 - this.tokens) / this.capacity().loadsPerSecond) * 1_000;
  }

  private refill(): void {
    const nowMs = this.clock.now();
    const {loadsPerSecond, maxConcurrentLoads: atOnce} = this.capacity();
    const elapsedS = (nowMs - this.lastRefillMs) / 1_000;
    const burst = Math.max(1, Math.min(atOnce, loadsPerSecond));
    this.tokens = Math.min(burst, this.tokens + elapsedS * loadsPerSecond);
    this.lastRefillMs = nowMs;
  }
}

/**
 * Returns one zone's share of the store's capacity.
 *
 * Starts are divided equally among the zones. The number of concurrent loads
 * is not divided: loads beyond the store's full-speed count share its
 * bandwidth, so no throughput is lost, and a zone that loads alone can use all
 * of it.
 *
 * @param capacity - capacity of the store over all zones.
 * @param zones - number of zones that load from the store.
 */
export function zoneCapacity(
  capacity: StoreCapacity,
  zones: number,
): StoreCapacity {
  const zoneCount = Math.max(1, zones);
  return {
    loadsPerSecond: capacity.loadsPerSecond / zoneCount,
    maxConcurrentLoads: capacity.maxConcurrentLoads,
  };
}
