/** A token bucket. @packageDocumentation */

import {Clock} from '../time/clock.js';

const MS_PER_SECOND = 1_000;

/** The rate and size of a bucket. */
export interface BucketShape {
  /** Tokens per second. */
  rate: number;
  /** Most tokens that the bucket holds. */
  burst: number;
}

/**
 * A bucket that refills at a rate.
 *
 * `level + outstanding <= burst` always holds, where outstanding tokens are
 * those reserved and not yet settled; so the tokens used in any window stay
 * within `rate * window + burst`, counted at admission or at generation.
 */
export class TokenBucket {
  private tokens: number;
  private outstanding = 0;
  private refilledAtMs: number;

  /**
   * @param clock - measures the refill.
   * @param shape - rate and burst.
   * @param initial - tokens to begin with.
   */
  constructor(
    private readonly clock: Clock,
    private shape: BucketShape,
    initial: number,
  ) {
    this.tokens = Math.min(initial, shape.burst);
    this.refilledAtMs = clock.now();
  }

  /** Tokens that can be taken now. */
  get level(): number {
    this.refill();
    return this.tokens;
  }

  /** Most tokens that can ever be taken at once. */
  get burst(): number {
    return this.shape.burst;
  }

  /** @param tokens - are added, as far as there is room. */
  add(tokens: number): void {
    this.refill();
    this.tokens = Math.min(this.room(), this.tokens + tokens);
  }

  /**
   * @param tokens - how many to reserve.
   * @returns whether there were enough.
   */
  take(tokens: number): boolean {
    this.refill();
    if (this.tokens < tokens) return false;
    this.tokens -= tokens;
    this.outstanding += tokens;
    return true;
  }

  /**
   * Ends a reservation.
   *
   * @param reserved - what was taken.
   * @param used - the part of it that was used up.
   */
  settle(reserved: number, used: number): void {
    this.refill();
    this.outstanding -= reserved;
    const back = Math.max(0, reserved - used);
    this.tokens = Math.min(this.room(), this.tokens + back);
  }

  /**
   * @param tokens - how many are wanted.
   * @returns milliseconds until the refill alone provides them; Infinity if
   *     they exceed what the bucket can hold.
   */
  timeUntil(tokens: number): number {
    this.refill();
    if (tokens <= this.tokens) return 0;
    if (tokens > this.shape.burst) return Infinity;
    return ((tokens - this.tokens) / this.shape.rate) * MS_PER_SECOND;
  }

  /** @param shape - the new rate and burst; excess tokens are lost. */
  reshape(shape: BucketShape): void {
    this.refill();
    this.shape = shape;
    this.tokens = Math.min(this.tokens, Math.max(0, this.room()));
  }

  private room(): number {
    return this.shape.burst - this.outstanding;
  }

  private refill(): void {
    const nowMs = this.clock.now();
    const elapsedMs = nowMs - this.refilledAtMs;
    this.refilledAtMs = nowMs;
    const gained = (elapsedMs / MS_PER_SECOND) * this.shape.rate;
    const full = Math.max(this.tokens, this.room());
    this.tokens = Math.min(full, this.tokens + gained);
  }
}
