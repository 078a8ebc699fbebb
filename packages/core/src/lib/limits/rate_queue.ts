/** Queue of the requests that wait for the tokens of one rate. @packageDocumentation */

import {Clock} from '../time/clock.js';
import {TurnPromise, TurnPromises} from './turn_promises.js';
import {BucketShape, TokenBucket} from './token_bucket.js';
import {TurnLimits, canAwaitTurn, turnRank} from './turn_rule.js';

/** Time without renewal after which a waiting request is forgotten. */
export const WAITER_LIFETIME_MS = 1_000;

/** Turn of a request that needs more tokens than can be available at once. */
export const NO_TURN_MS = 60_000;

/** Maximum number of waiting requests; more are refused with their turn. */
const MAX_WAITERS = 1_000;

/**
 * Fraction of the burst that is kept for callers whose turn has come. A full
 * bucket is not refilled, so keeping more would waste the rate.
 */
const MAX_OVERDUE_FRACTION = 0.5;

/**
 * Time between updates of the order and searches for expired entries. Doing so
 * for each request would take a lender with a third of a core much of its time.
 */
const UPDATE_INTERVAL_MS = 50;

const MS_PER_SECOND = 1_000;

/** A request that asks for its turn. */
export interface TurnRequest extends TurnLimits {
  /** Id of the waiting request, unique over all hosts. */
  id: string;
  /** Digest that a request and its repeats have in common. */
  content: string;
  /** See `turnUrgency`. */
  urgency: number;
  /** Time since the request arrived. */
  waitedMs: number;
  /** Whether its host lets it wait. */
  canWait: boolean;
}

/** Reply to a {@link TurnRequest}. */
export interface Turn {
  /** Whether the tokens were taken. */
  isGranted: boolean;
  /** Time until the turn of the request; 0 if granted. */
  inMs: number;
  /** Whether the request must not wait; its tokens are set aside if possible. */
  isRefused: boolean;
}

interface Waiter {
  id: string;
  tokens: number;
  urgency: number;
  sinceMs: number;
  objectiveMs: number;
  deadlineMs: number;
  renewedMs: number;
  /** Rank when the order was updated last. */
  rank: number;
}

/**
 * The queue of one rate, at the host that lends its tokens.
 *
 * Waiting requests ask again from time to time, and are granted their tokens
 * once these are available beyond those of all requests ahead. A refused
 * request is promised its tokens at the time that its caller is told; whoever
 * is granted tokens later leaves these.
 */
export class RateQueue {
  private readonly bucket: TokenBucket;
  private readonly promises = new TurnPromises();
  private readonly waiters = new Map<string, Waiter>();
  /** The same waiters, next turn first. */
  private order: Waiter[] = [];
  private updatedMs = -Infinity;

  /**
   * @param clock - measures refill and ages.
   * @param shape - rate and burst.
   * @param initial - initial number of tokens.
   */
  constructor(
    private readonly clock: Clock,
    private shape: BucketShape,
    initial: number,
  ) {
    this.bucket = new TokenBucket(clock, shape, initial);
  }

  /** Tokens that no waiting request and no promise needs. */
  get spareTokens(): number {
    this.update();
    const wanted = this.waitingTokens + this.promises.tokens;
    return Math.max(0, this.bucket.level - wanted);
  }

  /** Tokens that waiting requests need. */
  get waitingTokens(): number {
    return this.order.reduce((sum, {tokens}) => sum + tokens, 0);
  }

  /** Number of requests that wait. */
  get waiterCount(): number {
    return this.order.length + this.promises.claimedCount;
  }

  /**
   * Changes rate and burst.
   *
   * @param shape - new rate and burst.
   */
  reshape(shape: BucketShape): void {
    this.shape = shape;
    this.bucket.reshape(shape);
  }

  /**
   * Adds tokens, up to the burst.
   *
   * @param tokens - number of tokens to add.
   */
  add(tokens: number): void {
    this.bucket.add(tokens);
  }

  /**
   * Takes tokens that are available beyond those of all waiting requests.
   *
   * @param tokens - number of tokens.
   * @returns 0 if they were taken, else the milliseconds until a request that
   *     came now would have its turn.
   */
  takeSpare(tokens: number): number {
    const inMs = this.timeUntilSpare(tokens);
    return inMs <= 0 && this.takeTokens(tokens) ? 0 : Math.max(1, inMs);
  }

  /**
   * Returns when tokens are available beyond those of all waiting requests.
   *
   * @param tokens - number of tokens.
   * @returns the time until then, in milliseconds; not above 0 if they are.
   */
  timeUntilSpare(tokens: number): number {
    this.update();
    return this.timeUntil(this.waitingTokens, tokens);
  }

  /**
   * Takes the tokens of a request if it is its turn, or lets it wait or
   * refuses it. A waiting request asks again within
   * {@link WAITER_LIFETIME_MS}.
   *
   * @param tokens - number of tokens.
   * @param request - see {@link TurnRequest}.
   * @returns its turn.
   */
  ask(tokens: number, request: TurnRequest): Turn {
    this.update();
    const isKnown = this.waiters.has(request.id);
    const promise = isKnown ? undefined : this.promises.claim(request, tokens);
    if (promise !== undefined)
      return this.askPromised(promise, tokens, request);
    const waiter = this.renew(tokens, request);
    const inMs = this.timeUntil(this.tokensAhead(waiter.rank, waiter), tokens);
    if (inMs <= 0 && this.takeTokens(tokens)) {
      this.remove(waiter);
      return {isGranted: true, inMs: 0, isRefused: false};
    }
    const turnInMs = Math.max(1, inMs);
    const isFull = this.order.length > MAX_WAITERS;
    if (!isFull && request.canWait && canAwaitTurn(turnInMs, request))
      return {isGranted: false, inMs: turnInMs, isRefused: false};
    this.remove(waiter);
    // A promise to a caller that could not wait for it would waste the tokens.
    if (canAwaitTurn(turnInMs, request, true)) {
      const atMs = this.clock.now() + turnInMs;
      this.promises.add(request.content, tokens, atMs);
    }
    return {isGranted: false, inMs: turnInMs, isRefused: true};
  }

