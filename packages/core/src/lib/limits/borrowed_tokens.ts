/** What a host holds of another host's part. @packageDocumentation */

import {Clock} from '../time/clock.js';
import {TokenSource} from './lending_bucket.js';

/** How long unused borrowed tokens last after a report, in milliseconds. */
export const LOAN_MS = 5_000;

/**
 * Tokens borrowed from one lender. Unused ones lapse some time after the last
 * report that the lender answered, so that it knows when none can be left.
 */
export class BorrowedTokens extends TokenSource {
  private tokens = 0;
  private reserved = 0;
  private validUntilMs = 0;

  /** @param clock - measures when the tokens lapse. */
  constructor(private readonly clock: Clock) {
    super();
  }

  override get level(): number {
    if (this.clock.now() >= this.validUntilMs) this.tokens = 0;
    return this.tokens;
  }

  /** Everything held, also what is reserved. */
  get held(): number {
    return this.level + this.reserved;
  }

  override take(tokens: number): void {
    this.tokens -= tokens;
    this.reserved += tokens;
  }

  override release(tokens: number): void {
    this.reserved -= tokens;
  }

  override refund(tokens: number): void {
    this.reserved -= tokens;
    this.tokens = this.level + tokens;
  }

  /**
   * Removes tokens that go back; call it before the message leaves.
   *
   * @param tokens - at most the level.
   */
  giveBack(tokens: number): void {
    this.tokens -= tokens;
  }

  /**
   * Adds what the lender's answer brought.
   *
   * @param tokens - granted tokens.
   * @param askedAtMs - clock time at which the answered report was sent.
   */
  receive(tokens: number, askedAtMs: number): void {
    const level = this.level;
    this.validUntilMs = Math.max(this.validUntilMs, askedAtMs + LOAN_MS);
    this.tokens = level + tokens;
  }
}
