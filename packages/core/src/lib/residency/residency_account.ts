/** What a target holds and is being ordered to hold. @packageDocumentation */

import {EngineFacts} from '../gateway/deployment.js';
import {KnownTarget} from '../gateway/target_table.js';
import {ResidencyReport} from './order_port.js';
import type {UsageTable} from './usage_table.js';

/** What is common to models and adapters on a target. */
export interface HeldItem {
  /** Clock time from which it can be used. */
  readyMs: number;
  /** Clock time until which its target was too full to take more for it. */
  fullUntilMs: number;
  /** Refusals since it should have been ready. */
  lateCount: number;
  /** Whether it is being unloaded, or is believed to be gone. */
  isLeaving: boolean;
}

/** @returns whether requests are put off, as it is not there yet or full. */
export function isPutOff(
  {fullUntilMs, readyMs}: HeldItem,
  nowMs: number,
): boolean {
  return readyMs > nowMs || fullUntilMs > nowMs;
}

/** @returns whether requests can be sent for something that is held. */
export function isUsable(item: HeldItem, nowMs: number): boolean {
  return !item.isLeaving && !isPutOff(item, nowMs);
}

/** An adapter on a target. */
export interface HeldAdapter extends HeldItem {
  /** Clock time at which it was last handed to a request. */
  usedMs: number;
}

/** A model on a target. */
export interface HeldResident extends HeldItem {
  usedMs: number;
  /** Whether requests go elsewhere, as another target holds it too. */
  isRetiring: boolean;
  /** Whether it is known to take requests, not only expected to. */
  isProven: boolean;
  /** Clock time at which a first request was sent after its load. */
  triedMs: number | undefined;
  readonly adapters: Map<string, HeldAdapter>;
}

/** Time in which a refusal of the first request after a load is heard of. */
const TRIAL_MS = 80;

/** Time after which a model that nobody asked for is believed to be there. */
export const UNTRIED_MS = 200;

/**
 * The account of one target. Memory counts as taken from before an order is
 * sent until the target has said that it is free.
 */
export class ResidencyAccount {
  readonly residents = new Map<string, HeldResident>();
  /** Orders that the target has accepted, as far as is known. */
  orderCount: number;
  /** Whether an order for a whole model is being carried out. */
  isBusy = false;
  /** Clock time at which that order is expected to end. */
  busyUntilMs = -Infinity;
  /** Model for which that order makes way, or which it loads. */
  coming: string | undefined;
  /** Whether the weight store is being read for it. */
  readsStore = false;
  /** Whether the account must be compared with the target's own report. */
  needsReport = false;
  /** Whether its models were looked at since it said that it leaves. */
  isHandedOn = false;
  /** Whether a report is being asked for. */
  isAsked = false;
  /** Reports taken in: what was decided before the last one may not hold. */
  reportCount = 0;
  /** Clock time before which nothing is ordered. */
  quietUntilMs = -Infinity;
  /** Hosts that lately could not reach the target, and when. */
  readonly unreachableFrom = new Map<string, number>();
  /** Orders to this target go out one after the other. */
  private queue: Promise<unknown> = Promise.resolve();

  /**
   * @param target - the target.
   * @param engine - its size and its models.
   * @param nowMs - clock time.
   */
  constructor(
    readonly target: KnownTarget,
    public engine: EngineFacts,
    nowMs: number,
  ) {
    this.orderCount = target.notice.orderCount;
    for (const {model, adapters} of target.notice.held) {
      this.addResident(model, adapters, nowMs);
    }
  }

  /** Id of the target. */
  get id(): string {
    return this.target.notice.id;
  }

  /** Whether requests can be sent to the target. */
  get isReachable(): boolean {
    return this.target.isOpen && !this.target.health.isAvoided;
  }

  /** Weights and adapters held, in megabytes. */
  get usedMb(): number {
    let usedMb = 0;
    for (const model of this.residents.keys()) usedMb += this.sizeOf(model);
    return usedMb;
  }

  /**
   * @param usage - requests in flight over all hosts.
   * @returns requests in flight here, as a share of the slots.
   */
  load(usage: UsageTable): number {
    let running = 0;
    for (const model of this.residents.keys()) {
      running += usage.inFlight(this.id, model);
    }
    return running / this.engine.slots;
  }

  /**
   * @param model - a model that is held.
   * @returns its size with its adapters, in megabytes; infinite for a model
   *     that the configuration no longer knows.
   */
  sizeOf(model: string): number {
    const facts = this.engine.models.get(model);
    const adapters = this.residents.get(model)?.adapters.size ?? 0;
    if (facts === undefined) return Infinity;
    return facts.weightsMb + adapters * facts.adapterMb;
  }