  /** Grants a promise at its time, or before if it is the caller's turn. */
  private askPromised(
    promise: TurnPromise,
    tokens: number,
    request: TurnRequest,
  ): Turn {
    const nowMs = this.clock.now();
    promise.renewedMs = nowMs;
    const promisedInMs = Math.max(
      promise.atMs - nowMs,
      this.bucket.timeUntil(tokens),
    );
    const {urgency, waitedMs, deadlineInMs} = request;
    const rank = turnRank(urgency, waitedMs, waitedMs + deadlineInMs);
    const ahead = this.tokensAhead(rank, undefined);
    const rankInMs = this.timeUntil(ahead, tokens, promise);
    const inMs = Math.min(promisedInMs, rankInMs);
    if (inMs <= 0 && this.takeTokens(tokens)) {
      this.promises.remove(promise);
      return {isGranted: true, inMs: 0, isRefused: false};
    }
    const turnInMs = Math.max(1, inMs);
    const isRefused =
      !request.canWait || !canAwaitTurn(turnInMs, request, true);
    if (isRefused) this.promises.release(promise, request.canWait);
    return {isGranted: false, inMs: turnInMs, isRefused};
  }

  /**
   * Returns the milliseconds until tokens are available beyond those of the
   * requests ahead, without taking any that is promised.
   *
   * @param ahead - tokens of the requests ahead.
   * @param tokens - number of tokens.
   * @param own - promise of the same request.
   */
  private timeUntil(ahead: number, tokens: number, own?: TurnPromise): number {
    if (tokens > this.shape.burst) return NO_TURN_MS;
    const {level} = this.bucket;
    const {rate} = this.shape;
    const wanted = ahead + tokens;
    const nowMs = this.clock.now();
    const reserved = this.promises.tokensBefore(
      // What is left at that time for the promises until then.
      atMs =>
        level + (Math.max(0, atMs - nowMs) / MS_PER_SECOND) * rate - wanted,
      own,
    );
    const missing = wanted + reserved - level;
    return Math.min(NO_TURN_MS, (missing / rate) * MS_PER_SECOND);
  }

  private takeTokens(tokens: number): boolean {
    if (!this.bucket.take(tokens)) return false;
    this.bucket.settle(tokens, tokens);
    return true;
  }

  private tokensAhead(rank: number, waiter: Waiter | undefined): number {
    let tokens = 0;
    for (const other of this.order) {
      if (other === waiter || other.rank > rank) break;
      tokens += other.tokens;
    }
    return tokens;
  }

  private renew(tokens: number, request: TurnRequest): Waiter {
    const nowMs = this.clock.now();
    const {id, urgency} = request;
    const waiter = this.waiters.get(id);
    if (waiter !== undefined) {
      waiter.tokens = tokens;
      waiter.renewedMs = nowMs;
      return waiter;
    }
    const added = {
      id,
      tokens,
      urgency,
      sinceMs: nowMs - request.waitedMs,
      objectiveMs: nowMs + request.objectiveInMs,
      deadlineMs: nowMs + request.deadlineInMs,
      renewedMs: nowMs,
      rank: 0,
    };
    added.rank = rankAt(added, nowMs);
    this.waiters.set(id, added);
    this.insert(added);
    return added;
  }

  private insert(waiter: Waiter): void {
    let low = 0;
    let high = this.order.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if (compare(this.order[middle], waiter) <= 0) low = middle + 1;
      else high = middle;
    }
    this.order.splice(low, 0, waiter);
  }

  private remove(waiter: Waiter): void {
    this.waiters.delete(waiter.id);
    this.order.splice(this.order.indexOf(waiter), 1);
  }

  /** Forgets what has expired and updates the order, if that is due. */
  private update(): void {
    const nowMs = this.clock.now();
    if (nowMs - this.updatedMs < UPDATE_INTERVAL_MS) return;
    this.updatedMs = nowMs;
    const maxOverdue = this.shape.burst * MAX_OVERDUE_FRACTION;
    this.promises.forgetExpired(nowMs, WAITER_LIFETIME_MS, maxOverdue);
    for (const waiter of this.order) {
      const {id, renewedMs, deadlineMs} = waiter;
      const isSilent = nowMs - renewedMs > WAITER_LIFETIME_MS;
      if (isSilent || nowMs > deadlineMs) this.waiters.delete(id);
      else waiter.rank = rankAt(waiter, nowMs);
    }
    this.order = [...this.waiters.values()].sort(compare);
  }
}

function rankAt(waiter: Waiter, nowMs: number): number {
  const {urgency, sinceMs, deadlineMs} = waiter;
  return turnRank(urgency, nowMs - sinceMs, deadlineMs - sinceMs);
}

function compare(a: Waiter, b: Waiter): number {
  return a.rank - b.rank || a.objectiveMs - b.objectiveMs;
}
