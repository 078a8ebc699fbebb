/** Decides which models the targets hold, on the host with the lease. @packageDocumentation */

import {Result, ok} from 'neverthrow';
import {isAllEvacuated} from '../gateway/target_choice.js';
import {residentKey, runsVersion} from '../gateway/target_table.js';
import {Logger} from '../telemetry/logger.js';
import {TaskSupervisor} from '../tasks/task_supervisor.js';
import {Clock} from '../time/clock.js';
import {WakeableSleep} from '../time/wakeable_sleep.js';
import {AccountRegistry} from './account_registry.js';
import {chooseAdapterSwap} from './adapter_choice.js';
import {canRelieve} from './limit_relief.js';
import {ContinuityReporter} from './continuity_reporter.js';
import {EvacuationHandoff, isWorthwhile} from './evacuation_handoff.js';
import {LoadFailures} from './load_failures.js';
import {OrderLease} from './order_lease.js';
import {
  chooseAdapterCopies,
  chooseCopies,
  chooseSurplus,
} from './copy_choice.js';
import {ModelWorks} from './model_works.js';
import {PlanRound} from './plan_round.js';
import {ResidencyAccount, isUsable} from './residency_account.js';
import {NotResident, ResidencyRequest} from './residency_request.js';
import {StoreLoadScheduler} from './store_load_scheduler.js';
import {Swap, cheapestSwap} from './swap_choice.js';
import {SwapExecutor} from './swap_executor.js';
import {TokenLender} from './token_lender.js';
import {UsageTable} from './usage_table.js';
import {
  VersionCopy,
  chooseLoads,
  chooseVersionCopies,
} from './version_copies.js';
import {Waiter, WaitQueue} from './wait_queue.js';

/** Time between rounds of planning. */
const TICK_MS = 25;

/** The same without the lease, as no requests wait here; a claim ends it. */
const IDLE_TICK_MS = 500;

/** How long a {@link PlanRound} is reused if nothing is ordered. */
const ROUND_LIFETIME_MS = 20;

/** Time between checks of the number of copies against the load. */
const ADJUST_INTERVAL_MS = 150;

/** Time after which a request may go to a target that it has tried before. */
const RETRY_TRIED_TARGET_MS = 1_200;

/** Delay from when a model is ready until refused callers should retry. */
const READY_MARGIN_MS = 100;

/** How long after the announced retry time a load may still start. */
const WANTED_GRACE_MS = 3_000;

/** Retry delay for callers whose model cannot be loaded now. */
const RETRY_AFTER_MS = 1_500;

/** Fraction of the targets that may preload models without demand. */
const PRELOAD_FRACTION = 0.125;

/** Dependencies of {@link ResidencyController}. */
export interface ResidencyControllerParts {
  clock: Clock;
  logger: Logger;
  tasks: TaskSupervisor;
  lease: OrderLease;
  registry: AccountRegistry;
  executor: SwapExecutor;
  loadFailures: LoadFailures;
  usage: UsageTable;
  lender: TokenLender;
  /** Publishes to the hosts which models of a target take requests. */
  publish: (account: ResidencyAccount) => void;
  /** Whether copies and loads follow the work of models; true by default. */
  plansByWork?: boolean;
}

/** A model to load though no request waits, as callers will retry. */
interface WantedModel {
  service: string;
  model: string;
  untilMs: number;
}

/**
 * Assigns requests to targets, queues requests for models that no target holds,
 * and orders swaps for them. It is inactive without the lease.
 */
export class ResidencyController {
  private readonly waitQueue: WaitQueue;
  private readonly storeLoads: StoreLoadScheduler;
  private readonly continuity: ContinuityReporter;
  private readonly handoff: EvacuationHandoff;
  private readonly rounds = new Map<string, PlanRound>();
  private readonly wanted = new Map<string, WantedModel>();
  /** What is known of the work of the models, by service. */
  private readonly works: ModelWorks;
  /** Models to copy because their targets cannot take their demand, by service. */
  private readonly shortModels = new Map<string, readonly string[]>();
  /** Copies that streams of a version rely on, by service. */
  private readonly versionCopies = new Map<string, readonly VersionCopy[]>();
  private activeFencing: number | undefined;
  /** Whether orders have been allowed at some time since the takeover. */
  private hasOrderingBegun = false;
  private copiesAdjustedMs = -Infinity;
  private signal = new AbortController().signal;

