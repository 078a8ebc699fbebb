/** A pool of tokens or permits that all hosts share. @packageDocumentation */

import {Result, err, ok} from 'neverthrow';
import {Clock, Timer} from '../time/clock.js';
import {BorrowedTokens, LOAN_MS} from './borrowed_tokens.js';
import {DecayingRate} from './decaying_rate.js';
import {LendingBucket, TokenSource} from './lending_bucket.js';
import {Lender, PoolEntry} from './pool_lender.js';
import {PoolPermit, PoolShortage, SourcePiece} from './pool_permit.js';
import {PeerClaim, SharePart} from './share_part.js';
import {PoolSpec, ShareView} from './share_view.js';

const MS_PER_SECOND = 1_000;

/** Demand of the recent past that is kept at hand, in seconds. */
const BUFFER_S = 1;

/** Part of the burst that is kept at hand without a waiting request. */
const MAX_BUFFER_PART = 0.25;

/** Borrowed tokens beyond this many buffers are given back. */
const RETURN_BUFFERS = 1.5;

const DEMAND_WINDOW_MS = 2_000;
const INFLOW_WINDOW_MS = 1_000;

/** What may come, against what came lately; a refusal must not be hasty. */
const INFLOW_MARGIN = 2;

/** How often waiting requests are looked at again, in milliseconds. */
const REVIEW_INTERVAL_MS = 50;

/** Shortest time before they are looked at again, in milliseconds. */
const MIN_REVIEW_MS = 1;

/** Shortage after which the measured inflow decides, in milliseconds. */
const SHORTAGE_PROOF_MS = 3_000;

/** Allowance for messages on their way, in milliseconds. */
const SETTLE_MARGIN_MS = 1_000;

/** Rounding errors of sums of shares, in tokens. */
const ROUNDING = 1e-6;

interface Waiter {
  tokens: number;
  deadlineMs: number;
  finish: (result: Result<PoolPermit, PoolShortage>) => void;
}

/** What a {@link SharedPool} works with. */
export interface SharedPoolOptions {
  spec: PoolSpec;
  clock: Clock;
  view: ShareView;
  /** Longest time for which a permit is held, in milliseconds. */
  maxHoldMs: number;
  /** Called when a request has to wait for tokens. */
  onShort: () => void;
}

