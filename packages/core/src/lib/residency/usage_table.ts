/** Table of the requests and demand that hosts report. @packageDocumentation */

import {Clock} from '../time/clock.js';
import {HostWork} from '../work/work_reports.js';
import {WorkTable} from '../work/work_table.js';
import {DemandRate, ModelDemandRate} from './demand_rates.js';

/** How long the last report of a host that stopped reporting counts. */
const REPORT_LIFETIME_MS = 3_000;

/** How long a request that was assigned to a target counts without a report. */
const RESERVATION_MS = 350;

/** Sum of rates below which only rounding errors remain. */
const MIN_SUM = 1e-6;

const NO_DEMAND: DemandRate = {
  perSecond: 0,
  adapterPerSecond: 0,
  objectiveMs: Infinity,
};

/** Report of one host. */
export interface UsageReport {
  /** Requests in flight: target, resident key, number. */
  inFlight: ReadonlyArray<readonly [string, string, number]>;
  /** Demand for models; absent if that of an earlier report still holds. */
  demand?: readonly ModelDemandRate[];
  /** Work at targets. */
  work?: HostWork;
}

interface HostUsage {
  heardMs: number;
  inFlight: Map<string, number>;
  demand: Map<string, DemandRate>;
}

/** Sums the requests in flight and the demand over the reports of all hosts. */
export class UsageTable {
  /** Work of all hosts at the targets. */
  readonly work = new WorkTable();
  private readonly hosts = new Map<string, HostUsage>();
  private readonly reservations = new Map<string, number>();
  private readonly inFlightSums = new Map<string, number>();
  private readonly demandSums = new Map<string, DemandRate>();

  /** @param clock - clock for the age of reports. */
  constructor(private readonly clock: Clock) {}

  /** Number of hosts that have reported lately. */
  get hostCount(): number {
    return this.hosts.size;
  }

  /** Whether any host has reported demand or requests in flight lately. */
  get hasDemand(): boolean {
    return this.demandSums.size > 0 || this.inFlightSums.size > 0;
  }

  /** Adds a host's report, which replaces its earlier one. */
  report(host: string, report: UsageReport): void {
    const known = this.hosts.get(host);
    const inFlight = new Map<string, number>();
    for (const [target, key, count] of report.inFlight) {
      inFlight.set(`${target} ${key}`, count);
    }
    let demand = known?.demand ?? new Map<string, DemandRate>();
    if (report.demand !== undefined) {
      demand = new Map();
      for (const rate of report.demand) {
        demand.set(`${rate.service} ${rate.model}`, rate);
      }
    }
    if (report.work !== undefined) this.work.report(host, report.work);
    if (known !== undefined) this.subtract(known);
    const usage = {heardMs: this.clock.now(), inFlight, demand};
    this.hosts.set(host, usage);
    this.add(usage);
  }

  /** Counts a request that is about to be sent, until hosts report it. */
  reserve(target: string, key: string): void {
    this.reservations.set(
      `${target} ${key}`,
      this.clock.now() + RESERVATION_MS,
    );
  }

  /** Returns the requests in flight at a target for a model or adapter. */
  inFlight(target: string, key: string): number {
    const id = `${target} ${key}`;
    const untilMs = this.reservations.get(id) ?? 0;
    const reserved = untilMs > this.clock.now() ? 1 : 0;
    return reserved + (this.inFlightSums.get(id) ?? 0);
  }

  /** Returns the same, without requests that no host has reported yet. */
  reportedInFlight(target: string, key: string): number {
    return this.inFlightSums.get(`${target} ${key}`) ?? 0;
  }

  /** Returns the demand for a model over all hosts. */
  demand(service: string, model: string): DemandRate {
    return this.demandSums.get(`${service} ${model}`) ?? NO_DEMAND;
  }

  /** Removes expired reports and reservations. */
  prune(): void {
    const nowMs = this.clock.now();
    for (const [host, usage] of this.hosts) {
      if (nowMs - usage.heardMs <= REPORT_LIFETIME_MS) continue;
      this.hosts.delete(host);
      this.work.remove(host);
      this.subtract(usage);
    }
    for (const [id, untilMs] of this.reservations) {
      if (untilMs <= nowMs) this.reservations.delete(id);
    }
  }

  private add({inFlight, demand}: HostUsage): void {
    for (const [id, count] of inFlight) {
      this.inFlightSums.set(id, (this.inFlightSums.get(id) ?? 0) + count);
    }
    for (const [key, rate] of demand) {
      const sum = this.demandSums.get(key) ?? NO_DEMAND;
      this.demandSums.set(key, {
        perSecond: sum.perSecond + rate.perSecond,
        adapterPerSecond: sum.adapterPerSecond + rate.adapterPerSecond,
        objectiveMs: Math.min(sum.objectiveMs, rate.objectiveMs),
      });
    }
  }

  private subtract({inFlight, demand}: HostUsage): void {
    for (const [id, count] of inFlight) {
      const left = (this.inFlightSums.get(id) ?? 0) - count;
      if (left > 0) this.inFlightSums.set(id, left);
      else this.inFlightSums.delete(id);
    }
    for (const [key, rate] of demand) {
      const sum = this.demandSums.get(key) ?? NO_DEMAND;
      const perSecond = sum.perSecond - rate.perSecond;
      const adapterPerSecond = sum.adapterPerSecond - rate.adapterPerSecond;
      if (perSecond <= MIN_SUM) this.demandSums.delete(key);
      else {
        const {objectiveMs} = sum;
        this.demandSums.set(key, {perSecond, adapterPerSecond, objectiveMs});
      }
    }
  }
}
