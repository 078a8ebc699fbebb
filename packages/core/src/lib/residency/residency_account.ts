/** What a target holds and is ordered to hold. @packageDocumentation */

import {EngineConfig} from '../gateway/deployment.js';
import {KnownTarget} from '../gateway/target_table.js';
import {ResidencyReport} from './order_port.js';
import type {UsageTable} from './usage_table.js';

/** State that models and adapters on a target have in common. */
export interface ResidencyState {
  /** Clock time from which it can be used. */
  readyMs: number;
  /** Clock time until which its target counts as full for it. */
  fullUntilMs: number;
  /** Number of refusals since it should have been ready. */
  refusalCount: number;
  /** Whether it is being unloaded or is assumed to be unloaded already. */
  isUnloading: boolean;
}

/** Returns whether requests must wait: not ready yet, or its target is full. */
export function isDeferred(
  {fullUntilMs, readyMs}: ResidencyState,
  nowMs: number,
): boolean {
  return readyMs > nowMs || fullUntilMs > nowMs;
}

/** Returns whether requests for an item can be sent. */
export function isUsable(item: ResidencyState, nowMs: number): boolean {
  return !item.isUnloading && !isDeferred(item, nowMs);
}

/** An adapter on a target. */
export interface HeldAdapter extends ResidencyState {
  /** Clock time at which a request was last assigned to it. */
  usedMs: number;
}

/** A model on a target. */
export interface ResidentModel extends ResidencyState {
  usedMs: number;
  /** Whether requests go elsewhere, so that the model can be unloaded. */
  isRetiring: boolean;
  /** Whether it is retiring because a swap needs its memory. */
  isVictim: boolean;
  /** Whether it is confirmed to take requests, not only expected to. */
  isConfirmed: boolean;
  /** Whether it was loaded before this host knew it, or has served since. */
  isServed: boolean;
  /** Clock time at which the first request after its load was assigned. */
  probedMs: number | undefined;
  readonly adapters: Map<string, HeldAdapter>;
}

/** Time within which a refusal of the first request after a load arrives. */
const PROBE_WAIT_MS = 80;

/** Longest time from the end of a process to the end of its registration. */
const REGISTRATION_LAPSE_MS = 6_000;

/** Time before a target is called again after work on it failed. */
const FAILED_WORK_BACKOFF_MS = 1_000;

/** Time after which a loaded model without requests counts as confirmed. */
export const UNPROBED_CONFIRM_MS = 200;

/**
 * Tracks the models, adapters and orders of one target. Memory counts as used
 * from before an order is sent until the target reports that it is free.
 */
export class ResidencyAccount {
  readonly residents = new Map<string, ResidentModel>();
  /** Orders that the target has accepted, as far as this host knows. */
  orderCount: number;
  /** Whether an order for a whole model is being carried out. */
  isBusy = false;
  /** Clock time at which that order is expected to be complete. */
  busyUntilMs = -Infinity;
  /** Model that the swap under way loads. */
  loadingModel: string | undefined;
  /** Whether that model is loaded from the weight store. */
  isLoadingFromStore = false;
  /** Whether the account must be updated from the target's own report. */
  needsReport = false;
  /** Whether loads elsewhere were planned for a target that is leaving. */
  isHandoffPlanned = false;
  /** Whether a report was requested and has not arrived. */
  isReportPending = false;
  /**
   * Reports applied so far. A decision made before the last report may be
   * outdated.
   */
  reportCount = 0;
  /** Clock time before which no order is sent. */
  backoffUntilMs = -Infinity;
  /** Hosts that lately could not reach the target, with clock times. */
  readonly unreachableByHost = new Map<string, number>();
  /** Tail of the queue of work; orders to a target are sent one by one. */
  private queue: Promise<unknown> = Promise.resolve();

  /**
   * @param target - the target.
   * @param engine - its capacity and its models.
   * @param nowMs - clock time.
   */
  constructor(
    readonly target: KnownTarget,
    public engine: EngineConfig,
    nowMs: number,
  ) {
    this.orderCount = target.registration.orderCount;
    for (const {model, adapters} of target.registration.held) {
      this.addResident(model, adapters, nowMs);
    }
  }

