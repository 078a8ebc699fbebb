/** A limit that each host applies alone. @packageDocumentation */

import {Result, err, ok} from 'neverthrow';
import {ConfigState} from '../config/config_state.js';
import {Refusal} from '../requests/outcome.js';
import {Clock} from '../time/clock.js';
import {overRate} from './shared_token_limiter.js';
import {TokenBucket} from './token_bucket.js';
import {TokenDemand, TokenLimiter, TokenReservation} from './token_limiter.js';

/** Rounding may leave a wait that would not move the clock. */
const MIN_WAIT_MS = 1;

/**
 * A {@link TokenLimiter} that gives every host the whole rate. It is exact
 * for a single host only and serves as a baseline for several.
 */
export class LocalTokenLimiter extends TokenLimiter {
  private readonly buckets = new Map<string, TokenBucket>();

  /**
   * @param config - the configuration in force.
   * @param clock - measures refills and waits.
   */
  constructor(
    private readonly config: ConfigState,
    private readonly clock: Clock,
  ) {
    super();
  }

  override async reserve(
    {team, tokens, deadlineMs}: TokenDemand,
    signal: AbortSignal,
  ): Promise<Result<TokenReservation, Refusal>> {
    const bucket = this.bucketOf(team);
    if (bucket === undefined) return ok({use: () => {}, settle: () => {}});
    while (!bucket.take(tokens)) {
      const waitMs = bucket.timeUntil(tokens);
      if (this.clock.now() + waitMs >= deadlineMs || signal.aborted) {
        return err(overRate(waitMs));
      }
      await this.clock.sleep(Math.max(MIN_WAIT_MS, waitMs), signal);
    }
    let settled = false;
    const settle = (usedTokens: number) => {
      if (!settled) bucket.settle(tokens, usedTokens);
      settled = true;
    };
    return ok({use: () => {}, settle});
  }

  private bucketOf(team: string): TokenBucket | undefined {
    for (const rate of this.config.declared.all('rate').values()) {
      if (rate.team !== team) continue;
      const shape = {rate: rate.tokens_per_second, burst: rate.burst};
      const known = this.buckets.get(team);
      if (known !== undefined) {
        known.reshape(shape);
        return known;
      }
      const bucket = new TokenBucket(this.clock, shape, shape.burst);
      this.buckets.set(team, bucket);
      return bucket;
    }
    return undefined;
  }
}