  /** @param parts - see {@link ResidencyControllerParts}. */
  constructor(private readonly parts: ResidencyControllerParts) {
    this.waitQueue = new WaitQueue(parts.clock);
    this.storeLoads = new StoreLoadScheduler(parts.clock);
    this.works = new ModelWorks(parts.clock, parts.plansByWork ?? true);
    this.continuity = new ContinuityReporter(parts);
    const {clock, registry, usage} = parts;
    this.handoff = new EvacuationHandoff(clock, registry, usage);
    parts.registry.onTargetFull((service, model) =>
      this.storeLoads.recordMiss(service, model),
    );
  }

  /** Whether this host holds the lease. */
  get isActive(): boolean {
    return this.parts.lease.isHeld;
  }

  /** Whether the accounts belong to the current lease. */
  private get hasTakenOver(): boolean {
    const {lease} = this.parts;
    return lease.isHeld && this.activeFencing === lease.firstFencingNumber;
  }

  /**
   * Plans until the signal aborts.
   *
   * @param signal - stops the task.
   */
  async run(signal: AbortSignal): Promise<void> {
    this.signal = signal;
    const pause = new WakeableSleep(this.parts.clock);
    this.parts.lease.onChange(() => pause.wake());
    while (!signal.aborted) {
      this.parts.tasks.attempt('residency_round', () => this.tick());
      await pause.sleep(this.isActive ? TICK_MS : IDLE_TICK_MS, signal);
    }
  }

  /**
   * Finds a target for a request, or loads its model.
   *
   * @param request - see {@link ResidencyRequest}.
   * @param signal - ends the wait with a refusal.
   * @returns the id of the target, or when to retry.
   */
  find(
    request: ResidencyRequest,
    signal: AbortSignal,
  ): Promise<Result<string, NotResident>> {
    return new Promise(resolve => {
      const leave = () => this.refuseForGood(waiter);
      const waiter = this.waitQueue.add(request, result => {
        signal.removeEventListener('abort', leave);
        resolve(result);
      });
      signal.addEventListener('abort', leave);
      if (signal.aborted) {
        leave();
        return;
      }
      if (this.hasTakenOver) this.planWaiter(waiter);
    });
  }

  private tick(): void {
    if (!this.isActive) {
      this.activeFencing = undefined;
      this.waitQueue.refuseAll(RETRY_AFTER_MS);
      return;
    }
    this.parts.usage.prune();
    const {firstFencingNumber} = this.parts.lease;
    if (this.activeFencing !== firstFencingNumber)
      this.takeOver(firstFencingNumber);
    this.refreshOnceOrdersAllowed();
    this.parts.registry.sync(this.signal);
    this.planHandoffs();
    this.handoff.update();
    const nowMs = this.parts.clock.now();
    const isAdjustDue = nowMs - this.copiesAdjustedMs >= ADJUST_INTERVAL_MS;
    if (isAdjustDue) this.copiesAdjustedMs = nowMs;
    for (const service of this.parts.registry.engines().keys()) {
      const planService = () => {
        if (isAdjustDue) this.adjustCopies(service);
        this.plan(service);
      };
      this.parts.tasks.attempt('residency_plan', planService, {service});
    }
    this.planWanted();
    this.preload();
  }

  private takeOver(fencing: number): void {
    this.parts.logger.info('residency_taken_over', {fencing});
    this.activeFencing = fencing;
    this.hasOrderingBegun = this.parts.lease.canOrder;
    this.parts.registry.clear();
    this.storeLoads.clear();
    this.rounds.clear();
    this.wanted.clear();
    this.shortModels.clear();
    this.works.clear();
    this.versionCopies.clear();
    this.handoff.clear();
    this.parts.lender.restart();
  }

