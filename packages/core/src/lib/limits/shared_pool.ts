/** Pool of tokens or permits shared by all hosts. @packageDocumentation */

import {Result, err, ok} from 'neverthrow';
import {Clock, Timer} from '../time/clock.js';
import {BorrowedTokens, LOAN_LIFETIME_MS} from './borrowed_tokens.js';
import {DecayingRate} from './decaying_rate.js';
import {LendingBucket, TokenSource} from './lending_bucket.js';
import {Lender, PoolEntry} from './pool_lender.js';
import {PoolPermit, PoolShortage, SourceAllocation} from './pool_permit.js';
import {PeerShareState, LocalShare} from './local_share.js';
import {PoolSpec, ShareView} from './share_view.js';

const MS_PER_SECOND = 1_000;

/** Seconds of recent demand that are kept available as a buffer. */
const DEMAND_BUFFER_S = 1;

/** Maximum buffer for recent demand, as a fraction of the burst. */
const MAX_BUFFER_FRACTION = 0.25;

/** Number of buffers beyond which borrowed tokens are returned. */
const RETURN_THRESHOLD_BUFFERS = 1.5;

const DEMAND_WINDOW_MS = 2_000;
const INFLOW_WINDOW_MS = 1_000;

/**
 * Factor by which the expected inflow may exceed the measured one, so that
 * requests are not refused too early.
 */
const INFLOW_MARGIN = 2;

/** Interval at which waiting requests are reviewed, in milliseconds. */
const REVIEW_INTERVAL_MS = 50;

/** Minimum delay before waiting requests are reviewed, in milliseconds. */
const MIN_REVIEW_MS = 1;

/**
 * Duration of a shortage after which waits are predicted from the measured
 * inflow, in milliseconds.
 */
const MEASURED_INFLOW_DELAY_MS = 3_000;

/** Allowance for messages in transit, in milliseconds. */
const SETTLE_MARGIN_MS = 1_000;

/** Tolerance for rounding errors in sums of tokens. */
const ROUNDING_TOLERANCE = 1e-6;

interface Waiter {
  tokens: number;
  deadlineMs: number;
  finish: (result: Result<PoolPermit, PoolShortage>) => void;
}

/** Dependencies and settings of a {@link SharedPool}. */
export interface SharedPoolOptions {
  spec: PoolSpec;
  clock: Clock;
  view: ShareView;
  /** Maximum time that a permit is held, in milliseconds. */
  maxHoldMs: number;
  /** Called when this host has too few tokens for a request. */
  onShortage: () => void;
}

/**
 * One host's handle to a shared pool.
 *
 * Over all hosts together, the tokens taken in any window stay within
 * `rate * window + burst`, even during network partitions, crashes and
 * restarts. Of a pool with an infinite rate, at most `burst` permits are held
 * at any moment.
 *
 * ```ts
 * const permit = pool.tryTake(1);
 * if (permit !== undefined) {
 *   await load();
 *   permit.settle(1);
 * }
 * ```
 */
export class SharedPool {
  private spec: PoolSpec;
  private readonly bucket: LendingBucket;
  private readonly localShare: LocalShare;
  private readonly lender: Lender;
  private readonly borrowed = new Map<string, BorrowedTokens>();
  private readonly peerStates = new Map<string, PeerShareState>();
  private readonly waiters: Waiter[] = [];
  private readonly demand: DecayingRate;
  private readonly inflow: DecayingRate;
  private waitingTokens = 0;
  private shortageStartMs: number | undefined;
  private reviewTimer: Timer | undefined;

  constructor(private readonly options: SharedPoolOptions) {
    const {clock, view, spec, maxHoldMs} = options;
    const settleMs = LOAN_LIFETIME_MS + maxHoldMs + SETTLE_MARGIN_MS;
    this.spec = spec;
    this.bucket = new LendingBucket(clock, settleMs);
    this.localShare = new LocalShare(clock, view, settleMs);
    this.lender = new Lender(clock, this.bucket);
    this.demand = new DecayingRate(clock, DEMAND_WINDOW_MS);
    this.inflow = new DecayingRate(clock, INFLOW_WINDOW_MS);
    this.updateLocalShare();
  }

  /** Name of the pool. */
  get name(): string {
    return this.spec.name;
  }

  /** Tokens available at this host without waiting. */
  get available(): number {
    let sum = this.bucket.level;
    for (const source of this.borrowed.values()) sum += source.level;
    return sum;
  }

  /** Number of requests that wait for tokens at this host. */
  get waiting(): number {
    return this.waiters.length;
  }

  /**
   * Changes rate, burst and floor.
   *
   * @param spec - new declaration of the pool.
   */
  reshape(spec: PoolSpec): void {
    this.spec = spec;
    this.updateLocalShare();
  }

