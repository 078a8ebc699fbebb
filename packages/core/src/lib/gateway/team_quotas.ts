/** Enforces the token rates of teams on this host. @packageDocumentation */

import {RateQueue, TurnRequest} from '../limits/rate_queue.js';
import {canAwaitTurn} from '../limits/turn_rule.js';
import {WindowSum} from '../limits/window_sum.js';
import {Clock} from '../time/clock.js';
import {TeamConfig} from './deployment.js';
import {SilentTurnObserver, TurnObserver} from './turn_observer.js';
import {HostTurn, TurnNeeds, TurnWaits} from './turn_waits.js';

/** Maximum retry-after time of a refusal. */
const MAX_RETRY_AFTER_MS = 3_000;

/**
 * Maximum time that a request waits for tokens that the lender has announced.
 */
const MAX_TOKEN_WAIT_MS = 150;

/** Time between attempts to reach a lender. */
const LENDER_POLL_MS = 50;

/**
 * Maximum retry-after time while no lender can be reached; another host takes
 * over as the lender in the meantime.
 */
const MAX_NO_LENDER_RETRY_AFTER_MS = 1_500;

/** Time after which unused borrowed tokens expire. */
const BALANCE_LIFETIME_MS = 3_000;

/** Fraction of a team's burst that all hosts together may hold unused. */
export const HELD_FRACTION = 0.1;

/** Fraction of the slack that hosts without a lender may use. */
const USED_SLACK_FRACTION = 0.85;

const MS_PER_SECOND = 1_000;

/**
 * Number of further requests whose tokens are borrowed in advance, as far as
 * the limit of held tokens allows.
 */
const BORROWED_AHEAD_REQUESTS = 4;

/** Request of a host for tokens of a team. */
export interface LoanRequest {
  team: string;
  /** Tokens needed to run the pending request. */
  neededTokens: number;
  /** Tokens that the host would like to borrow in total. */
  wantedTokens: number;
  /** Set if the request may wait in the queue of its team. */
  turn?: TurnRequest;
}

/** Reply to a loan request. */
export interface Loan {
  /** Lent tokens; 0 if none were lent. */
  tokens: number;
  /** Time until the needed tokens can be lent, if none were lent. */
  waitMs: number;
  /** Whether the request must not wait for its turn; unset if it stated none. */
  isRefused?: boolean;
}

/** Lends tokens of rates that are shared by all hosts. */
export abstract class TokenLoanClient {
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
  fraction: number;
  /** Tokens in addition to that fraction. */
  tokens: number;
  windowMs: number;
}

interface TeamBalance {
  tokens: number;
  lastUsedMs: number;
  /** Queue of this host's share; set while no lender can be reached. */
  localQueue: RateQueue | undefined;
  /** Clock time at which the slack was last granted to the local queue. */
  slackGrantedMs: number;
  /** Tokens of requests that were admitted. */
  readonly used: WindowSum;
}

/**
 * Keeps the token balances of teams on this host. Each token is lent to exactly
 * one host and counted where it is used. A host that cannot reach a lender uses
 * an equal share of each rate.
 */
export class TeamQuotas {
  private readonly balances = new Map<string, TeamBalance>();
  private readonly startedMs: number;
  private readonly waits: TurnWaits;

  /**
   * @param clock - measures refills and ages.
   * @param source - lends the tokens.
   * @param slack - allowed excess over the rates.
   * @param observer - receives how requests over the rates waited.
   * @param hasQueue - whether requests over a rate wait for their turn.
   */
  constructor(
    private readonly clock: Clock,
    private readonly source: TokenLoanClient,
    private readonly slack: QuotaSlack,
    observer: TurnObserver = new SilentTurnObserver(),
    readonly hasQueue = true,
  ) {
    this.startedMs = clock.now();
    this.waits = new TurnWaits(clock, observer);
  }

  /** Whether {@link TeamQuotas.stopWaiting} was called. */
  get isStopped(): boolean {
    return this.waits.isStopped;
  }

  /** Returns the tokens for which requests of each team wait on this host. */
  waitingTokens(): Map<string, number> {
    return this.waits.tokensByTeam();
  }

  /** Ends the waits of all requests; none waits any more. */
  stopWaiting(): void {
    this.waits.stop();
  }