  /** Id of the target. */
  get id(): string {
    return this.target.registration.id;
  }

  /** Whether requests can be sent to the target. */
  get isReachable(): boolean {
    return this.target.isOpen && !this.target.health.isAvoided;
  }

  /** Size of the weights and adapters held, in megabytes. */
  get usedMb(): number {
    let usedMb = 0;
    for (const model of this.residents.keys()) usedMb += this.sizeOf(model);
    return usedMb;
  }

  /**
   * Returns the load of the target.
   *
   * @param usage - requests in flight over all hosts.
   * @returns requests in flight here, as a fraction of the slots.
   */
  load(usage: UsageTable): number {
    let running = 0;
    for (const model of this.residents.keys()) {
      running += usage.inFlight(this.id, model);
    }
    return running / this.slots;
  }

  /** Requests that the target can run at once, within the limit it named. */
  get slots(): number {
    return Math.min(this.engine.slots, this.target.effectiveSlots);
  }

  /**
   * Returns the size of a model with its adapters.
   *
   * @param model - a model that is held.
   * @returns megabytes; infinite for a model that the configuration no longer
   *     has.
   */
  sizeOf(model: string): number {
    const facts = this.engine.models.get(model);
    const adapters = this.residents.get(model)?.adapters.size ?? 0;
    if (facts === undefined) return Infinity;
    return facts.weightsMb + adapters * facts.adapterMb;
  }

  /**
   * Returns the size of a model's weights.
   *
   * @param model - name of the model.
   * @returns megabytes; infinite for a model that the configuration no longer
   *     has.
   */
  weightsMbOf(model: string): number {
    return this.engine.models.get(model)?.weightsMb ?? Infinity;
  }

  /** Adapter slots used, including those of adapters being loaded. */
  get adapterCount(): number {
    let count = 0;
    for (const {adapters} of this.residents.values()) count += adapters.size;
    return count;
  }

  /** Returns whether a model is loaded and takes requests now. */
  isReady(model: string, nowMs: number): boolean {
    const resident = this.residents.get(model);
    return resident !== undefined && isUsable(resident, nowMs);
  }

  /** Returns whether a model is loaded and stays, even on a full target. */
  isLoaded(model: string, nowMs: number): boolean {
    const resident = this.residents.get(model);
    if (resident === undefined || resident.isUnloading) return false;
    return resident.readyMs <= nowMs;
  }

  /**
   * Returns whether a model that is ready is confirmed to take requests.
   *
   * A load may take longer than expected, and every request that waits for the
   * model would be rejected at once. So one request is sent first as a probe.
   */
  isConfirmed(model: string, nowMs: number): boolean {
    const resident = this.residents.get(model);
    if (resident === undefined) return false;
    const {readyMs, probedMs} = resident;
    const confirmedMs =
      probedMs === undefined
        ? readyMs + UNPROBED_CONFIRM_MS
        : probedMs + PROBE_WAIT_MS;
    if (nowMs >= confirmedMs) resident.isConfirmed = true;
    return resident.isConfirmed;
  }

  /**
   * Returns the models that the target may have been loading when its process
   * ended.
   *
   * @param nowMs - clock time at which its registration ended.
   */
  modelsLoadingAtEnd(nowMs: number): string[] {
    const {loadingModel} = this;
    const loading = [...this.residents].filter(
      ([, {readyMs, isServed}]) =>
        !isServed && nowMs - readyMs < REGISTRATION_LAPSE_MS,
    );
    const models = new Set(loading.map(([model]) => model));
    if (loadingModel !== undefined) models.add(loadingModel);
    return [...models];
  }

  /** Marks a model as unconfirmed, as a load of it is new or late. */
  markUnconfirmed(model: string): void {
    const resident = this.residents.get(model);
    if (resident === undefined) return;
    resident.isConfirmed = false;
    resident.isServed = false;
    resident.probedMs = undefined;
  }

  /** Returns whether a model is held or being loaded, and is not unloaded. */
  isHeldOrLoading(model: string): boolean {
    if (this.loadingModel === model) return true;
    return this.residents.get(model)?.isUnloading === false;
  }

