/** The rates of teams on this host. @packageDocumentation */

import {TokenBucket} from '../limits/token_bucket.js';
import {WindowSum} from '../limits/window_sum.js';
import {Clock} from '../time/clock.js';
import {TeamFacts} from './deployment.js';

/** Longest time after which a refused caller is told to come back. */
const MAX_RETRY_AFTER_MS = 3_000;

/** Longest time that a request waits for tokens that are sure to come. */
const TOKEN_WAIT_MS = 150;

/** Pause before a lender is looked for again. */
const LENDER_PAUSE_MS = 50;

/** When a caller may come back while no lender is reached: one takes over. */
const NO_LENDER_RETRY_MS = 1_500;

/** Time after which borrowed tokens that were not used are forgotten. */
const WALLET_LIFE_MS = 3_000;

/** Part of a team's burst that all hosts together may hold unused. */
export const HELD_PART = 0.1;

/** Part of the slack that hosts without a lender may use. */
const USED_SLACK = 0.85;

const MS_PER_SECOND = 1_000;

/** Requests whose tokens are borrowed at once, if the team's rate allows. */
const BORROWED_REQUESTS = 4;

/** Tokens of a team that a host asks for. */
export interface LoanRequest {
  team: string;
  /** Without these no request can run. */
  neededTokens: number;
  /** What the host would like to hold. */
  wantedTokens: number;
}

/** Tokens that were lent, or none. */
export interface Loan {
  tokens: number;
  /** Time until the tokens that are needed can be lent, if none were. */
  waitMs: number;
}

/** Lends tokens out of the rates that hold over all hosts. */
export abstract class TokenSource {
  /**
   * @param request - see {@link LoanRequest}.
   * @param signal - gives up.
   * @returns the loan, or nothing if no lender can be reached.
   */
  abstract borrow(
    request: LoanRequest,
    signal: AbortSignal,
  ): Promise<Loan | undefined>;

  /** Hosts among which the rates are divided while no lender is reached. */
  abstract readonly hostCount: number;
}

/** What teams may use beyond rate and burst, over all hosts in a window. */
export interface QuotaSlack {
  /** Part of what rate and burst allow in the window. */
  part: number;
  tokens: number;
  windowMs: number;
}

interface Wallet {
  tokens: number;
  usedMs: number;
  /** Set while no lender can be reached. */
  own: TokenBucket | undefined;
  /** Clock time at which the slack was last given to `own`. */
  slackMs: number;
  /** Tokens of requests that could run. */
  readonly used: WindowSum;
}

/**
 * Tokens are moved between hosts, never copied: each is lent once, and counts
 * where it is used. A host without a lender has an equal part of each rate.
 */
export class TeamQuotas {
  private readonly wallets = new Map<string, Wallet>();
  private readonly startedMs: number;

  /**
   * @param clock - measures refills and ages.
   * @param source - lends the tokens.
   * @param slack - what the rates may be exceeded by.
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
   * @param team - whose request it is.
   * @param tokens - what it counts as.
   * @param patienceMs - how long it may wait for a lender.
   * @param signal - gives up.
   * @returns nothing if it may run, else when to come back, in milliseconds.
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
   * @returns tokens that each team has used here in the last window; undefined
   *     while an earlier process of this host may have used some in it.
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

  /** Gives back what a request took that did not run. */
  giveBack(team: TeamFacts, tokens: number): void {
    const wallet = this.wallets.get(team.name);
    if (wallet === undefined || team.tokensPerSecond <= 0) return;
    wallet.used.add(-tokens);
    const room = Math.max(0, this.heldLimit(team) - wallet.tokens);
    wallet.tokens += Math.min(room, tokens);
  }

  /** Takes the tokens out of a loan, or tells when they can be lent. */
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

  /** Uses this host's equal part of the rate, and of the slack once. */
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
