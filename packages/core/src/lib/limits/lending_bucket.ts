/** Token bucket that lends tokens to other hosts. @packageDocumentation */

import {Clock} from '../time/clock.js';
import {BucketShape} from './token_bucket.js';

const MS_PER_SECOND = 1_000;

/** A source from which tokens are reserved and to which they are refunded. */
export abstract class TokenSource {
  /** Tokens available for reservation now. */
  abstract get level(): number;

  /**
   * Reserves tokens, which lowers the level.
   *
   * @param tokens - number of tokens, at most the level.
   */
  abstract reserve(tokens: number): void;

  /** Counts reserved tokens as consumed, so that their place can refill. */
  abstract consume(tokens: number): void;

  /** Returns unused reserved tokens to the level. */
  abstract refund(tokens: number): void;
}

interface Loan {
  held: number;
  reportedAtMs: number;
}

/**
 * Token bucket that refills a host's share of a pool and lends tokens of it.
 *
 * `level + reserved + lent + withheld <= burst` holds whenever tokens are
 * added. Lent tokens count until the borrower reports that it holds fewer, so
 * a token that another host uses late still takes up capacity here.
 */
export class LendingBucket extends TokenSource {
  private tokens = 0;
  private reserved = 0;
  private withheldTokens = Infinity;
  private refilledAtMs: number;
  private shape: BucketShape = {rate: 0, burst: 0};
  private readonly loans = new Map<string, Loan>();

  /**
   * @param clock - measures the refill and the age of loans.
   * @param settleMs - time without a report after which a borrower can no
   *     longer hold lent tokens, in milliseconds.
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

  /** Refill rate in tokens per second; Infinity for pools of permits. */
  get rate(): number {
    return this.shape.rate;
  }

  /** Tokens in use beyond the burst, after the share has shrunk. */
  get excess(): number {
    return Math.max(0, this.reserved + this.lentTokens() - this.shape.burst);
  }

  /**
   * Changes rate and burst; tokens beyond the new burst are discarded.
   *
   * @param shape - rate and burst of the share.
   * @param withheld - tokens of the burst that other hosts may still be using.
   */
  reshape(shape: BucketShape, withheld: number): void {
    this.refill();
    this.shape = shape;
    this.withheldTokens = withheld;
    this.trim();
  }

  override reserve(tokens: number): void {
    this.refill();
    this.tokens -= tokens;
    this.reserved += tokens;
  }

  override consume(tokens: number): void {
    this.refill();
    this.reserved -= tokens;
  }

  override refund(tokens: number): void {
    this.refill();
    this.reserved -= tokens;
    this.addTokens(tokens);
  }

  /**
   * Moves tokens to a borrower. Must be called before the message is sent, so
   * that no token counts at both hosts.
   *
   * @param borrower - name of the borrowing host.
   * @param tokens - number of tokens, at most the level.
   */
  lend(borrower: string, tokens: number): void {
    this.refill();
    this.tokens -= tokens;
    const held = (this.loans.get(borrower)?.held ?? 0) + tokens;
    this.loans.set(borrower, {held, reportedAtMs: this.clock.now()});
  }

  /**
   * Updates the loan of a borrower from its report. Reports must be applied in
   * the order in which they were sent.
   *
   * @param borrower - name of the borrowing host.
   * @param held - tokens of this share that it holds, including reserved ones.
   * @param returned - tokens that it returns.
   */
  applyReport(borrower: string, held: number, returned: number): void {
    this.refill();
    if (held > 0) {
      this.loans.set(borrower, {held, reportedAtMs: this.clock.now()});
    } else this.loans.delete(borrower);
    this.addTokens(returned);
  }

  /**
   * Writes off the loans of hosts that have left the system.
   *
   * @param hosts - names of the hosts whose loans remain.
   */
  retainLoansOf(hosts: ReadonlySet<string>): void {
    this.refill();
    for (const borrower of this.loans.keys()) {
      if (!hosts.has(borrower)) this.loans.delete(borrower);
    }
  }

  private addTokens(tokens: number): void {
    this.tokens += tokens;
    this.trim();
  }

  private trim(): void {
    this.tokens = Math.min(this.tokens, Math.max(0, this.headroom()));
  }

  private headroom(): number {
    const inUse = this.reserved + this.lentTokens() + this.withheldTokens;
    return this.shape.burst - inUse;
  }

  private lentTokens(): number {
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
      Math.max(this.tokens, this.headroom()),
      this.tokens + gained,
    );
  }
}