  /**
   * Returns when a model should take requests.
   *
   * @param model - a model that is held or being loaded.
   * @returns clock time.
   */
  expectedReadyMs(model: string): number {
    const resident = this.residents.get(model);
    const readyMs = resident?.readyMs ?? Infinity;
    if (readyMs === Infinity) return this.busyUntilMs;
    return Math.max(readyMs, resident!.fullUntilMs);
  }

  /**
   * Returns the expected time of a load of a model on this target, and whether
   * the weights come from the weight store. A model that the configuration does
   * not have, or no longer has, is never loaded.
   */
  loadEstimate(model: string): {loadMs: number; fromStore: boolean} {
    const facts = this.engine.models.get(model);
    if (facts === undefined) return {loadMs: Infinity, fromStore: true};
    const {inMemory, onDisk} = this.target.registration;
    if (inMemory.includes(model)) {
      return {loadMs: facts.memoryLoadMs, fromStore: false};
    }
    if (onDisk.includes(model)) {
      return {loadMs: facts.diskLoadMs, fromStore: false};
    }
    return {loadMs: facts.storeLoadMs, fromStore: true};
  }

  /** Returns the models with weights in memory, on disk or being loaded. */
  localModels(): Set<string> {
    const {inMemory, onDisk} = this.target.registration;
    const local = new Set([...inMemory, ...onDisk, ...this.residents.keys()]);
    if (this.loadingModel !== undefined) local.add(this.loadingModel);
    return local;
  }

  /**
   * Runs work on the target's orders after all earlier work has ended.
   *
   * @param work - the work; a rejection is passed on, and later work still runs.
   */
  runExclusive<T>(work: () => Promise<T>): Promise<T> {
    const result = this.queue.then(work);
    // Whoever asked for the work handles its failure.
    this.queue = result.catch(() => undefined);
    return result;
  }

  /**
   * Records that work on the target's orders failed at an unknown point. Its
   * state must be reported before anything else is ordered.
   *
   * @param nowMs - clock time.
   */
  recordFailedWork(nowMs: number): void {
    this.loadingModel = undefined;
    this.isLoadingFromStore = false;
    this.isReportPending = false;
    this.needsReport = true;
    this.backoffUntilMs = nowMs + FAILED_WORK_BACKOFF_MS;
  }

  /** Replaces the state of the account by the target's own report. */
  applyReport(report: ResidencyReport, nowMs: number): void {
    this.orderCount = report.orderCount;
    this.isBusy = report.isBusy;
    this.residents.clear();
    for (const {model, adapters} of report.held) {
      this.addResident(model, adapters, nowMs);
    }
    for (const {model, adapter} of report.loadingAdapters) {
      const resident = this.residents.get(model);
      resident?.adapters.set(adapter, newAdapter(nowMs));
    }
    this.needsReport = false;
    this.reportCount += 1;
  }

  /** Adds a model that is held or being loaded. */
  addResident(
    model: string,
    adapters: readonly string[],
    readyMs: number,
  ): ResidentModel {
    const held = new Map<string, HeldAdapter>();
    for (const adapter of adapters) held.set(adapter, newAdapter(readyMs));
    const resident: ResidentModel = {
      readyMs,
      fullUntilMs: -Infinity,
      refusalCount: 0,
      usedMs: readyMs,
      isRetiring: false,
      isVictim: false,
      isUnloading: false,
      isConfirmed: true,
      isServed: true,
      probedMs: undefined,
      adapters: held,
    };
    this.residents.set(model, resident);
    return resident;
  }

  /** Adds an adapter that is being loaded. */
  addAdapter(model: string, adapter: string, readyMs: number): void {
    const added = newAdapter(readyMs);
    this.residents.get(model)?.adapters.set(adapter, added);
  }
}

function newAdapter(readyMs: number): HeldAdapter {
  const fullUntilMs = -Infinity;
  const usedMs = readyMs;
  return {readyMs, fullUntilMs, refusalCount: 0, usedMs, isUnloading: false};
}