  /** Plans loads of used models whose only copy is on a leaving target. */
  private planHandoffs(): void {
    const {registry, clock, usage} = this.parts;
    for (const account of registry.all()) {
      if (account.isHandoffPlanned || !account.target.isLeaving) continue;
      account.isHandoffPlanned = true;
      const {service} = account.target.registration;
      const others = registry
        .ofService(service)
        .filter(({isReachable}) => isReachable);
      const untilMs = clock.now() + WANTED_GRACE_MS;
      for (const model of account.residents.keys()) {
        const {perSecond} = usage.demand(service, model);
        const isUsed = perSecond > 0 || usage.inFlight(account.id, model) > 0;
        if (!isUsed || others.some(other => other.isHeldOrLoading(model)))
          continue;
        const key = residentKey(service, model);
        this.wanted.set(key, {service, model, untilMs});
      }
    }
  }

  /** Requests new reports from the targets as soon as orders are allowed. */
  private refreshOnceOrdersAllowed(): void {
    const {registry, lease} = this.parts;
    if (this.hasOrderingBegun || !lease.canOrder) return;
    this.hasOrderingBegun = true;
    registry.requestAllReports();
  }

  /** Assigns requests to targets and starts swaps, the most urgent first. */
  private plan(service: string): void {
    this.waitQueue.refuseExpired(RETRY_AFTER_MS);
    const accounts = this.parts.registry.ofService(service);
    this.loadDisplaced(service);
    this.relieveShortages(service);
    this.loadVersionCopies(service);
    const planned = new Set<string>();
    for (const waiter of this.waitQueue.byUrgency(service)) {
      const {model, adapter, softwareVersion, tried} = waiter.request;
      const key = JSON.stringify([model, adapter, softwareVersion]);
      const isFirst = !planned.has(key);
      if (tried.size === 0) planned.add(key);
      const planWaiter = () => this.planFor(waiter, service, accounts, isFirst);
      const isPlanned = this.parts.tasks.attempt('request_plan', planWaiter, {
        service,
        model,
        adapter,
      });
      // It would fail in every round, and the callers behind it wait.
      if (!isPlanned) this.refuseForGood(waiter);
    }
  }

  private refuseForGood(waiter: Waiter): void {
    const refusal = {retryAfterMs: RETRY_AFTER_MS, isFinal: true};
    this.waitQueue.refuse(waiter, refusal);
  }

  /** Starts loads of models that only evacuated targets hold. */
  private loadDisplaced(service: string): void {
    const models = this.handoff.models(service);
    this.storeLoads.setDisplaced(service, models);
    for (const model of models.keys())
      this.startSwap(model, service, undefined, isWorthwhile);
  }

  /**
   * Starts copies of models whose targets cannot take their demand, before rare
   * models take the targets that are left.
   */
  private relieveShortages(service: string): void {
    const models = this.shortModels.get(service) ?? [];
    const isShort = (model: string) => this.roundOf(service).isShort(model);
    this.storeLoads.setUrgent(service, models.filter(isShort));
    for (const model of models) {
      if (isShort(model)) this.startSwap(model, service);
    }
  }

  /**
   * Starts copies that streams of a software version rely on, before rare
   * models take the targets and the loads from the store that are left.
   */
  private loadVersionCopies(service: string): void {
    const isLone = ({model, softwareVersion}: VersionCopy) =>
      this.roundOf(service).isLone(softwareVersion, model);
    const copies = (this.versionCopies.get(service) ?? []).filter(isLone);
    const exposed = new Map<string, number>();
    for (const {fromStore, model, requests} of copies)
      if (fromStore) exposed.set(model, (exposed.get(model) ?? 0) + requests);
    this.storeLoads.setExposed(service, exposed);
    for (const {model, softwareVersion} of copies)
      this.startSwap(model, service, softwareVersion);
  }

  /** Starts loads for callers who were told when to retry. */
  private planWanted(): void {
    const nowMs = this.parts.clock.now();
    for (const [key, {service, model, untilMs}] of this.wanted) {
      const accounts = this.parts.registry.ofService(service);
      const isKept = accounts.some(
        account => account.isReachable && account.isHeldOrLoading(model),
      );
      if (isKept || untilMs <= nowMs) this.wanted.delete(key);
      else this.startSwap(model, service);
    }
  }

