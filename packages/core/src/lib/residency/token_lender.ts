/** Lends the teams' tokens to the hosts. @packageDocumentation */

import {DeploymentState} from '../gateway/deployment_state.js';
import {TeamFacts} from '../gateway/deployment.js';
import {Loan, LoanRequest} from '../gateway/team_quotas.js';
import {TokenBucket} from '../limits/token_bucket.js';
import {Clock} from '../time/clock.js';

/** Part of the tokens in a bucket that one host may take ahead of its need. */
const AHEAD_PART = 0.25;

/**
 * One bucket for each team, which holds its whole rate. A new lender begins
 * with empty buckets, as the one before it may have lent all that there was.
 */
export class TokenLender {
  private readonly buckets = new Map<string, TokenBucket>();

  /**
   * @param clock - measures the refill.
   * @param state - the teams and their rates.
   */
  constructor(
    private readonly clock: Clock,
    private readonly state: DeploymentState,
  ) {}

  /** Empties every bucket. */
  restart(): void {
    this.buckets.clear();
    const teams = this.state.current?.deployment.teams.values() ?? [];
    for (const team of teams) this.bucketOf(team);
  }

  /** @returns what is lent. */
  lend({team, neededTokens, wantedTokens}: LoanRequest): Loan {
    const facts = this.state.current?.deployment.teams.get(team);
    if (facts === undefined) return {tokens: 0, waitMs: Infinity};
    const bucket = this.bucketOf(facts);
    const {level} = bucket;
    if (level < neededTokens) {
      return {tokens: 0, waitMs: bucket.timeUntil(neededTokens)};
    }
    const spare = (level - neededTokens) * AHEAD_PART;
    const ahead = Math.min(spare, wantedTokens - neededTokens);
    const tokens = Math.floor(neededTokens + Math.max(0, ahead));
    bucket.take(tokens);
    bucket.settle(tokens, tokens);
    return {tokens, waitMs: 0};
  }

  private bucketOf(team: TeamFacts): TokenBucket {
    const shape = {rate: team.tokensPerSecond, burst: team.burstTokens};
    let bucket = this.buckets.get(team.name);
    if (bucket === undefined) {
      bucket = new TokenBucket(this.clock, shape, 0);
      this.buckets.set(team.name, bucket);
    }
    bucket.reshape(shape);
    return bucket;
  }
}
