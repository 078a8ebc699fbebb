/** Tokens borrowed from the share of another host. @packageDocumentation */

import {Clock} from '../time/clock.js';
import {TokenSource} from './lending_bucket.js';

/** Lifetime of unused borrowed tokens after a report, in milliseconds. */
export const LOAN_LIFETIME_MS = 5_000;

/**
 * Tokens borrowed from one lender.
 *
 * Unused tokens expire {@link LOAN_LIFETIME_MS} after the last report that the lender
 * answered, so the lender knows when none of them can still be in use.
 */
export class BorrowedTokens extends TokenSource {
  private tokens = 0;
  private reserved = 0;
  private validUntilMs = 0;

  /** @param clock - measures the expiry of the tokens. */
  constructor(private readonly clock: Clock) {
    super();
  }

  override get level(): number {
    if (this.clock.now() >= this.validUntilMs) this.tokens = 0;
    return this.tokens;
  }

  /** All borrowed tokens, including the reserved ones. */
  get held(): number {
    return this.level + this.reserved;
  }

  override reserve(tokens: number): void {
    this.tokens -= tokens;
    this.reserved += tokens;
  }

  override consume(tokens: number): void {
    this.reserved -= tokens;
  }

  override refund(tokens: number): void {
    this.reserved -= tokens;
    this.tokens = this.level + tokens;
  }

  /**
   * Removes tokens that are returned to the lender. Must be called before the
   * message is sent, so that no token counts at both hosts.
   *
   * @param tokens - number of tokens, at most the level.
   */
  returnTokens(tokens: number): void {
    this.tokens -= tokens;
  }

  /**
   * Adds the tokens that the lender granted and extends their lifetime.
   *
   * @param tokens - number of granted tokens.
   * @param reportedAtMs - clock time at which the report that the lender replied
   *     to was sent, in milliseconds.
   */
  receive(tokens: number, reportedAtMs: number): void {
    const level = this.level;
    this.validUntilMs = Math.max(
      this.validUntilMs,
      reportedAtMs + LOAN_LIFETIME_MS,
    );
    this.tokens = level + tokens;
  }
}