  /** Loads models whose weights no target has, while there is no demand. */
  private preload(): void {
    const {registry, lease, usage} = this.parts;
    if (!lease.canOrder || usage.hasDemand) return;
    for (const [service, {models}] of registry.engines()) {
      const round = this.roundOf(service);
      // An evacuated target is not asked for its report.
      const isUncertain = round.accounts.some(
        ({needsReport, target}) => needsReport && !target.isEvacuated,
      );
      if (isUncertain) continue;
      const busy = round.accounts.filter(({isBusy}) => isBusy).length;
      if (busy + 1 > round.accounts.length * PRELOAD_FRACTION) continue;
      const missing = [...models.keys()].find(model =>
        round.isOnlyInStore(model),
      );
      if (missing !== undefined) this.startSwap(missing, service);
    }
  }

  /** Assigns a new request to a target, if that is possible at once. */
  private planWaiter(waiter: Waiter): void {
    const {service} = waiter.request;
    this.planFor(waiter, service, this.parts.registry.ofService(service), true);
  }

  /**
   * Assigns a request to a target, starts a load for it or refuses it.
   *
   * @param all - the targets of the service.
   * @param canStart - whether a swap may be started for the request; false if
   *     one was considered for the same model in this round.
   */
  private planFor(
    waiter: Waiter,
    service: string,
    all: readonly ResidencyAccount[],
    canStart: boolean,
  ): void {
    const {clock, registry} = this.parts;
    const nowMs = clock.now();
    const {model, adapter, softwareVersion} = waiter.request;
    const accounts = all.filter(({target}) =>
      runsVersion(target, softwareVersion),
    );
    if (!registry.engineOf(service)?.models.has(model)) {
      this.refuseForGood(waiter);
      return;
    }
    const shouldSkipTried = nowMs - waiter.sinceMs < RETRY_TRIED_TARGET_MS;
    const holders = accounts.filter(
      account =>
        account.isReachable &&
        account.isHeldOrLoading(model) &&
        !(shouldSkipTried && waiter.request.tried.has(account.id)),
    );
    const ready = holders.filter(account => account.isReady(model, nowMs));
    if (ready.length === 0) {
      if (isAllEvacuated(accounts.map(({target}) => target))) {
        this.refuseForGood(waiter);
        return;
      }
      const leftMs = this.parts.loadFailures.suspendedLeftMs(service, model);
      if (holders.length === 0 && leftMs > 0) {
        this.waitQueue.refuse(waiter, {retryAfterMs: leftMs, isFinal: true});
        return;
      }
      if (holders.length === 0 && canStart)
        this.startSwap(model, service, softwareVersion);
      this.refuseIfTooLate(waiter, accounts);
      return;
    }
    const admitting = ready.filter(account =>
      this.canAdmit(account, model, nowMs),
    );
    if (admitting.length === 0) return;
    for (const account of admitting) this.unretire(account, model);
    if (adapter === undefined) {
      this.resolve(waiter, admitting);
      return;
    }
    const withAdapter = admitting.filter(account =>
      account.residents.get(model)!.adapters.has(adapter),
    );
    if (withAdapter.length === 0) {
      if (canStart) this.startAdapterSwap(model, adapter, admitting);
      return;
    }
    const usable = withAdapter.filter(account =>
      isUsable(account.residents.get(model)!.adapters.get(adapter)!, nowMs),
    );
    if (usable.length > 0) this.resolve(waiter, usable);
  }

  /** Refuses a request at once if its model will be ready too late. */
  private refuseIfTooLate(
    waiter: Waiter,
    accounts: readonly ResidencyAccount[],
  ): void {
    const {clock, lease} = this.parts;
    const {giveUpMs, model, service} = waiter.request;
    if (!lease.canOrder) return;
    const nowMs = clock.now();
    let readyMs = Infinity;
    for (const account of accounts) {
      if (!account.isReachable || !account.isHeldOrLoading(model)) continue;
      readyMs = Math.min(readyMs, account.expectedReadyMs(model));
    }
    if (readyMs === Infinity) {
      readyMs = nowMs + this.roundOf(service).reloadMs(model);
    }
    if (readyMs <= giveUpMs || readyMs === Infinity) return;
    if (this.roundOf(service).isOnlyInStore(model)) {
      this.storeLoads.recordMiss(service, model);
    }
    const untilMs = readyMs + WANTED_GRACE_MS;
    this.wanted.set(residentKey(service, model), {service, model, untilMs});
    this.continuity.reportRefused(waiter.request, accounts, readyMs - nowMs);
    this.waitQueue.refuse(waiter, {
      retryAfterMs: readyMs - nowMs + READY_MARGIN_MS,
      isFinal: true,
    });
  }

