/** A host's own part of a shared pool. @packageDocumentation */

import {Clock} from '../time/clock.js';
import {BucketShape} from './token_bucket.js';

const MS_PER_SECOND = 1_000;

/** Where the tokens of a reservation came from. */
export abstract class TokenSource {
  /** Tokens that can be taken now. */
  abstract get level(): number;

  /**
   * Moves tokens from the level to the reserved ones.
   *
   * @param tokens - at most the level.
   */
  abstract take(tokens: number): void;

  /** Counts reserved tokens as used up. */
  abstract release(tokens: number): void;

  /** Gives reserved tokens back that were not used. */
  abstract refund(tokens: number): void;
}

interface Loan {
  held: number;
  reportedAtMs: number;
}

/**
 * The bucket in which a host's part of a pool refills.
 *
 * `level + reserved + lent + withheld <= burst` holds whenever tokens are
 * added. What is lent counts until the borrower reports that it holds less,
 * so a token that is used late, in another host, still takes up room here.
 */
export class LendingBucket extends TokenSource {
  private tokens = 0;
  private reserved = 0;
  private withheldTokens = Infinity;
  private refilledAtMs: number;
  private shape: BucketShape = {rate: 0, burst: 0};
  private readonly loans = new Map<string, Loan>();

  /**
   * @param clock - measures the refill.
   * @param settleMs - after this long without a report, in milliseconds, a
   *     borrower can no longer hold what it was lent.
   */
  constructor(
    private readonly clock: Clock,
    private readonly settleMs: number,
  ) {
    super();
    this.refilledAtMs = clock.now();
  }

  override get level(): number {
    this.refill();
    return this.tokens;
  }

  /** Tokens per second that refill here; Infinity for permits. */
  get rate(): number {
    return this.shape.rate;
  }

  /** Tokens that are in use beyond the part, after it has shrunk. */
  get excess(): number {
    return Math.max(0, this.reserved + this.lent() - this.shape.burst);
  }

  /**
   * Changes the part; tokens beyond the new burst are lost.
   *
   * @param shape - rate and burst of the part.
   * @param withheld - tokens of the burst that others may still be using.
   */
  reshape(shape: BucketShape, withheld: number): void {
    this.refill();
    this.shape = shape;
    this.withheldTokens = withheld;
    this.trim();
  }

  override take(tokens: number): void {
    this.refill();
    this.tokens -= tokens;
    this.reserved += tokens;
  }

  override release(tokens: number): void {
    this.refill();
    this.reserved -= tokens;
  }

  override refund(tokens: number): void {
    this.refill();
    this.reserved -= tokens;
    this.put(tokens);
  }

  /**
   * Moves tokens to a borrower; call it before the message leaves.
   *
   * @param borrower - name of the host.
   * @param tokens - at most the level.
   */
  lend(borrower: string, tokens: number): void {
    this.refill();
    this.tokens -= tokens;
    const held = (this.loans.get(borrower)?.held ?? 0) + tokens;
    this.loans.set(borrower, {held, reportedAtMs: this.clock.now()});
  }

  /**
   * Takes a borrower's report, which is newer than every earlier one.
   *
   * @param borrower - name of the host.
   * @param held - everything that it holds of this part, also reserved.
   * @param returned - tokens that it gives back.
   */
  report(borrower: string, held: number, returned: number): void {
    this.refill();
    if (held > 0) {
      this.loans.set(borrower, {held, reportedAtMs: this.clock.now()});
    } else this.loans.delete(borrower);
    this.put(returned);
  }

  /** Ends the loans of hosts that have gone for good. */
  keepLoansOf(hosts: ReadonlySet<string>): void {
    this.refill();
    for (const borrower of this.loans.keys()) {
      if (!hosts.has(borrower)) this.loans.delete(borrower);
    }
  }

  private put(tokens: number): void {
    this.tokens += tokens;
    this.trim();
  }

  private trim(): void {
    this.tokens = Math.min(this.tokens, Math.max(0, this.room()));
  }

  private room(): number {
    const inUse = this.reserved + this.lent() + this.withheldTokens;
    return this.shape.burst - inUse;
  }

  private lent(): number {
    let sum = 0;
    const oldestMs = this.clock.now() - this.settleMs;
    for (const [borrower, loan] of this.loans) {
      if (loan.reportedAtMs < oldestMs) this.loans.delete(borrower);
      else sum += loan.held;
    }
    return sum;
  }

  private refill(): void {
    const nowMs = this.clock.now();
    const elapsedMs = nowMs - this.refilledAtMs;
    this.refilledAtMs = nowMs;
    const {rate} = this.shape;
    const gained =
      rate === Infinity ? Infinity : (elapsedMs / MS_PER_SECOND) * rate;
    this.tokens = Math.min(
      Math.max(this.tokens, this.room()),
      this.tokens + gained,
    );
  }
}