  /**
   * Takes the tokens of a request.
   *
   * @param team - the team that the request is charged to.
   * @param tokens - number of tokens of the request.
   * @param maxWaitMs - maximum time to wait for a lender, in milliseconds.
   * @param signal - aborts the wait.
   * @param needs - set if the request may wait for its turn.
   * @returns undefined if the request may run, else the retry-after time in
   *     milliseconds.
   */
  async take(
    team: TeamConfig,
    tokens: number,
    maxWaitMs: number,
    signal: AbortSignal,
    needs?: TurnNeeds,
  ): Promise<number | undefined> {
    if (team.tokensPerSecond <= 0) return undefined;
    const waitMs = await this.tryTake(team, tokens, maxWaitMs, signal, needs);
    if (waitMs === undefined) this.balanceOf(team).used.add(tokens);
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
    for (const [team, balance] of this.balances) {
      const {sum} = balance.used;
      if (sum > 0) used.push([team, sum + balance.tokens]);
    }
    return used;
  }

  private async tryTake(
    team: TeamConfig,
    tokens: number,
    maxWaitMs: number,
    signal: AbortSignal,
    needs: TurnNeeds | undefined,
  ): Promise<number | undefined> {
    const balance = this.balanceOf(team);
    const deadlineMs = this.clock.now() + maxWaitMs;
    for (;;) {
      if (this.spend(balance, tokens)) return undefined;
      const loan = await this.borrow(team, balance, tokens, signal);
      if (needs !== undefined) {
        const isTaken =
          loan === undefined
            ? this.takeFromLocalQueue(team, balance, tokens) === undefined
            : this.spend(balance, tokens);
        if (isTaken) return undefined;
        return this.waitForTurn(
          team,
          balance,
          tokens,
          deadlineMs,
          signal,
          needs,
        );
      }
      if (loan !== undefined) {
        return this.takeFromLoan(team, balance, tokens, loan, signal);
      }
      const waitMs = this.takeFromLocalQueue(team, balance, tokens);
      const isTimeUp = signal.aborted || this.clock.now() >= deadlineMs;
      if (waitMs === undefined || isTimeUp) return waitMs;
      await this.clock.sleep(LENDER_POLL_MS, signal);
    }
  }

  /**
   * Refunds the tokens of a request that did not run.
   *
   * @param team - the team that the request was charged to.
   * @param tokens - number of tokens of the request.
   */
  refund(team: TeamConfig, tokens: number): void {
    const balance = this.balances.get(team.name);
    if (balance === undefined || team.tokensPerSecond <= 0) return;
    balance.used.add(-tokens);
    const room = Math.max(0, this.maxHeldTokens(team) - balance.tokens);
    balance.tokens += Math.min(room, tokens);
  }

  /**
   * Takes the tokens from a loan, or returns the time until they can be lent.
   */
  private async takeFromLoan(
    team: TeamConfig,
    balance: TeamBalance,
    tokens: number,
    loan: Loan,
    signal: AbortSignal,
  ): Promise<number | undefined> {
    let {waitMs} = loan;
    if (loan.tokens === 0 && waitMs <= MAX_TOKEN_WAIT_MS) {
      await this.clock.sleep(waitMs, signal);
      const secondLoan = await this.borrow(team, balance, tokens, signal);
      waitMs = secondLoan?.waitMs ?? waitMs;
    }
    if (this.spend(balance, tokens)) return undefined;
    return Math.min(MAX_RETRY_AFTER_MS, Math.max(1, Math.ceil(waitMs)));
  }

  private spend(balance: TeamBalance, tokens: number): boolean {
    const nowMs = this.clock.now();
    if (nowMs - balance.lastUsedMs > BALANCE_LIFETIME_MS) balance.tokens = 0;
    balance.lastUsedMs = nowMs;
    if (balance.tokens < tokens) return false;
    balance.tokens -= tokens;
    return true;
  }

  private async borrow(
    team: TeamConfig,
    balance: TeamBalance,
    tokens: number,
    signal: AbortSignal,
  ): Promise<Loan | undefined> {
    // Set aside, so that concurrent requests do not count on the same tokens.
    const ownTokens = Math.min(tokens, balance.tokens);
    balance.tokens -= ownTokens;
    const neededTokens = tokens - ownTokens;
    const aheadTokens = Math.min(
      this.maxHeldTokens(team),
      tokens * BORROWED_AHEAD_REQUESTS,
    );
    const request = {
      team: team.name,
      neededTokens,
      wantedTokens: neededTokens + aheadTokens,
    };
    const loan = await this.source.borrow(request, signal);
    balance.tokens += ownTokens + (loan?.tokens ?? 0);
    if (loan !== undefined) balance.localQueue = undefined;
    return loan;
  }