  /**
   * Takes tokens without waiting. If too few are available, the host tries to
   * borrow them for the next attempt.
   *
   * @param tokens - number of tokens.
   * @returns the permit, or undefined if this host has too few tokens.
   */
  tryTake(tokens: number): PoolPermit | undefined {
    this.demand.add(tokens);
    const permit =
      this.waiters.length > 0 ? undefined : this.tryReserve(tokens);
    if (permit === undefined) this.options.onShortage();
    return permit;
  }

  /**
   * Takes tokens, waiting for them if necessary.
   *
   * @param tokens - number of tokens.
   * @param deadlineMs - clock time until which to wait, in milliseconds.
   * @param signal - aborts the wait.
   * @returns the permit, or a shortage as soon as the tokens are predicted to be
   *     available only after the deadline.
   */
  acquire(
    tokens: number,
    deadlineMs: number,
    signal: AbortSignal,
  ): Promise<Result<PoolPermit, PoolShortage>> {
    this.demand.add(Math.min(tokens, this.spec.burst));
    if (this.waiters.length === 0) {
      const permit = this.tryReserve(tokens);
      if (permit !== undefined) return Promise.resolve(ok(permit));
    }
    const isTooLarge = tokens > this.spec.burst;
    const waitMs = isTooLarge
      ? Infinity
      : this.expectedWaitMs(this.waitingTokens + tokens);
    if (this.options.clock.now() + waitMs > deadlineMs || signal.aborted) {
      return Promise.resolve(err({type: 'shortage', waitMs}));
    }
    return this.waitForTokens(tokens, deadlineMs, signal);
  }

  /**
   * Updates this host's share, serves the waiting requests that it can and
   * refuses those that cannot be served before their deadline.
   */
  review(): void {
    this.updateLocalShare();
    this.serveWaiters();
    this.refuseUnservable();
  }

  /**
   * Prepares the entry of this pool for a report to a lender. Surplus tokens
   * that the entry returns are removed from this host.
   *
   * @param peer - name of the lender.
   * @param share - fraction of the need that is requested from it, 0 to 1.
   * @returns the entry.
   */
  prepareEntry(peer: string, share: number): PoolEntry {
    const source = this.borrowed.get(peer);
    const wantedBuffer = this.bufferTokens();
    const available = this.available;
    const surplus = available - RETURN_THRESHOLD_BUFFERS * wantedBuffer;
    const returned = Math.max(0, Math.min(source?.level ?? 0, surplus));
    if (returned > 0) this.recordInflow(-returned);
    source?.returnTokens(returned);
    return {
      pool: this.name,
      need: Math.max(0, (wantedBuffer - available) * share),
      held: source?.held ?? 0,
      returned,
      charge: this.bucket.excess + this.orphanedTokens(),
    };
  }

  /** Returns whether this host holds tokens borrowed from a peer. */
  holdsTokensOf(peer: string): boolean {
    return (this.borrowed.get(peer)?.held ?? 0) > 0;
  }

  /** Number of tokens that this host needs beyond the available ones. */
  get need(): number {
    return Math.max(0, this.bufferTokens() - this.available);
  }

  /**
   * Applies a report of a peer and lends it tokens, which are removed from this
   * host.
   *
   * @param peer - name of the peer.
   * @param entry - its entry about this pool.
   * @param peerState - its state that affects this host's share.
   * @returns number of tokens lent, and the surplus that remains here.
   */
  handleReport(
    peer: string,
    entry: PoolEntry,
    peerState: PeerShareState,
  ): {granted: number; left: number} {
    this.peerStates.set(peer, peerState);
    this.bucket.applyReport(peer, entry.held, entry.returned);
    this.updateLocalShare();
    if (entry.returned > 0) this.recordInflow(entry.returned);
    this.serveWaiters();
    const ownNeed =
      this.waitingTokens + this.demand.value * DEMAND_BUFFER_S * 0.5;
    const granted = this.lender.grant(peer, entry.need, ownNeed);
    if (granted > 0) this.recordInflow(-granted);
    return {granted, left: Math.max(0, this.bucket.level - ownNeed)};
  }

  /**
   * Adds the tokens that a lender granted.
   *
   * @param peer - name of the lender.
   * @param granted - number of tokens that it lent.
   * @param reportedAtMs - clock time at which the report that it replied to was
   *     sent, in milliseconds.
   */
  receive(peer: string, granted: number, reportedAtMs: number): void {
    let source = this.borrowed.get(peer);
    if (source === undefined) {
      if (granted === 0) return;
      source = new BorrowedTokens(this.options.clock);
      this.borrowed.set(peer, source);
    }
    source.receive(granted, reportedAtMs);
    if (source.held === 0) this.borrowed.delete(peer);
    if (granted > 0) this.recordInflow(granted);
    this.serveWaiters();
  }

  /** Refuses all waiting requests, because the pool is no longer declared. */
  close(): void {
    for (const waiter of [...this.waiters]) {
      waiter.finish(err({type: 'shortage', waitMs: Infinity}));
    }
  }

  private updateLocalShare(): void {
    const known = this.options.view.peers().map(({host}) => host);
    this.bucket.retainLoansOf(new Set(known));
    const {shape, withheld} = this.localShare.update(
      this.spec,
      this.peerStates,
    );
    this.bucket.reshape(shape, withheld);
  }

