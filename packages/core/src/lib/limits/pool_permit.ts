/** Tokens set aside from a shared pool. @packageDocumentation */

import {TokenSource} from './lending_bucket.js';

/** Tokens of one source within a permit. */
export interface SourcePiece {
  source: TokenSource;
  tokens: number;
}

/** There are too few tokens. */
export interface PoolShortage {
  type: 'shortage';
  /** When enough are expected, in milliseconds; Infinity for never. */
  waitMs: number;
}

/** Tokens that are set aside until they are settled. */
export class PoolPermit {
  private usedTokens = 0;
  private isSettled = false;

  /**
   * @param pieces - what was taken and where; owned by the permit.
   * @param onRefund - called after tokens went back.
   */
  constructor(
    private readonly pieces: SourcePiece[],
    private readonly onRefund: () => void,
  ) {}

  /**
   * Counts tokens as used, so that the pool may refill them already.
   *
   * @param usedTokens - all that was used so far; less than before is ignored.
   */
  use(usedTokens: number): void {
    if (this.isSettled) return;
    let more = usedTokens - this.usedTokens;
    this.usedTokens = Math.max(this.usedTokens, usedTokens);
    while (more > 0 && this.pieces.length > 0) {
      const [first] = this.pieces;
      const released = Math.min(more, first.tokens);
      first.source.release(released);
      first.tokens -= released;
      more -= released;
      if (first.tokens === 0) this.pieces.shift();
    }
  }

  /**
   * Ends the permit. What was not used goes back to where it came from.
   *
   * @param usedTokens - at most what was taken; later calls do nothing.
   */
  settle(usedTokens: number): void {
    if (this.isSettled) return;
    this.use(usedTokens);
    this.isSettled = true;
    for (const {source, tokens} of this.pieces) source.refund(tokens);
    this.onRefund();
  }
}
