/** Which models are loaded from the weight store, and when. @packageDocumentation */

import {EngineFacts} from '../gateway/deployment.js';
import {TokenBucket} from '../limits/token_bucket.js';
import {Clock} from '../time/clock.js';
import {PlanRound} from './plan_round.js';
import {StoreLoad, StoreWidth} from './store_width.js';

/** Part of the weight store's rate that is used. */
const STORE_RATE_SHARE = 0.8;

/** Loads from the store that may begin at once. */
const STORE_BURST = 2;

/** How long a caller that was refused counts for its model. */
const MISS_LIFE_MS = 15_000;

interface Misses {
  count: number;
  lastMs: number;
}

/**
 * The store brings a model in seconds and few at once, so that dozens may wait
 * for it: the one that most callers missed comes first.
 */
export class StoreLoads {
  private readonly buckets = new Map<string, TokenBucket>();
  private readonly widths = new Map<string, StoreWidth>();
  private readonly missesOf = new Map<string, Map<string, Misses>>();
  /** Models of each service whose targets are full. */
  private readonly wantedOf = new Map<string, ReadonlySet<string>>();

  /** @param clock - measures rates and ages. */
  constructor(private readonly clock: Clock) {}

  /** Forgets everything; an earlier holder may just have used the rate up. */
  clear(): void {
    this.buckets.clear();
    this.missesOf.clear();
    this.wantedOf.clear();
  }

  /** Notes the models that need further copies now. */
  noteWanted(service: string, models: readonly string[]): void {
    this.wantedOf.set(service, new Set(models));
  }

  /**
   * Notes a caller that was refused, as its model is in the store alone, or that
   * was turned away, as the targets with its model are full.
   */
  noteMiss(service: string, model: string): void {
    let misses = this.missesOf.get(service);
    if (misses === undefined) {
      misses = new Map();
      this.missesOf.set(service, misses);
    }
    const count = (misses.get(model)?.count ?? 0) + 1;
    misses.set(model, {count, lastMs: this.clock.now()});
  }

  /**
   * @param service - whose model it is.
   * @param model - what is to be loaded.
   * @param engine - what the configuration says of the service.
   * @param round - what is known of targets and demand.
   * @returns whether the load may begin now.
   */
  grants(
    service: string,
    model: string,
    engine: EngineFacts,
    round: PlanRound,
  ): boolean {
    const reading = round.accounts.filter(({readsStore}) => readsStore).length;
    if (reading >= this.widthOf(service).allowed) return false;
    if (this.bucketOf(service, engine).level < 1) return false;
    return this.comesFirst(service, model, round);
  }

  /** Takes in how long a load took. */
  ended(service: string, load: StoreLoad): void {
    this.widthOf(service).note(load);
  }

  /** Loads from the store that may be under way at once. */
  widthOf(service: string): StoreWidth {
    let width = this.widths.get(service);
    if (width === undefined) {
      width = new StoreWidth(this.clock);
      this.widths.set(service, width);
    }
    return width;
  }

  /** Notes that a load has begun. */
  began(service: string, model: string, engine: EngineFacts): void {
    const bucket = this.bucketOf(service, engine);
    bucket.take(1);
    bucket.settle(1, 1);
    this.missesOf.get(service)?.delete(model);
  }

  private comesFirst(
    service: string,
    model: string,
    round: PlanRound,
  ): boolean {
    const misses = this.missesOf.get(service);
    if (misses === undefined) return true;
    const wanted = this.wantedOf.get(service);
    const sinceMs = this.clock.now() - MISS_LIFE_MS;
    const own = (misses.get(model)?.count ?? 0) + round.waiting(model);
    for (const [other, {count, lastMs}] of misses) {
      if (lastMs < sinceMs) misses.delete(other);
      else if (other === model || count <= own) continue;
      else if (round.isOnlyInStore(other)) return false;
      else if (wanted?.has(other) && round.isNextInStore(other)) return false;
    }
    return true;
  }

  private bucketOf(service: string, engine: EngineFacts): TokenBucket {
    let bucket = this.buckets.get(service);
    if (bucket === undefined) {
      const rate = engine.storeLoadsPerSecond * STORE_RATE_SHARE;
      bucket = new TokenBucket(this.clock, {rate, burst: STORE_BURST}, 0);
      this.buckets.set(service, bucket);
    }
    return bucket;
  }
}
