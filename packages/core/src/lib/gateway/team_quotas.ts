/** Enforces the token rates of teams on this host. @packageDocumentation */

import {TokenBucket} from '../limits/token_bucket.js';
import {WindowSum} from '../limits/window_sum.js';
import {Clock} from '../time/clock.js';
import {TeamFacts} from './deployment.js';

/** Maximum retry-after time of a refusal. */
const MAX_RETRY_AFTER_MS = 3_000;

/**
 * Maximum time that a request waits for tokens that the lender has announced.
 */
const TOKEN_WAIT_MS = 150;

/** Time between attempts to reach a lender. */
const LENDER_PAUSE_MS = 50;

/**
 * Maximum retry-after time while no lender can be reached; another host takes
 * over as the lender in the meantime.
 */
const NO_LENDER_RETRY_MS = 1_500;

/** Time after which unused borrowed tokens expire. */
const WALLET_LIFE_MS = 3_000;

/** Fraction of a team's burst that all hosts together may hold unused. */
export const HELD_PART = 0.1;

/** Fraction of the slack that hosts without a lender may use. */
const USED_SLACK = 0.85;

const MS_PER_SECOND = 1_000;

/**
 * Number of further requests whose tokens are borrowed in advance, as far as
 * the limit of held tokens allows.
 */
const BORROWED_REQUESTS = 4;

/** Request of a host for tokens of a team. */
export interface LoanRequest {
  team: string;
  /** Tokens needed to run the pending request. */
  neededTokens: number;
  /** Tokens that the host would like to borrow in total. */
  wantedTokens: number;
}

/** Reply to a loan request. */
export interface Loan {
  /** Lent tokens; 0 if none were lent. */
  tokens: number;
  /** Time until the needed tokens can be lent, if none were lent. */
  waitMs: number;
}

/** Lends tokens of rates that are shared by all hosts. */
export abstract class TokenSource {
  /**
   * Borrows tokens from the lender.
   *
   * @param request - see {@link LoanRequest}.
   * @param signal - aborts the request.
   * @returns the loan, or undefined if no lender can be reached.
   */
  abstract borrow(
    request: LoanRequest,
    signal: AbortSignal,
  ): Promise<Loan | undefined>;

  /** Number of hosts that share the rates while no lender can be reached. */
  abstract readonly hostCount: number;
}

/** Allowed excess over rate and burst, for all hosts together in a window. */
export interface QuotaSlack {
  /** Fraction of the tokens that rate and burst allow in the window. */
  part: number;
  /** Tokens in addition to that fraction. */
  tokens: number;
  windowMs: number;
}

interface Wallet {
  tokens: number;
  usedMs: number;
  /** Local token bucket; set while no lender can be reached. */
  own: TokenBucket | undefined;
  /** Clock time at which the slack was last granted to the local bucket. */
  slackMs: number;
  /** Tokens of requests that were admitted. */
  readonly used: WindowSum;
}

/**
 * Keeps the token balances of teams on this host. Each token is lent to exactly
 * one host and counted where it is used. A host that cannot reach a lender uses
 * an equal share of each rate.
 */
export class TeamQuotas {
  private readonly wallets = new Map<string, Wallet>();
  private readonly startedMs: number;

  /**
   * @param clock - measures refills and ages.
   * @param source - lends the tokens.
   * @param slack - allowed excess over the rates.
   */
  constructor(
    private readonly clock: Clock,
    private readonly source: TokenSource,
    private readonly slack: QuotaSlack,
  ) {
    this.startedMs = clock.now();
  }

  /**
   * Takes the tokens of a request.
   *
   * @param team - the team that the request is charged to.
   * @param tokens - number of tokens of the request.
   * @param patienceMs - maximum time to wait for a lender, in milliseconds.
   * @param signal - aborts the wait.
   * @returns undefined if the request may run, else the retry-after time in
   *     milliseconds.
   */
  async take(
    team: TeamFacts,
    tokens: number,
    patienceMs: number,
    signal: AbortSignal,
  ): Promise<number | undefined> {
    if (team.tokensPerSecond <= 0) return undefined;
    const waitMs = await this.tryTake(team, tokens, patienceMs, signal);
    if (waitMs === undefined) this.walletOf(team).used.add(tokens);
    return waitMs;
  }

  /**
   * Returns the tokens that each team has used or holds on this host in the
   * last window.
   *
   * @returns names of teams with their tokens; undefined while an earlier
   *     process of this host may have used some in the window.
   */
  usedTokens(): Array<[string, number]> | undefined {
    const ageMs = this.clock.now() - this.startedMs;
    if (ageMs < this.slack.windowMs) return undefined;
    const used: Array<[string, number]> = [];
    for (const [team, wallet] of this.wallets) {
      const {sum} = wallet.used;
      if (sum > 0) used.push([team, sum + wallet.tokens]);
    }
    return used;
  }

