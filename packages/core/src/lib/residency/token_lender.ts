/** Lends the tokens of teams to the hosts. @packageDocumentation */

import {DeploymentState} from '../gateway/deployment_state.js';
import {TeamConfig} from '../gateway/deployment.js';
import {HELD_FRACTION, Loan, LoanRequest} from '../gateway/team_quotas.js';
import {NO_TURN_MS, RateQueue} from '../limits/rate_queue.js';
import {BucketShape} from '../limits/token_bucket.js';
import {Clock} from '../time/clock.js';

/** Fraction of the tokens in a bucket that a host may borrow in advance. */
const ADVANCE_FRACTION = 0.25;

/** Fraction of a team's burst that can be used at once, and its least size. */
const BURST_FRACTION = 0.25;
const MIN_BURST_TOKENS = 6_000;

/** Fraction of the hosts that must have reported what they used. */
const REPORTED_FRACTION = 0.9;

const MS_PER_SECOND = 1_000;

/**
 * Keeps one queue of waiting requests for each team, over all hosts.
 *
 * In any window a team gets at most the tokens that its rate and burst allow.
 * The fraction of the burst that cannot be used at once is granted evenly over
 * the window. A new lender starts without tokens, as the previous one may have
 * lent them all, and learns of waiting requests when they ask again. Once nearly all hosts have reported what they used in
 * the last window, it adds the remaining tokens.
 */
export class TokenLender {
  private readonly queues = new Map<string, RateQueue>();
  /**
   * Hosts that have reported since the restart; undefined once the remaining
   * tokens were added.
   */
  private reportedHosts: Set<string> | undefined;
  private readonly usedByTeam = new Map<string, number>();

  /**
   * @param clock - clock for the refill.
   * @param state - the teams and their rates.
   * @param windowMs - window over which rate and burst are enforced.
   */
  constructor(
    private readonly clock: Clock,
    private readonly state: DeploymentState,
    private readonly windowMs: number,
  ) {}

  /** Starts again without tokens and with empty queues. */
  restart(): void {
    this.queues.clear();
    this.reportedHosts = new Set();
    this.usedByTeam.clear();
    const teams = this.state.current?.deployment.teams.values() ?? [];
    for (const team of teams) this.queueOf(team);
  }

  /**
   * Records the tokens that a host used before this lender started.
   *
   * @param host - host that reports; only its first report counts.
   * @param used - tokens of each team in the last window.
   * @param hostCount - upper estimate of the number of hosts.
   */
  recordUsed(
    host: string,
    used: ReadonlyArray<readonly [string, number]>,
    hostCount: number,
  ): void {
    if (this.reportedHosts === undefined || this.reportedHosts.has(host))
      return;
    this.reportedHosts.add(host);
    for (const [team, tokens] of used) {
      this.usedByTeam.set(team, (this.usedByTeam.get(team) ?? 0) + tokens);
    }
    if (this.reportedHosts.size < hostCount * REPORTED_FRACTION) return;
    const missingFactor = Math.max(1, hostCount / this.reportedHosts.size);
    this.reportedHosts = undefined;
    this.addRemaining(missingFactor);
  }

  /**
   * Adds the tokens that were not used in the last window.
   *
   * @param missingFactor - factor that accounts for hosts without a report.
   */
  private addRemaining(missingFactor: number): void {
    const teams = this.state.current?.deployment.teams.values() ?? [];
    const windowS = this.windowMs / MS_PER_SECOND;
    for (const team of teams) {
      if (team.tokensPerSecond <= 0) continue;
      const {rate} = this.shapeOf(team);
      const used = (this.usedByTeam.get(team.name) ?? 0) * missingFactor;
      const held = team.burstTokens * HELD_FRACTION;
      const left = rate * windowS - used - held;
      if (left > 0) this.queueOf(team).add(left);
    }
    this.usedByTeam.clear();
  }

  /**
   * Lends tokens, or returns when it is the turn of the request. A request that
   * states no turn takes what no waiting request needs.
   */
  lend({team, neededTokens, turn, wantedTokens}: LoanRequest): Loan {
    const facts = this.state.current?.deployment.teams.get(team);
    if (facts === undefined)
      return {tokens: 0, waitMs: NO_TURN_MS, isRefused: true};
    const queue = this.queueOf(facts);
    if (turn !== undefined) {
      const {inMs, isGranted, isRefused} = queue.ask(neededTokens, turn);
      return {tokens: isGranted ? neededTokens : 0, waitMs: inMs, isRefused};
    }
    const waitMs = queue.takeSpare(neededTokens);
    if (waitMs > 0) return {tokens: 0, waitMs};
    const spare = queue.spareTokens * ADVANCE_FRACTION;
    const ahead = Math.floor(Math.min(spare, wantedTokens - neededTokens));
    const isAhead = ahead > 0 && queue.takeSpare(ahead) === 0;
    return {tokens: neededTokens + (isAhead ? ahead : 0), waitMs: 0};
  }

  private queueOf(team: TeamConfig): RateQueue {
    const shape = this.shapeOf(team);
    let queue = this.queues.get(team.name);
    if (queue === undefined) {
      queue = new RateQueue(this.clock, shape, 0);
      this.queues.set(team.name, queue);
    }
    queue.reshape(shape);
    return queue;
  }

  private shapeOf(team: TeamConfig): BucketShape {
    const {burstTokens, tokensPerSecond} = team;
    const atOnce = Math.max(burstTokens * BURST_FRACTION, MIN_BURST_TOKENS);
    const burst = Math.min(burstTokens, atOnce);
    const spread = (burstTokens - burst) / (this.windowMs / MS_PER_SECOND);
    return {rate: tokensPerSecond + spread, burst};
  }
}
