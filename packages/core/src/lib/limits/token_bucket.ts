/** Token bucket. @packageDocumentation */

import {Clock} from '../time/clock.js';

const MS_PER_SECOND = 1_000;

/** Rate and capacity of a bucket. */
export interface BucketShape {
  /** Tokens per second. */
  rate: number;
  /** Maximum number of tokens in the bucket. */
  burst: number;
}

/**
 * A token bucket whose tokens are reserved first and settled later.
 *
 * `level + outstanding <= burst` always holds, where outstanding tokens are
 * those reserved and not yet settled. So the tokens used in any window stay
 * within `rate * window + burst`, whether they are counted at admission or at
 * generation.
 */
export class TokenBucket {
  private tokens: number;
  private outstanding = 0;
  private refilledAtMs: number;

  /**
   * @param clock - measures the refill.
   * @param shape - rate and burst.
   * @param initial - initial number of tokens.
   */
  constructor(
    private readonly clock: Clock,
    private shape: BucketShape,
    initial: number,
  ) {
    this.tokens = Math.min(initial, shape.burst);
    this.refilledAtMs = clock.now();
  }

  /** Tokens available now. */
  get level(): number {
    this.refill();
    return this.tokens;
  }

  /** Maximum number of tokens that can be taken at once. */
  get burst(): number {
    return this.shape.burst;
  }

  /**
   * Adds tokens, up to the capacity.
   *
   * @param tokens - number of tokens to add.
   */
  add(tokens: number): void {
    this.refill();
    this.tokens = Math.min(this.headroom(), this.tokens + tokens);
  }

  /**
   * Reserves tokens if enough are available.
   *
   * @param tokens - number of tokens to reserve.
   * @returns whether they were reserved.
   */
  take(tokens: number): boolean {
    this.refill();
    if (this.tokens < tokens) return false;
    this.tokens -= tokens;
    this.outstanding += tokens;
    return true;
  }

  /**
   * Ends a reservation and returns its unused tokens.
   *
   * @param reserved - number of tokens that were reserved.
   * @param used - number of them that were used.
   */
  settle(reserved: number, used: number): void {
    this.refill();
    this.outstanding -= reserved;
    const unused = Math.max(0, reserved - used);
    this.tokens = Math.min(this.headroom(), this.tokens + unused);
  }

  /**
   * Predicts when a number of tokens is available.
   *
   * @param tokens - number of tokens.
   * @returns milliseconds until the refill alone provides them; Infinity if
   *     they exceed the burst.
   */
  timeUntil(tokens: number): number {
    this.refill();
    if (tokens <= this.tokens) return 0;
    if (tokens > this.shape.burst) return Infinity;
    return ((tokens - this.tokens) / this.shape.rate) * MS_PER_SECOND;
  }

  /**
   * Changes rate and burst; tokens beyond the new burst are discarded.
   *
   * @param shape - new rate and burst.
   */
  reshape(shape: BucketShape): void {
    this.refill();
    this.shape = shape;
    this.tokens = Math.min(this.tokens, Math.max(0, this.headroom()));
  }

  private headroom(): number {
    return this.shape.burst - this.outstanding;
  }

  private refill(): void {
    const nowMs = this.clock.now();
    const elapsedMs = nowMs - this.refilledAtMs;
    this.refilledAtMs = nowMs;
    const gained = (elapsedMs / MS_PER_SECOND) * this.shape.rate;
    const full = Math.max(this.tokens, this.headroom());
    this.tokens = Math.min(full, this.tokens + gained);
  }
}
