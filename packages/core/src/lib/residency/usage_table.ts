/** What the hosts have reported of their requests. @packageDocumentation */

import {DecayingRate} from '../limits/decaying_rate.js';
import {Clock} from '../time/clock.js';

/** Window of the measured request rates: demand moves within seconds. */
const RATE_WINDOW_MS = 6_000;

/** How long the report of a host that went silent still counts. */
const REPORT_LIFE_MS = 3_000;

/** How long a request that was sent to a target counts without a report. */
const PROMISE_MS = 350;

/** What one host reports. */
export interface UsageReport {
  /** Requests in flight: target, resident key, number. */
  inFlight: ReadonlyArray<readonly [string, string, number]>;
  /** Requests that came since the last report. */
  arrivals: readonly ModelArrivals[];
}

/** Requests for a model that came at a host. */
export interface ModelArrivals {
  service: string;
  model: string;
  count: number;
  /** Those among them that need an adapter. */
  adapterCount: number;
  /** Shortest latency objective among them. */
  objectiveMs: number;
}

/** Demand for a model over all hosts. */
export interface ModelDemandRate {
  perSecond: number;
  /** Requests a second that need an adapter. */
  adapterPerSecond: number;
  objectiveMs: number;
}

interface HostUsage {
  heardMs: number;
  inFlight: Map<string, number>;
}

/** Requests in flight and request rates over all hosts. */
export class UsageTable {
  private readonly hosts = new Map<string, HostUsage>();
  private readonly rates = new Map<string, DecayingRate>();
  private readonly objectives = new Map<string, number>();
  private readonly promises = new Map<string, number>();

  /** @param clock - measures rates and ages. */
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
    this.hosts.set(host, {heardMs: this.clock.now(), inFlight});
    for (const arrivals of report.arrivals) this.addArrivals(arrivals);
  }

  /** Counts requests for a model. */
  addArrivals(arrivals: ModelArrivals): void {
    const {service, model, count, adapterCount, objectiveMs} = arrivals;
    const key = `${service} ${model}`;
    this.rateOf(key).add(count);
    if (adapterCount > 0) this.rateOf(adapterKey(key)).add(adapterCount);
    const known = this.objectives.get(key) ?? Infinity;
    this.objectives.set(key, Math.min(known, objectiveMs));
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
  demand(service: string, model: string): ModelDemandRate {
    const key = `${service} ${model}`;
    return {
      perSecond: this.rates.get(key)?.value ?? 0,
      adapterPerSecond: this.rates.get(adapterKey(key))?.value ?? 0,
      objectiveMs: this.objectives.get(key) ?? Infinity,
    };
  }

  private rateOf(key: string): DecayingRate {
    let rate = this.rates.get(key);
    if (rate === undefined) {
      rate = new DecayingRate(this.clock, RATE_WINDOW_MS);
      this.rates.set(key, rate);
    }
    return rate;
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

function adapterKey(key: string): string {
  return `${key} adapters`;
}
