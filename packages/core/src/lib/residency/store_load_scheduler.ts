/** Schedules loads of models from the weight store. @packageDocumentation */

import {EngineConfig} from '../gateway/deployment.js';
import {TokenBucket} from '../limits/token_bucket.js';
import {Clock} from '../time/clock.js';
import {PlanRound} from './plan_round.js';
import {StoreLoad, StoreConcurrency} from './store_concurrency.js';
import {WorkPlan} from './work_plan.js';

/** Fraction of the weight store's configured rate that is used. */
const STORE_RATE_FRACTION = 0.8;

/** Loads from the store that may start at once. */
const STORE_BURST = 2;

/** How long a refused caller counts towards the priority of its model. */
const MISS_LIFETIME_MS = 15_000;

const MS_PER_SECOND = 1_000;

interface Misses {
  count: number;
  lastMs: number;
}

/**
 * Limits the loads from the weight store and orders them by demand. The store
 * takes seconds for a model and serves few loads at once, so dozens of models
 * may wait for it: the one with most refused callers is loaded first.
 */
export class StoreLoadScheduler {
  private readonly buckets = new Map<string, TokenBucket>();
  private readonly concurrencies = new Map<string, StoreConcurrency>();
  private readonly missesByService = new Map<string, Map<string, Misses>>();
  /** Models of each service that need further copies. */
  private readonly wantedByService = new Map<string, ReadonlySet<string>>();
  /** Models of each service whose targets cannot take their demand. */
  private readonly urgentByService = new Map<string, ReadonlySet<string>>();
  /** Streams of each model that need a second copy, by service. */
  private readonly exposedByService = new Map<
    string,
    ReadonlyMap<string, number>
  >();
  /** Models that only evacuated targets hold, by service. */
  private readonly displacedByService = new Map<
    string,
    ReadonlyMap<string, number>
  >();

  /** @param clock - clock for rates and ages. */
  constructor(private readonly clock: Clock) {}

  /**
   * Clears the state and starts with an empty token bucket, as the previous
   * lease holder may just have used the rate up.
   */
  clear(): void {
    this.buckets.clear();
    this.missesByService.clear();
    this.wantedByService.clear();
    this.urgentByService.clear();
    this.exposedByService.clear();
    this.displacedByService.clear();
  }

  /** Sets the models of a service that need further copies now. */
  setWanted(service: string, models: readonly string[]): void {
    this.wantedByService.set(service, new Set(models));
  }

  /**
   * Sets the models of a service whose targets cannot take their demand.
   * Other models leave one load to them.
   */
  setUrgent(service: string, models: readonly string[]): void {
    this.urgentByService.set(service, new Set(models));
  }

  /**
   * Sets the models of a service whose streams one target alone could go on
   * with, and that another target should load. Each stream counts as much as a
   * refused caller.
   *
   * @param service - name of the service.
   * @param streams - number of streams by model.
   */
  setExposed(service: string, streams: ReadonlyMap<string, number>): void {
    this.exposedByService.set(service, streams);
  }

  /**
   * Sets the models of a service that only evacuated targets hold. The requests
   * of one second count as refused callers, as nothing serves them.
   *
   * @param service - name of the service.
   * @param rates - requests per second by model.
   */
  setDisplaced(service: string, rates: ReadonlyMap<string, number>): void {
    this.displacedByService.set(service, rates);
  }

  /**
   * Counts a caller that was refused because its model is only in the store, or
   * because all targets with its model are full.
   */
  recordMiss(service: string, model: string): void {
    let misses = this.missesByService.get(service);
    if (misses === undefined) {
      misses = new Map();
      this.missesByService.set(service, misses);
    }
    const count = (misses.get(model)?.count ?? 0) + 1;
    misses.set(model, {count, lastMs: this.clock.now()});
  }

