/** Token limits of teams. @packageDocumentation */

import {Result} from 'neverthrow';
import {Refusal} from '../requests/outcome.js';

/** Tokens that a request needs from the limit of its team. */
export interface TokenDemand {
  team: string;
  /** Prompt tokens plus the maximum number of generated tokens. */
  tokens: number;
  /** Clock time by which the request must end, in milliseconds. */
  deadlineMs: number;
}

/** Tokens reserved for one request. */
export interface TokenReservation {
  /**
   * Counts tokens as used while the request is still running, so that the
   * limit can refill their place early. Calls are optional.
   *
   * @param usedTokens - total used so far.
   */
  use(usedTokens: number): void;

  /**
   * Ends the reservation and refunds unused tokens. Later calls do nothing.
   *
   * @param usedTokens - total used, at most the number of reserved tokens.
   */
  settle(usedTokens: number): void;
}

/** Limits every team to its rate and burst. */
export abstract class TokenLimiter {
  /**
   * Reserves tokens, waiting for them until the deadline if necessary.
   *
   * @param demand - team, number of tokens and deadline.
   * @param signal - aborts the wait.
   * @returns the reservation, or a refusal as soon as it is certain that the
   *     tokens cannot be available in time.
   */
  abstract reserve(
    demand: TokenDemand,
    signal: AbortSignal,
  ): Promise<Result<TokenReservation, Refusal>>;
}