  private async tryTake(
    team: TeamFacts,
    tokens: number,
    patienceMs: number,
    signal: AbortSignal,
  ): Promise<number | undefined> {
    const wallet = this.walletOf(team);
    const untilMs = this.clock.now() + patienceMs;
    for (;;) {
      if (this.spend(wallet, tokens)) return undefined;
      const loan = await this.borrow(team, wallet, tokens, signal);
      if (loan !== undefined) {
        return this.takeLent(team, wallet, tokens, loan, signal);
      }
      const waitMs = this.takeOwn(team, wallet, tokens);
      const isOver = signal.aborted || this.clock.now() >= untilMs;
      if (waitMs === undefined || isOver) return waitMs;
      await this.clock.sleep(LENDER_PAUSE_MS, signal);
    }
  }

  /**
   * Refunds the tokens of a request that did not run.
   *
   * @param team - the team that the request was charged to.
   * @param tokens - number of tokens of the request.
   */
  giveBack(team: TeamFacts, tokens: number): void {
    const wallet = this.wallets.get(team.name);
    if (wallet === undefined || team.tokensPerSecond <= 0) return;
    wallet.used.add(-tokens);
    const room = Math.max(0, this.heldLimit(team) - wallet.tokens);
    wallet.tokens += Math.min(room, tokens);
  }

  /**
   * Takes the tokens from a loan, or returns the time until they can be lent.
   */
  private async takeLent(
    team: TeamFacts,
    wallet: Wallet,
    tokens: number,
    loan: Loan,
    signal: AbortSignal,
  ): Promise<number | undefined> {
    let {waitMs} = loan;
    if (loan.tokens === 0 && waitMs <= TOKEN_WAIT_MS) {
      await this.clock.sleep(waitMs, signal);
      const second = await this.borrow(team, wallet, tokens, signal);
      waitMs = second?.waitMs ?? waitMs;
    }
    if (this.spend(wallet, tokens)) return undefined;
    return Math.min(MAX_RETRY_AFTER_MS, Math.max(1, Math.ceil(waitMs)));
  }

  private spend(wallet: Wallet, tokens: number): boolean {
    const nowMs = this.clock.now();
    if (nowMs - wallet.usedMs > WALLET_LIFE_MS) wallet.tokens = 0;
    wallet.usedMs = nowMs;
    if (wallet.tokens < tokens) return false;
    wallet.tokens -= tokens;
    return true;
  }

  private async borrow(
    team: TeamFacts,
    wallet: Wallet,
    tokens: number,
    signal: AbortSignal,
  ): Promise<Loan | undefined> {
    const neededTokens = Math.max(0, tokens - wallet.tokens);
    const ahead = Math.min(this.heldLimit(team), tokens * BORROWED_REQUESTS);
    const request = {
      team: team.name,
      neededTokens,
      wantedTokens: neededTokens + ahead,
    };
    const loan = await this.source.borrow(request, signal);
    if (loan === undefined) return undefined;
    wallet.tokens += loan.tokens;
    wallet.own = undefined;
    return loan;
  }

  /** Takes the tokens from this host's share of the rate and of the slack. */
  private takeOwn(
    team: TeamFacts,
    wallet: Wallet,
    tokens: number,
  ): number | undefined {
    wallet.own ??= this.openOwn(team, wallet);
    if (wallet.own.take(tokens)) {
      wallet.own.settle(tokens, tokens);
      return undefined;
    }
    return Math.min(NO_LENDER_RETRY_MS, wallet.own.timeUntil(tokens));
  }

  private openOwn(team: TeamFacts, wallet: Wallet): TokenBucket {
    const {hostCount} = this.source;
    const {part, tokens, windowMs} = this.slack;
    const rate = team.tokensPerSecond / hostCount;
    const inWindow =
      team.tokensPerSecond * (windowMs / MS_PER_SECOND) + team.burstTokens;
    const slack = ((inWindow * part + tokens) * USED_SLACK) / hostCount;
    const nowMs = this.clock.now();
    const isDue = nowMs - wallet.slackMs > windowMs;
    if (isDue) wallet.slackMs = nowMs;
    const shape = {rate, burst: Math.max(rate, slack)};
    return new TokenBucket(this.clock, shape, isDue ? slack : 0);
  }

  private heldLimit(team: TeamFacts): number {
    return (team.burstTokens * HELD_PART) / this.source.hostCount;
  }

  private walletOf(team: TeamFacts): Wallet {
    let wallet = this.wallets.get(team.name);
    if (wallet === undefined) {
      const usedMs = this.clock.now();
      const used = new WindowSum(this.clock, this.slack.windowMs);
      wallet = {tokens: 0, usedMs, own: undefined, slackMs: -Infinity, used};
      this.wallets.set(team.name, wallet);
    }
    return wallet;
  }
}