  /** Adapter places taken, those on their way included. */
  get adapterCount(): number {
    let count = 0;
    for (const {adapters} of this.residents.values()) count += adapters.size;
    return count;
  }

  /** @returns whether a model can take requests, or could at once. */
  isReady(model: string, nowMs: number): boolean {
    const resident = this.residents.get(model);
    return resident !== undefined && isUsable(resident, nowMs);
  }

  /** @returns whether a model is loaded and stays, be its target full or not. */
  isThere(model: string, nowMs: number): boolean {
    const resident = this.residents.get(model);
    if (resident === undefined || resident.isLeaving) return false;
    return resident.readyMs <= nowMs;
  }

  /**
   * A load may take longer than expected, and everybody who waits for its model
   * would be turned away at once: one request goes first.
   *
   * @returns whether requests may go to a model that is ready.
   */
  isProven(model: string, nowMs: number): boolean {
    const resident = this.residents.get(model);
    if (resident === undefined) return false;
    const {readyMs, triedMs} = resident;
    const provenMs =
      triedMs === undefined ? readyMs + UNTRIED_MS : triedMs + TRIAL_MS;
    if (nowMs >= provenMs) resident.isProven = true;
    return resident.isProven;
  }

  /** Notes that a model that should be there is not. */
  noteLate(model: string): void {
    const resident = this.residents.get(model);
    if (resident === undefined) return;
    resident.isProven = false;
    resident.triedMs = undefined;
  }

  /** @returns whether a model is held or on its way, and stays. */
  keeps(model: string): boolean {
    if (this.coming === model) return true;
    return this.residents.get(model)?.isLeaving === false;
  }

  /**
   * @param model - a model that is held or on its way.
   * @returns clock time from which it should take requests.
   */
  expectedMs(model: string): number {
    const resident = this.residents.get(model);
    const readyMs = resident?.readyMs ?? Infinity;
    if (readyMs === Infinity) return this.busyUntilMs;
    return Math.max(readyMs, resident!.fullUntilMs);
  }

  /** @returns the time a load of a model takes here, and whence it comes. */
  loadOf(model: string): {loadMs: number; fromStore: boolean} {
    const facts = this.engine.models.get(model)!;
    const {inMemory, onDisk} = this.target.notice;
    if (inMemory.includes(model)) {
      return {loadMs: facts.memoryLoadMs, fromStore: false};
    }
    if (onDisk.includes(model)) {
      return {loadMs: facts.diskLoadMs, fromStore: false};
    }
    return {loadMs: facts.storeLoadMs, fromStore: true};
  }

  /** @returns models whose weights are in its memory, on its disk or coming. */
  nearModels(): Set<string> {
    const {inMemory, onDisk} = this.target.notice;
    const near = new Set([...inMemory, ...onDisk, ...this.residents.keys()]);
    if (this.coming !== undefined) near.add(this.coming);
    return near;
  }

  /**
   * Runs work on the target's orders after all earlier work.
   *
   * @param work - what to run; must not reject.
   */
  inTurn<T>(work: () => Promise<T>): Promise<T> {
    const result = this.queue.then(work);
    this.queue = result;
    return result;
  }

  /** Takes in the target's own report. */
  adopt(report: ResidencyReport, nowMs: number): void {
    this.orderCount = report.orderCount;
    this.isBusy = report.isBusy;
    this.residents.clear();
    for (const {model, adapters} of report.held) {
      this.addResident(model, adapters, nowMs);
    }
    for (const {model, adapter} of report.coming) {
      const resident = this.residents.get(model);
      resident?.adapters.set(adapter, newAdapter(nowMs));
    }
    this.needsReport = false;
    this.reportCount += 1;
  }

  /** Adds a model, as held or as being loaded. */
  addResident(
    model: string,
    adapters: readonly string[],
    readyMs: number,
  ): HeldResident {
    const held = new Map<string, HeldAdapter>();
    for (const adapter of adapters) held.set(adapter, newAdapter(readyMs));
    const resident: HeldResident = {
      readyMs,
      fullUntilMs: -Infinity,
      lateCount: 0,
      usedMs: readyMs,
      isRetiring: false,
      isLeaving: false,
      isProven: true,
      triedMs: undefined,
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
  return {readyMs, fullUntilMs, lateCount: 0, usedMs, isLeaving: false};
}
