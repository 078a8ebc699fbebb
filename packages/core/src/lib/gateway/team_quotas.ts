/** The rates of teams on this host. @packageDocumentation */

import {TokenBucket} from '../limits/token_bucket.js';
import {Clock} from '../time/clock.js';
import {TeamFacts} from './deployment.js';

/** This host's part of a team's rate, from 0 to 1. */
export type TeamShare = (team: string) => number;

/** Longest time after which a refused caller is told to come back. */
const MAX_RETRY_AFTER_MS = 3_000;

/**
 * Holds each team to this host's part of its rate and burst. The parts of all
 * hosts add up to at most one, so that the team's rate holds over all of them.
 */
export class TeamQuotas {
  private readonly buckets = new Map<string, TokenBucket>();
  private readonly wanted = new Map<string, number>();

  /**
   * @param clock - measures the refill.
   * @param shareOf - this host's part; may change at any time.
   */
  constructor(
    private readonly clock: Clock,
    private readonly shareOf: TeamShare,
  ) {}

  /**
   * @param team - whose request it is.
   * @param tokens - what it counts as.
   * @returns nothing if it may run, else when to come back, in milliseconds.
   */
  take(team: TeamFacts, tokens: number): number | undefined {
    if (team.tokensPerSecond <= 0) return undefined;
    this.wanted.set(team.name, (this.wanted.get(team.name) ?? 0) + tokens);
    const bucket = this.bucketOf(team);
    if (bucket.take(tokens)) {
      bucket.settle(tokens, tokens);
      return undefined;
    }
    const waitMs = bucket.timeUntil(tokens);
    return Math.min(MAX_RETRY_AFTER_MS, Math.ceil(waitMs));
  }

  /** Gives back what a request took that did not run. */
  giveBack(team: TeamFacts, tokens: number): void {
    this.buckets.get(team.name)?.settle(0, -tokens);
  }

  /** @returns tokens that each team asked for since the last call. */
  drainDemand(): Array<[team: string, tokens: number]> {
    const demand = [...this.wanted];
    this.wanted.clear();
    return demand;
  }

  /** Brings the buckets in line with the shares of now. */
  reshape(teams: Iterable<TeamFacts>): void {
    for (const team of teams) {
      const bucket = this.buckets.get(team.name);
      if (bucket !== undefined) bucket.reshape(this.shapeOf(team));
    }
  }

  private bucketOf(team: TeamFacts): TokenBucket {
    let bucket = this.buckets.get(team.name);
    if (bucket === undefined) {
      const shape = this.shapeOf(team);
      bucket = new TokenBucket(this.clock, shape, shape.burst);
      this.buckets.set(team.name, bucket);
    }
    return bucket;
  }

  private shapeOf(team: TeamFacts): {rate: number; burst: number} {
    const share = this.shareOf(team.name);
    return {
      rate: team.tokensPerSecond * share,
      burst: team.burstTokens * share,
    };
  }
}