/**
 * One host's view of a shared pool.
 *
 * Over all hosts together, whatever is cut off, dies or restarts, tokens
 * taken in any window stay within `rate * window + burst`; of a pool with an
 * infinite rate at most `burst` permits are held at any moment.
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
  private readonly part: SharePart;
  private readonly lender: Lender;
  private readonly borrowed = new Map<string, BorrowedTokens>();
  private readonly claims = new Map<string, PeerClaim>();
  private readonly waiters: Waiter[] = [];
  private readonly demand: DecayingRate;
  private readonly inflow: DecayingRate;
  private waitingTokens = 0;
  private shortSinceMs: number | undefined;
  private reviewTimer: Timer | undefined;

  constructor(private readonly options: SharedPoolOptions) {
    const {clock, view, spec, maxHoldMs} = options;
    const settleMs = LOAN_MS + maxHoldMs + SETTLE_MARGIN_MS;
    this.spec = spec;
    this.bucket = new LendingBucket(clock, settleMs);
    this.part = new SharePart(clock, view, settleMs);
    this.lender = new Lender(clock, this.bucket);
    this.demand = new DecayingRate(clock, DEMAND_WINDOW_MS);
    this.inflow = new DecayingRate(clock, INFLOW_WINDOW_MS);
    this.followPart();
  }

  /** Name of the pool. */
  get name(): string {
    return this.spec.name;
  }

  /** Tokens that can be taken here at once. */
  get available(): number {
    let sum = this.bucket.level;
    for (const source of this.borrowed.values()) sum += source.level;
    return sum;
  }

  /** Requests that wait for tokens here. */
  get waiting(): number {
    return this.waiters.length;
  }

  /** @param spec - the pool as it is declared now. */
  reshape(spec: PoolSpec): void {
    this.spec = spec;
    this.followPart();
  }

  /**
   * Takes tokens without waiting.
   *
   * @param tokens - how many.
   * @returns the permit, or undefined if this host has too few at hand; it
   *     then tries to have them next time.
   */
  tryTake(tokens: number): PoolPermit | undefined {
    this.demand.add(tokens);
    const permit = this.waiters.length > 0 ? undefined : this.take(tokens);
    if (permit === undefined) this.options.onShort();
    return permit;
  }

  /**
   * Takes tokens, waiting for them if need be.
   *
   * @param tokens - how many.
   * @param deadlineMs - clock time until which to wait, in milliseconds.
   * @param signal - gives up waiting.
   * @returns the permit, or a shortage as soon as it shows that the tokens
   *     cannot come in time.
   */
  acquire(
    tokens: number,
    deadlineMs: number,
    signal: AbortSignal,
  ): Promise<Result<PoolPermit, PoolShortage>> {
    this.demand.add(Math.min(tokens, this.spec.burst));
    if (this.waiters.length === 0) {
      const permit = this.take(tokens);
      if (permit !== undefined) return Promise.resolve(ok(permit));
    }
    const isTooLarge = tokens > this.spec.burst;
    const waitMs = isTooLarge
      ? Infinity
      : this.expectedWaitMs(this.waitingTokens + tokens);
    if (this.options.clock.now() + waitMs > deadlineMs || signal.aborted) {
      return Promise.resolve(err({type: 'shortage', waitMs}));
    }
    return this.wait(tokens, deadlineMs, signal);
  }

  /** Looks at the part and at the waiting requests again. */
  review(): void {
    this.followPart();
    this.serve();
    this.refuseHopeless();
  }

  /**
   * @param peer - the lender to be asked.
   * @param share - part of the need that this lender is asked for, 0 to 1.
   * @returns what to tell the lender; tokens in it have left this host.
   */
  entryFor(peer: string, share: number): PoolEntry {
    const source = this.borrowed.get(peer);
    const buffer = this.buffer();
    const available = this.available;
    const surplus = available - RETURN_BUFFERS * buffer;
    const returned = Math.max(0, Math.min(source?.level ?? 0, surplus));
    if (returned > 0) this.noteInflow(-returned);
    source?.giveBack(returned);
    return {
      pool: this.name,
      need: Math.max(0, (buffer - available) * share),
      held: source?.held ?? 0,
      returned,
      charge: this.bucket.excess + this.orphans(),
    };
  }

  /** @returns whether anything is held of a peer's part. */
  holdsOf(peer: string): boolean {
    return (this.borrowed.get(peer)?.held ?? 0) > 0;
  }

  /** Tokens that this host wants beyond those at hand. */
  get need(): number {
    return Math.max(0, this.buffer() - this.available);
  }

  /**
   * Takes a peer's report and lends it tokens.
   *
   * @param peer - name of the peer.
   * @param entry - what it told.
   * @param claim - what bears on this host's part.
   * @returns tokens lent, which have left this host, and those left here.
   */
  answer(
    peer: string,
    entry: PoolEntry,
    claim: PeerClaim,
  ): {granted: number; left: number} {
    this.claims.set(peer, claim);
    this.bucket.report(peer, entry.held, entry.returned);
    this.followPart();
    if (entry.returned > 0) this.noteInflow(entry.returned);
    this.serve();
    const ownNeed = this.waitingTokens + this.demand.value * BUFFER_S * 0.5;
    const granted = this.lender.grant(peer, entry.need, ownNeed);
    if (granted > 0) this.noteInflow(-granted);
    return {granted, left: Math.max(0, this.bucket.level - ownNeed)};
  }

  /**
   * @param peer - the lender that answered.
   * @param granted - what it lent.
   * @param askedAtMs - clock time of the report that it answered.
   */
  receive(peer: string, granted: number, askedAtMs: number): void {
    let source = this.borrowed.get(peer);
    if (source === undefined) {
      if (granted === 0) return;
      source = new BorrowedTokens(this.options.clock);
      this.borrowed.set(peer, source);
    }
    source.receive(granted, askedAtMs);
    if (source.held === 0) this.borrowed.delete(peer);
    if (granted > 0) this.noteInflow(granted);
    this.serve();
  }

  /** Refuses every waiting request; the pool is no longer declared. */
  close(): void {
    for (const waiter of [...this.waiters]) {
      waiter.finish(err({type: 'shortage', waitMs: Infinity}));
    }
  }

  private followPart(): void {
    const known = this.options.view.peers().map(({host}) => host);
    this.bucket.keepLoansOf(new Set(known));
    const {shape, withheld} = this.part.now(this.spec, this.claims);
    this.bucket.reshape(shape, withheld);
  }

  /** Tokens held of hosts that have gone. */
  private orphans(): number {
    let sum = 0;
    const known = new Set(this.options.view.peers().map(({host}) => host));
    for (const [host, source] of this.borrowed) {
      if (!known.has(host)) sum += source.held;
    }
    return sum;
  }

  private buffer(): number {
    const {rate, burst} = this.spec;
    const expected = this.demand.value * (rate === Infinity ? 0 : BUFFER_S);
    const ahead = Math.min(expected, burst * MAX_BUFFER_PART);
    return this.waitingTokens + ahead;
  }

  private take(tokens: number): PoolPermit | undefined {
    if (this.available + ROUNDING < tokens) return undefined;
    const pieces: SourcePiece[] = [];
    let missing = tokens;
    const sources: TokenSource[] = [...this.borrowed.values(), this.bucket];
    for (const source of sources) {
      const taken = Math.min(missing, source.level);
      if (taken <= 0) continue;
      source.take(taken);
      pieces.push({source, tokens: taken});
      missing -= taken;
    }
    return new PoolPermit(pieces, () => this.serve());
  }

  private wait(
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
          if (this.waiters.length === 0) this.shortSinceMs = undefined;
          timer.cancel();
          signal.removeEventListener('abort', giveUp);
          resolve(result);
        },
      };
      const giveUp = () => {
        const waitMs = this.expectedWaitMs(this.waitingTokens);
        waiter.finish(err({type: 'shortage', waitMs}));
      };
      const timer = clock.after(deadlineMs - clock.now(), giveUp);
      signal.addEventListener('abort', giveUp);
      this.shortSinceMs ??= clock.now();
      this.waiters.push(waiter);
      this.waitingTokens += tokens;
      this.options.onShort();
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
        this.noteInflow((this.bucket.rate * delayMs) / MS_PER_SECOND);
      }
      this.review();
      if (this.waiters.length > 0) this.scheduleReview();
    });
  }

  private serve(): void {
    while (this.waiters.length > 0) {
      const [first] = this.waiters;
      const permit = this.take(first.tokens);
      if (permit === undefined) return;
      first.finish(ok(permit));
    }
  }

  private refuseHopeless(): void {
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

  /** @returns milliseconds until so many tokens have come, at best. */
  private expectedWaitMs(tokens: number): number {
    const missing = tokens - this.available;
    if (missing <= 0) return 0;
    return (missing / this.expectedInflow()) * MS_PER_SECOND;
  }

  /** The team's whole rate until a lasting shortage shows what comes here. */
  private expectedInflow(): number {
    const {rate} = this.spec;
    const nowMs = this.options.clock.now();
    const shortMs = nowMs - (this.shortSinceMs ?? nowMs);
    if (rate === Infinity || shortMs < SHORTAGE_PROOF_MS) return rate;
    const hopedFor = INFLOW_MARGIN * this.inflow.value;
    return Math.max(this.bucket.rate, Math.min(rate, hopedFor));
  }

  private noteInflow(tokens: number): void {
    this.inflow.add(tokens);
  }
}