  /**
   * Returns whether a load may start now.
   *
   * @param service - service of the model.
   * @param model - model to load.
   * @param engine - engine of the service in the configuration.
   * @param round - state of targets and demand.
   * @returns whether the rate, the concurrency and the priority allow it.
   */
  canStartLoad(
    service: string,
    model: string,
    engine: EngineConfig,
    round: PlanRound,
  ): boolean {
    const loadingCount = round.accounts.filter(
      ({isLoadingFromStore}) => isLoadingFromStore,
    ).length;
    const {allowed} = this.concurrencyOf(service);
    if (round.work !== undefined) {
      if (loadingCount >= allowed) return false;
      if (this.bucketOf(service, engine).level < 1) return false;
      const better = this.countBetter(service, model, round, round.work);
      return better < allowed - loadingCount;
    }
    const urgent = this.urgentByService.get(service);
    const isUrgent = urgent?.has(model) === true;
    const reserved = !isUrgent && (urgent?.size ?? 0) > 0 ? 1 : 0;
    if (loadingCount >= allowed - reserved) return false;
    if (this.bucketOf(service, engine).level < 1) return false;
    return isUrgent || this.hasPriority(service, model, round);
  }

  /**
   * Returns the priority of a load in a service that is planned by work: the
   * requests per second that are not served in time without it, raised by its
   * age.
   *
   * @param service - service of the model.
   * @param model - model to load.
   * @param plan - work and capacity of the models.
   */
  priority(service: string, model: string, plan: WorkPlan): number {
    const misses = this.missesByService.get(service)?.get(model);
    const sinceMs = this.clock.now() - MISS_LIFETIME_MS;
    const isRecent = misses !== undefined && misses.lastMs >= sinceMs;
    const missed = isRecent
      ? (misses.count * MS_PER_SECOND) / MISS_LIFETIME_MS
      : 0;
    const streams = this.exposedByService.get(service)?.get(model) ?? 0;
    // Refused callers are part of the demand.
    const rate =
      Math.max(missed, plan.unserved(model)) + plan.perLoad(model, streams);
    // Loads that no caller asks for, such as preloads, do not age.
    return rate > 0 ? rate + plan.work.requests.agePriority(model) : 0;
  }

  /** Records how long a load took. */
  recordEnd(service: string, load: StoreLoad): void {
    this.concurrencyOf(service).record(load);
  }

  /** Returns the limit on concurrent loads for a service. */
  concurrencyOf(service: string): StoreConcurrency {
    let concurrency = this.concurrencies.get(service);
    if (concurrency === undefined) {
      concurrency = new StoreConcurrency(this.clock);
      this.concurrencies.set(service, concurrency);
    }
    return concurrency;
  }

  /** Records the start of a load. */
  recordStart(service: string, model: string, engine: EngineConfig): void {
    const bucket = this.bucketOf(service, engine);
    bucket.take(1);
    bucket.settle(1, 1);
    this.missesByService.get(service)?.delete(model);
  }

  /** Returns the number of other models that need a load more than this one. */
  private countBetter(
    service: string,
    model: string,
    round: PlanRound,
    plan: WorkPlan,
  ): number {
    const own = this.priority(service, model, plan);
    const better = plan.work.requests
      .active()
      .filter(
        other =>
          other !== model &&
          this.priority(service, other, plan) > own &&
          round.isNextCopyFromStore(other),
      );
    return better.length;
  }

  private hasPriority(
    service: string,
    model: string,
    round: PlanRound,
  ): boolean {
    const misses = this.missesByService.get(service);
    const exposed = this.exposedByService.get(service);
    const wanted = this.wantedByService.get(service);
    const sinceMs = this.clock.now() - MISS_LIFETIME_MS;
    const ownCount =
      (misses?.get(model)?.count ?? 0) +
      (exposed?.get(model) ?? 0) +
      (this.displacedByService.get(service)?.get(model) ?? 0) +
      round.waiting(model);
    for (const [other, streams] of exposed ?? [])
      if (other !== model && streams > ownCount) return false;
    for (const [other, {count, lastMs}] of misses ?? []) {
      if (lastMs < sinceMs) misses?.delete(other);
      else if (other === model || count <= ownCount) continue;
      else if (round.isOnlyInStore(other)) return false;
      else if (wanted?.has(other) && round.isNextCopyFromStore(other))
        return false;
    }
    return true;
  }

  private bucketOf(service: string, engine: EngineConfig): TokenBucket {
    let bucket = this.buckets.get(service);
    if (bucket === undefined) {
      const rate = engine.storeLoadsPerSecond * STORE_RATE_FRACTION;
      bucket = new TokenBucket(this.clock, {rate, burst: STORE_BURST}, 0);
      this.buckets.set(service, bucket);
    }
    return bucket;
  }
}
