/** Token limits of teams, enforced across all hosts. @packageDocumentation */

import {Result, err, ok} from 'neverthrow';
import {ConfigState} from '../config/config_state.js';
import {REFUSAL, Refusal, refuse} from '../requests/outcome.js';
import {PoolSpec} from './share_view.js';
import {ShareExchange} from './share_exchange.js';
import {SharedPool} from './shared_pool.js';
import {TokenDemand, TokenLimiter, TokenReservation} from './token_limiter.js';

/** Longest time that a request holds tokens if no route is declared. */
const DEFAULT_MAX_HOLD_MS = 300_000;

/** Dependencies of a {@link SharedTokenLimiter}. */
export interface SharedTokenLimiterOptions {
  /** Current configuration. */
  config: ConfigState;
  exchange: ShareExchange;
}

/** A {@link TokenLimiter} that has a shared pool for each team with a rate. */
export class SharedTokenLimiter extends TokenLimiter {
  private readonly pools = new Map<string, SharedPool>();

  constructor(private readonly options: SharedTokenLimiterOptions) {
    super();
  }

  /**
   * Updates the pools to the declared rates. Must be called after each change
   * of the configuration.
   */
  sync(): void {
    const {exchange, config} = this.options;
    const maxHoldMs = this.maxHoldMs();
    const declared = new Set<string>();
    for (const rate of config.declared.all('rate').values()) {
      const {team, burst, floor} = rate;
      const name = poolName(team);
      const spec: PoolSpec = {name, rate: rate.tokens_per_second, burst, floor};
      this.pools.set(team, exchange.define(spec, maxHoldMs));
      declared.add(team);
    }
    for (const team of this.pools.keys()) {
      if (declared.has(team)) continue;
      exchange.remove(poolName(team));
      this.pools.delete(team);
    }
  }

  override async reserve(
    {team, tokens, deadlineMs}: TokenDemand,
    signal: AbortSignal,
  ): Promise<Result<TokenReservation, Refusal>> {
    const pool = this.pools.get(team);
    if (pool === undefined) return ok({use: () => {}, settle: () => {}});
    const permit = await pool.acquire(tokens, deadlineMs, signal);
    if (permit.isErr()) return err(overRateRefusal(permit.error.waitMs));
    return ok(permit.value);
  }

  private maxHoldMs(): number {
    const routes = [...this.options.config.declared.all('route').values()];
    if (routes.length === 0) return DEFAULT_MAX_HOLD_MS;
    return Math.max(...routes.map(route => route.max_deadline));
  }
}

/**
 * Creates the refusal of a request whose tokens are not available in time.
 *
 * @param waitMs - expected wait in milliseconds; Infinity if the request needs
 *     more tokens than the burst of its team.
 */
export function overRateRefusal(waitMs: number): Refusal {
  if (waitMs === Infinity) {
    const message = 'the request needs more tokens than the burst of its team';
    return refuse(REFUSAL.overRate, message);
  }
  const message = 'the team is over its rate until after the deadline';
  return refuse(REFUSAL.overRate, message, waitMs);
}

function poolName(team: string): string {
  return `team/${team}`;
}