  /** Returns the tokens held that were borrowed from hosts that have left. */
  private orphanedTokens(): number {
    let sum = 0;
    const known = new Set(this.options.view.peers().map(({host}) => host));
    for (const [host, source] of this.borrowed) {
      if (!known.has(host)) sum += source.held;
    }
    return sum;
  }

  private bufferTokens(): number {
    const {rate, burst} = this.spec;
    const expected =
      this.demand.value * (rate === Infinity ? 0 : DEMAND_BUFFER_S);
    const demandBuffer = Math.min(expected, burst * MAX_BUFFER_FRACTION);
    return this.waitingTokens + demandBuffer;
  }

  private tryReserve(tokens: number): PoolPermit | undefined {
    if (this.available + ROUNDING_TOLERANCE < tokens) return undefined;
    const allocations: SourceAllocation[] = [];
    let missing = tokens;
    const sources: TokenSource[] = [...this.borrowed.values(), this.bucket];
    for (const source of sources) {
      const taken = Math.min(missing, source.level);
      if (taken <= 0) continue;
      source.reserve(taken);
      allocations.push({source, tokens: taken});
      missing -= taken;
    }
    return new PoolPermit(allocations, () => this.serveWaiters());
  }

  private waitForTokens(
    tokens: number,
    deadlineMs: number,
    signal: AbortSignal,
  ): Promise<Result<PoolPermit, PoolShortage>> {
    const {clock} = this.options;
    return new Promise(resolve => {
      const waiter: Waiter = {
        tokens,
        deadlineMs,
        finish: result => {
          const at = this.waiters.indexOf(waiter);
          if (at < 0) return;
          this.waiters.splice(at, 1);
          this.waitingTokens -= tokens;
          if (this.waiters.length === 0) this.shortageStartMs = undefined;
          timer.cancel();
          signal.removeEventListener('abort', refuseWaiter);
          resolve(result);
        },
      };
      const refuseWaiter = () => {
        const waitMs = this.expectedWaitMs(this.waitingTokens);
        waiter.finish(err({type: 'shortage', waitMs}));
      };
      const timer = clock.after(deadlineMs - clock.now(), refuseWaiter);
      signal.addEventListener('abort', refuseWaiter);
      this.shortageStartMs ??= clock.now();
      this.waiters.push(waiter);
      this.waitingTokens += tokens;
      this.options.onShortage();
      this.scheduleReview();
    });
  }

  private scheduleReview(): void {
    if (this.reviewTimer !== undefined) return;
    const missing = Math.max(0, this.waiters[0].tokens - this.available);
    const refillMs = (missing / this.bucket.rate) * MS_PER_SECOND;
    const soonMs = Math.max(MIN_REVIEW_MS, refillMs);
    const delayMs = Math.min(REVIEW_INTERVAL_MS, soonMs);
    this.reviewTimer = this.options.clock.after(delayMs, () => {
      this.reviewTimer = undefined;
      if (this.waiters.length === 0) return;
      if (this.bucket.rate !== Infinity) {
        this.recordInflow((this.bucket.rate * delayMs) / MS_PER_SECOND);
      }
      this.review();
      if (this.waiters.length > 0) this.scheduleReview();
    });
  }

  private serveWaiters(): void {
    while (this.waiters.length > 0) {
      const [first] = this.waiters;
      const permit = this.tryReserve(first.tokens);
      if (permit === undefined) return;
      first.finish(ok(permit));
    }
  }

  private refuseUnservable(): void {
    const nowMs = this.options.clock.now();
    let ahead = 0;
    for (const waiter of [...this.waiters]) {
      ahead += waiter.tokens;
      const waitMs = this.expectedWaitMs(ahead);
      if (nowMs + waitMs <= waiter.deadlineMs) continue;
      waiter.finish(err({type: 'shortage', waitMs}));
      ahead -= waiter.tokens;
    }
  }

  /**
   * Predicts the wait for a number of tokens.
   *
   * @returns best-case time until they are available, in milliseconds.
   */
  private expectedWaitMs(tokens: number): number {
    const missing = tokens - this.available;
    if (missing <= 0) return 0;
    return (missing / this.expectedInflow()) * MS_PER_SECOND;
  }

  /**
   * Returns the best-case inflow in tokens per second: the whole rate of the
   * pool, or after a lasting shortage a multiple of the measured inflow.
   */
  private expectedInflow(): number {
    const {rate} = this.spec;
    const nowMs = this.options.clock.now();
    const shortMs = nowMs - (this.shortageStartMs ?? nowMs);
    if (rate === Infinity || shortMs < MEASURED_INFLOW_DELAY_MS) return rate;
    const optimisticInflow = INFLOW_MARGIN * this.inflow.value;
    return Math.max(this.bucket.rate, Math.min(rate, optimisticInflow));
  }

  private recordInflow(tokens: number): void {
    this.inflow.add(tokens);
  }
}
