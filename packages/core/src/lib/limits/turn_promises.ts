/** Tokens that are set aside for callers that were told when to return. @packageDocumentation */

/** Time after its turn for which the tokens of a caller are set aside. */
const GRACE_MS = 300;

/** Maximum number of promises of one rate; further callers are promised none. */
const MAX_PROMISES = 1_000;

/** Tokens that are set aside for one caller. */
export interface TurnPromise {
  /** Digest of the request. */
  content: string;
  tokens: number;
  /** Clock time that the caller was told. */
  atMs: number;
  /** Id of the waiting request of the caller that has returned, if it has. */
  claimedBy: string | undefined;
  /** Clock time at which that request has asked last. */
  renewedMs: number;
}

/** The promises of one rate, ordered by their time. */
export class TurnPromises {
  private order: TurnPromise[] = [];

  /** Tokens of all promises. */
  get tokens(): number {
    return this.order.reduce((sum, {tokens}) => sum + tokens, 0);
  }

  /** Number of callers that have returned and wait. */
  get claimedCount(): number {
    return this.order.filter(({claimedBy}) => claimedBy !== undefined).length;
  }

  /**
   * Sets tokens aside.
   *
   * @param content - digest of the request.
   * @param tokens - number of tokens.
   * @param atMs - clock time of the turn.
   */
  add(content: string, tokens: number, atMs: number): void {
    const {order} = this;
    if (order.length >= MAX_PROMISES) return;
    const claimedBy = undefined;
    const promise = {content, tokens, atMs, claimedBy, renewedMs: -Infinity};
    const next = order.findIndex(other => other.atMs > atMs);
    if (next < 0) order.push(promise);
    else order.splice(next, 0, promise);
  }

  /**
   * Finds the promise of a request, or of an earlier attempt of its caller.
   *
   * @param request - id of the waiting request, and its digest.
   * @param tokens - number of tokens that it needs.
   * @returns the promise; undefined if there is none.
   */
  claim(
    {id, content}: {id: string; content: string},
    tokens: number,
  ): TurnPromise | undefined {
    const own = this.order.find(({claimedBy}) => claimedBy === id);
    if (own !== undefined) return own;
    const free = this.order.find(
      promise =>
        promise.claimedBy === undefined &&
        promise.content === content &&
        promise.tokens >= tokens,
    );
    if (free !== undefined) free.claimedBy = id;
    return free;
  }

  /**
   * Ends the claim of a request that is refused again.
   *
   * @param promise - the promise.
   * @param isTooLate - whether the caller has no time left for it.
   */
  release(promise: TurnPromise, isTooLate: boolean): void {
    if (isTooLate) this.remove(promise);
    else promise.claimedBy = undefined;
  }

  /** Removes a promise. */
  remove(promise: TurnPromise): void {
    this.order.splice(this.order.indexOf(promise), 1);
  }

  /**
   * Returns the tokens that have to be left for promises.
   *
   * @param leftAt - returns the tokens that are left at a clock time for the
   *     promises up to then.
   * @param own - promise that is not counted.
   * @returns the tokens of all promises up to the last one for which too little
   *     would be left.
   */
  tokensBefore(leftAt: (atMs: number) => number, own?: TurnPromise): number {
    let promised = 0;
    let reserved = 0;
    for (const promise of this.order) {
      if (promise === own) continue;
      promised += promise.tokens;
      if (leftAt(promise.atMs) < promised) reserved = promised;
    }
    return reserved;
  }

  /**
   * Forgets promises whose callers have not returned in time or have gone.
   *
   * @param nowMs - clock time.
   * @param lifetimeMs - how long a waiting request needs no renewal.
   * @param maxOverdueTokens - tokens that may be kept for callers whose turn
   *     has come and who have not returned; the oldest promises end first.
   */
  forgetExpired(
    nowMs: number,
    lifetimeMs: number,
    maxOverdueTokens: number,
  ): void {
    let excess = -maxOverdueTokens;
    for (const {atMs, claimedBy, tokens} of this.order)
      if (claimedBy === undefined && atMs < nowMs) excess += tokens;
    const isKept = (promise: TurnPromise) => {
      const {atMs, claimedBy, renewedMs, tokens} = promise;
      if (claimedBy !== undefined) return nowMs - renewedMs <= lifetimeMs;
      if (atMs >= nowMs) return true;
      const isExcess = excess > 0;
      excess -= tokens;
      return !isExcess && nowMs <= atMs + GRACE_MS;
    };
    this.order = this.order.filter(isKept);
  }
}
