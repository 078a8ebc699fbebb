/** What the hosts have reported of their requests. @packageDocumentation */

import {Clock} from '../time/clock.js';
import {DemandRate, ModelDemandRate} from './demand_book.js';

/** How long the report of a host that went silent still counts. */
const REPORT_LIFE_MS = 3_000;

/** How long a request that was sent to a target counts without a report. */
const PROMISE_MS = 350;

/** What one host reports. */
export interface UsageReport {
  /** Requests in flight: target, resident key, number. */
  inFlight: ReadonlyArray<readonly [string, string, number]>;
  /** Demand for models; absent if an earlier report still holds. */
  demand?: readonly ModelDemandRate[];
}

interface HostUsage {
  heardMs: number;
  inFlight: Map<string, number>;
  demand: Map<string, DemandRate>;
}

/** Requests in flight and demand over all hosts. */
export class UsageTable {
  private readonly hosts = new Map<string, HostUsage>();
  private readonly promises = new Map<string, number>();

  /** @param clock - measures ages. */
  constructor(private readonly clock: Clock) {}

  /** Number of hosts that have reported of late. */
  get hostCount(): number {
    return this.hosts.size;
  }

  /** Takes in a host's report, which replaces its earlier one. */
  report(host: string, report: UsageReport): void {
    const inFlight = new Map<string, number>();
    for (const [target, key, count] of report.inFlight) {
      inFlight.set(`${target} ${key}`, count);
    }
    let demand = this.hosts.get(host)?.demand ?? new Map();
    if (report.demand !== undefined) {
      demand = new Map();
      for (const rate of report.demand) {
        demand.set(`${rate.service} ${rate.model}`, rate);
      }
    }
    this.hosts.set(host, {heardMs: this.clock.now(), inFlight, demand});
  }

  /** Notes that a request is about to be sent. */
  promise(target: string, key: string): void {
    this.promises.set(`${target} ${key}`, this.clock.now() + PROMISE_MS);
  }

  /** @returns requests in flight at a target for a model or adapter. */
  inFlight(target: string, key: string): number {
    const id = `${target} ${key}`;
    const nowMs = this.clock.now();
    let count = (this.promises.get(id) ?? 0) > nowMs ? 1 : 0;
    for (const {heardMs, inFlight} of this.hosts.values()) {
      if (nowMs - heardMs <= REPORT_LIFE_MS) count += inFlight.get(id) ?? 0;
    }
    return count;
  }

  /** @returns the demand for a model. */
  demand(service: string, model: string): DemandRate {
    const key = `${service} ${model}`;
    const total = {
      perSecond: 0,
      adapterPerSecond: 0,
      objectiveMs: Infinity,
    };
    for (const {demand} of this.hosts.values()) {
      const rate = demand.get(key);
      if (rate === undefined) continue;
      total.perSecond += rate.perSecond;
      total.adapterPerSecond += rate.adapterPerSecond;
      total.objectiveMs = Math.min(total.objectiveMs, rate.objectiveMs);
    }
    return total;
  }

  /** Drops what is too old to count. */
  prune(): void {
    const nowMs = this.clock.now();
    for (const [host, {heardMs}] of this.hosts) {
      if (nowMs - heardMs > REPORT_LIFE_MS) this.hosts.delete(host);
    }
    for (const [id, untilMs] of this.promises) {
      if (untilMs <= nowMs) this.promises.delete(id);
    }
  }
}
