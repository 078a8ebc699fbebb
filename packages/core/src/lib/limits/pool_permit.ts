/** Permits: tokens reserved from a shared pool. @packageDocumentation */

import {TokenSource} from './lending_bucket.js';

/** Tokens of a permit that were reserved from one source. */
export interface SourceAllocation {
  source: TokenSource;
  tokens: number;
}

/** Error: the pool cannot provide enough tokens in time. */
export interface PoolShortage {
  type: 'shortage';
  /** Expected wait for enough tokens, in milliseconds; Infinity for never. */
  waitMs: number;
}

/** Tokens that stay reserved until the permit is settled. */
export class PoolPermit {
  private usedTokens = 0;
  private isSettled = false;

  /**
   * @param allocations - reserved tokens by source; the permit takes ownership of
   *     the array.
   * @param onRefund - called after unused tokens were refunded.
   */
  constructor(
    private readonly allocations: SourceAllocation[],
    private readonly onRefund: () => void,
  ) {}

  /**
   * Counts tokens as consumed while the work is still running, so that the
   * pool can refill their place early.
   *
   * @param usedTokens - total used so far; a lower value than before is
   *     ignored.
   */
  use(usedTokens: number): void {
    if (this.isSettled) return;
    let remaining = usedTokens - this.usedTokens;
    this.usedTokens = Math.max(this.usedTokens, usedTokens);
    while (remaining > 0 && this.allocations.length > 0) {
      const [first] = this.allocations;
      const released = Math.min(remaining, first.tokens);
      first.source.consume(released);
      first.tokens -= released;
      remaining -= released;
      if (first.tokens === 0) this.allocations.shift();
    }
  }

  /**
   * Ends the permit and refunds unused tokens to their sources. Later calls do
   * nothing.
   *
   * @param usedTokens - total used, at most the number of reserved tokens.
   */
  settle(usedTokens: number): void {
    if (this.isSettled) return;
    this.use(usedTokens);
    this.isSettled = true;
    for (const {source, tokens} of this.allocations) source.refund(tokens);
    this.onRefund();
  }
}