  private waitForTurn(
    team: TeamConfig,
    balance: TeamBalance,
    tokens: number,
    lenderEndMs: number,
    signal: AbortSignal,
    needs: TurnNeeds,
  ): Promise<number | undefined> {
    return this.waits.run({
      team: team.name,
      tokens,
      needs,
      lenderEndMs,
      signal,
      ask: (request, ended) =>
        this.askTurn(team, balance, tokens, request, ended),
    });
  }

  /** Asks the lender, or this host's own queue, for the turn of a request. */
  private async askTurn(
    team: TeamConfig,
    balance: TeamBalance,
    tokens: number,
    turn: TurnRequest,
    signal: AbortSignal,
  ): Promise<HostTurn> {
    const request = {
      team: team.name,
      neededTokens: tokens,
      wantedTokens: tokens,
      turn,
    };
    const loan = signal.aborted
      ? undefined
      : await this.source.borrow(request, signal);
    if (signal.aborted) {
      // The wait has ended; tokens that were lent serve later requests.
      const room = Math.max(0, this.maxHeldTokens(team) - balance.tokens);
      balance.tokens += Math.min(room, loan?.tokens ?? 0);
      return {isGranted: false, inMs: 1, isRefused: true, isLocal: false};
    }
    if (loan === undefined) {
      balance.localQueue ??= this.openLocalQueue(team, balance);
      const local = balance.localQueue.ask(tokens, turn);
      const inMs = Math.min(MAX_NO_LENDER_RETRY_AFTER_MS, local.inMs);
      return {...local, inMs, isLocal: true};
    }
    balance.localQueue = undefined;
    const isGranted = loan.tokens >= tokens;
    balance.tokens += isGranted ? loan.tokens - tokens : loan.tokens;
    const inMs = isGranted ? 0 : Math.max(1, loan.waitMs);
    // An older lender knows no turns, and this host decides in its place.
    const mayWait = turn.canWait && canAwaitTurn(inMs, turn);
    const isRefused = !isGranted && (loan.isRefused ?? !mayWait);
    return {isGranted, inMs, isRefused, isLocal: false};
  }

  /** Takes the tokens from this host's share of the rate and of the slack. */
  private takeFromLocalQueue(
    team: TeamConfig,
    balance: TeamBalance,
    tokens: number,
  ): number | undefined {
    balance.localQueue ??= this.openLocalQueue(team, balance);
    const waitMs = balance.localQueue.takeSpare(tokens);
    if (waitMs === 0) return undefined;
    return Math.min(MAX_NO_LENDER_RETRY_AFTER_MS, waitMs);
  }

  private openLocalQueue(team: TeamConfig, balance: TeamBalance): RateQueue {
    const {hostCount} = this.source;
    const {fraction, tokens, windowMs} = this.slack;
    const rate = team.tokensPerSecond / hostCount;
    const windowTokens =
      team.tokensPerSecond * (windowMs / MS_PER_SECOND) + team.burstTokens;
    const slack =
      ((windowTokens * fraction + tokens) * USED_SLACK_FRACTION) / hostCount;
    const nowMs = this.clock.now();
    const isDue = nowMs - balance.slackGrantedMs > windowMs;
    if (isDue) balance.slackGrantedMs = nowMs;
    const shape = {rate, burst: Math.max(rate, slack)};
    return new RateQueue(this.clock, shape, isDue ? slack : 0);
  }

  private maxHeldTokens(team: TeamConfig): number {
    return (team.burstTokens * HELD_FRACTION) / this.source.hostCount;
  }

  private balanceOf(team: TeamConfig): TeamBalance {
    let balance = this.balances.get(team.name);
    if (balance === undefined) {
      const lastUsedMs = this.clock.now();
      const used = new WindowSum(this.clock, this.slack.windowMs);
      balance = {
        tokens: 0,
        lastUsedMs,
        localQueue: undefined,
        slackGrantedMs: -Infinity,
        used,
      };
      this.balances.set(team.name, balance);
    }
    return balance;
  }
}
