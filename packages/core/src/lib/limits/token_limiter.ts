/** The limit on a team's tokens. @packageDocumentation */

import {Result} from 'neverthrow';
import {Refusal} from '../requests/outcome.js';

/** What a request asks of its team's limit. */
export interface TokenDemand {
  team: string;
  /** Prompt tokens and the most that may be generated. */
  tokens: number;
  /** Clock time by which the request must have ended, in milliseconds. */
  deadlineMs: number;
}

/** Tokens set aside for one request. */
export interface TokenReservation {
  /**
   * Counts tokens as used while the request runs, so that the limit may
   * refill their place already. Calling it is optional.
   *
   * @param usedTokens - all that was used so far.
   */
  use(usedTokens: number): void;

  /**
   * Settles the reservation. Tokens that were not used go back.
   *
   * @param usedTokens - at most what was reserved; later calls do nothing.
   */
  settle(usedTokens: number): void;
}

/** Keeps every team within its rate and burst. */
export abstract class TokenLimiter {
  /**
   * Reserves tokens, waiting for them as long as the deadline allows.
   *
   * @param demand - see {@link TokenDemand}.
   * @param signal - gives up waiting.
   * @returns the reservation, or a refusal as soon as it is certain that the
   *     tokens cannot come in time.
   */
  abstract reserve(
    demand: TokenDemand,
    signal: AbortSignal,
  ): Promise<Result<TokenReservation, Refusal>>;
}