  /** Returns the current round, which is reused until something is ordered. */
  private roundOf(service: string): PlanRound {
    const {clock, usage} = this.parts;
    const nowMs = clock.now();
    const known = this.rounds.get(service);
    if (known !== undefined && nowMs - known.nowMs < ROUND_LIFETIME_MS) {
      return known;
    }
    const round = new PlanRound({
      service,
      nowMs,
      usage,
      accounts: this.parts.registry.ofService(service),
      waiting: this.waitQueue.countByModel(service),
      work: this.works.of(service, this.parts.registry.engineOf(service)),
    });
    this.rounds.set(service, round);
    return round;
  }

  /** Returns whether a request may go to a model that should be ready. */
  private canAdmit(
    account: ResidencyAccount,
    model: string,
    nowMs: number,
  ): boolean {
    const resident = account.residents.get(model)!;
    const wasProven = resident.isConfirmed;
    if (!account.isConfirmed(model, nowMs))
      return resident.probedMs === undefined;
    if (!wasProven) this.parts.publish(account);
    return true;
  }

  private unretire(account: ResidencyAccount, model: string): void {
    const resident = account.residents.get(model)!;
    if (!resident.isRetiring) return;
    resident.isRetiring = false;
    resident.isVictim = false;
    this.parts.publish(account);
  }

  private resolve(waiter: Waiter, accounts: readonly ResidencyAccount[]): void {
    const {clock, usage} = this.parts;
    const {model, adapter, tried} = waiter.request;
    let best: ResidencyAccount | undefined;
    let bestLoad = Infinity;
    for (const account of accounts) {
      const triedPenalty = tried.has(account.id) ? 1 : 0;
      const avoidedPenalty = account.target.health.isAvoided ? 2 : 0;
      const running = usage.inFlight(account.id, model) / account.slots;
      const load = running + triedPenalty + avoidedPenalty;
      if (load >= bestLoad) continue;
      best = account;
      bestLoad = load;
    }
    if (best === undefined) return;
    const nowMs = clock.now();
    const resident = best.residents.get(model)!;
    resident.usedMs = nowMs;
    if (!resident.isConfirmed) resident.probedMs ??= nowMs;
    usage.reserve(best.id, model);
    if (adapter !== undefined) {
      resident.adapters.get(adapter)!.usedMs = nowMs;
      usage.reserve(best.id, residentKey(model, adapter));
    }
    this.waitQueue.remove(waiter);
    waiter.resolve(ok(best.id));
  }

  private startSwap(
    model: string,
    service: string,
    softwareVersion?: string,
    accepts: (swap: Swap, round: PlanRound) => boolean = () => true,
  ): void {
    const {lease, logger} = this.parts;
    if (!lease.canOrder) return;
    const engine = this.parts.registry.engineOf(service);
    if (engine === undefined || !engine.models.has(model)) return;
    if (this.parts.loadFailures.suspendedLeftMs(service, model) > 0) return;
    const round = this.roundOf(service);
    const {storeLoads} = this;
    const {work} = round;
    work?.work.requests.ask(model);
    const priority = work && storeLoads.priority(service, model, work);
    const canLoadFromStore = storeLoads.canStartLoad(
      service,
      model,
      engine,
      round,
    );
    const isShort = this.shortModels.get(service)?.includes(model);
    const isAllowed = (account: ResidencyAccount) =>
      runsVersion(account.target, softwareVersion) &&
      (!isShort || canRelieve(account, model, round));
    const swap = cheapestSwap(
      model,
      round,
      canLoadFromStore,
      isAllowed,
      priority,
    );
    if (swap === undefined && canLoadFromStore)
      work?.work.requests.recordUnplaced(model);
    // It may be best to wait for a target that is busy now.
    if (swap === undefined || swap.account.isBusy) return;
    if (!accepts(swap, round)) return;
    this.rounds.delete(service);
    if (swap.mustDrain) {
      this.retireVictims(swap);
      return;
    }
    if (swap.fromStore) storeLoads.recordStart(service, model, engine);
    work?.work.requests.recordStart(model);
    logger.info('swap_started', {
      target: swap.account.id,
      model,
      victims: swap.victims.join(','),
      ready_in_ms: swap.readyInMs,
      from_store: swap.fromStore,
      waiting: round.waiting(model),
      ...work?.logFields(model),
    });
    this.runOrders('swap', swap.account, () => this.executeSwap(service, swap));
  }

