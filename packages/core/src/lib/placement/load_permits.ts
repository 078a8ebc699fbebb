/** The right to start a load from the weight store. @packageDocumentation */

import {Clock} from '../time/clock.js';

/** What the store allows over all zones. */
export interface StoreCapacity {
  loadsPerSecond: number;
  /** Loads that run at full speed at once. */
  atOnce: number;
}

/** Shares the store's capacity among the zones. */
export abstract class LoadPermits {
  /** @returns whether a load may start now; it must be released at its end. */
  abstract tryTake(): boolean;

  /** Gives back the place of a load that has ended. */
  abstract release(): void;

  /** @returns how long until a permit may be free, in milliseconds. */
  abstract waitMs(): number;
}

/** Gives this zone a fixed part of the store's capacity. */
export class FixedLoadPermits extends LoadPermits {
  private running = 0;
  private tokens: number;
  private refilledMs: number;

  /**
   * @param clock - source of time.
   * @param capacity - this zone's part, see {@link zoneCapacity}.
   */
  constructor(
    private readonly clock: Clock,
    private readonly capacity: () => StoreCapacity,
  ) {
    super();
    this.tokens = 1;
    this.refilledMs = clock.now();
  }

  override tryTake(): boolean {
    this.refill();
    if (this.running >= this.capacity().atOnce || this.tokens < 1) return false;
    this.running += 1;
    this.tokens -= 1;
    return true;
  }

  override release(): void {
    this.running -= 1;
  }

  override waitMs(): number {
    this.refill();
    if (this.tokens >= 1) return 0;
    return ((1 - this.tokens) / this.capacity().loadsPerSecond) * 1_000;
  }

  private refill(): void {
    const nowMs = this.clock.now();
    const {loadsPerSecond, atOnce} = this.capacity();
    const elapsedS = (nowMs - this.refilledMs) / 1_000;
    const burst = Math.max(1, Math.min(atOnce, loadsPerSecond));
    this.tokens = Math.min(burst, this.tokens + elapsedS * loadsPerSecond);
    this.refilledMs = nowMs;
  }
}

/**
 * @param capacity - what the store allows over all zones.
 * @param zones - zones that load from it.
 * @returns an equal part of the starts. Every zone may have as many loads at
 *     once as the store runs at full speed: more of them share its speed, so
 *     nothing is lost, and a zone that loads alone gets all of it.
 */
export function zoneCapacity(
  capacity: StoreCapacity,
  zones: number,
): StoreCapacity {
  const parts = Math.max(1, zones);
  return {
    loadsPerSecond: capacity.loadsPerSecond / parts,
    atOnce: capacity.atOnce,
  };
}