  private async executeSwap(service: string, swap: Swap): Promise<void> {
    const {registry, executor} = this.parts;
    const {account, fromStore, model} = swap;
    const nominalMs = account.loadEstimate(model).loadMs;
    const loading = registry
      .ofService(service)
      .filter(({isLoadingFromStore}) => isLoadingFromStore);
    const atOnce = loading.length + 1;
    const tookMs = await executor.execute(swap, this.signal);
    if (!fromStore || tookMs === undefined) return;
    this.storeLoads.recordEnd(service, {nominalMs, tookMs, atOnce});
    this.parts.logger.info('store_load_ended', {
      target: account.id,
      model,
      took_ms: Math.round(tookMs),
      nominal_ms: nominalMs,
      at_once: atOnce,
      allowed: this.storeLoads.concurrencyOf(service).allowed,
    });
  }

  /** Runs orders to a target, then plans its service again. */
  private runOrders(
    task: string,
    account: ResidencyAccount,
    work: () => Promise<void>,
  ): void {
    const {clock, tasks} = this.parts;
    const {service} = account.target.registration;
    const runAndPlan = async () => {
      try {
        await work();
      } catch (error) {
        account.recordFailedWork(clock.now());
        throw error;
      }
      if (this.hasTakenOver) this.plan(service);
    };
    void tasks.run(task, runAndPlan, {target: account.id});
  }

  /** Stops new requests for the victims, so that they can be unloaded. */
  private retireVictims({account, victims}: Swap): void {
    for (const victim of victims) {
      const resident = account.residents.get(victim)!;
      if (resident.isRetiring) continue;
      resident.isRetiring = true;
      resident.isVictim = true;
      this.parts.publish(account);
    }
  }

  private startAdapterSwap(
    model: string,
    adapter: string,
    ready: readonly ResidencyAccount[],
  ): void {
    const {clock, lease, usage} = this.parts;
    if (!lease.canOrder) return;
    const wanted = {model, adapter};
    const swap = chooseAdapterSwap(wanted, ready, usage, clock.now());
    if (swap === undefined) return;
    this.runOrders('adapter_load', swap.account, () =>
      this.parts.executor.loadAdapter(swap, this.signal),
    );
  }

  /** Adds copies that streams of a software version may have to go on at. */
  private adjustVersionCopies(service: string): void {
    const round = this.roundOf(service);
    this.continuity.reportLoneModels(service, round);
    const copies = chooseVersionCopies(round);
    const missing = copies.filter(({retiring}) => retiring.length === 0);
    this.versionCopies.set(service, chooseLoads(missing, round));
    for (const {model, retiring} of copies)
      if (retiring.length > 0) this.unretire(retiring[0], model);
  }

  /** Adds copies of models that are short of slots and retires surplus ones. */
  private adjustCopies(service: string): void {
    const {lease, usage} = this.parts;
    const round = this.roundOf(service);
    // A new lease holder learns before it may order.
    round.work?.work.observe(round, usage);
    if (!lease.canOrder) return;
    const adapterCopies = chooseAdapterCopies(round, usage);
    const {missing, revived, short} = chooseCopies(round, usage);
    this.shortModels.set(service, short);
    for (const {model, account} of revived) this.unretire(account, model);
    // Revived copies are part of the capacity.
    if (round.work && revived.length > 0) this.rounds.delete(service);
    this.storeLoads.setWanted(service, missing);
    for (const model of missing) this.startSwap(model, service);
    for (const {model, adapter, accounts} of adapterCopies) {
      this.startAdapterSwap(model, adapter, accounts);
    }
    this.adjustVersionCopies(service);
    for (const {model, account} of chooseSurplus(round, usage)) {
      if (round.isNeededByVersion(account, model)) continue;
      account.residents.get(model)!.isRetiring = true;
      this.parts.publish(account);
      if (round.work !== undefined)
        this.parts.logger.info('copy_retired', {
          target: account.id,
          model,
          ...round.work.logFields(model),
        });
    }
  }
}
