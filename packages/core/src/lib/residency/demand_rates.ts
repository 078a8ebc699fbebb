/** Measures a host's own demand for models. @packageDocumentation */

import {ModelDemand} from '../gateway/caller_request.js';
import {DecayingRate} from '../limits/decaying_rate.js';
import {Clock} from '../time/clock.js';

/** Window of the measured request rates: demand changes within seconds. */
const RATE_WINDOW_MS = 6_000;

/** Requests a second below which a model is not reported. */
const MIN_REPORTED_RATE = 0.01;

/** Demand for a model, on one host or summed over all. */
export interface DemandRate {
  perSecond: number;
  /** Requests a second that need an adapter. */
  adapterPerSecond: number;
  /** Shortest latency objective among the requests. */
  objectiveMs: number;
}

/** Demand for a model of a service. */
export interface ModelDemandRate extends DemandRate {
  service: string;
  model: string;
}

interface Entry {
  service: string;
  model: string;
  all: DecayingRate;
  withAdapter: DecayingRate;
  objectiveMs: number;
}

/** Measures the rate of requests for each model on this host. */
export class DemandRates {
  private readonly entries = new Map<string, Entry>();

  /** @param clock - clock for the rates. */
  constructor(private readonly clock: Clock) {}

  /** Counts a request. */
  record(service: string, demand: ModelDemand, objectiveMs: number): void {
    const {model, adapter} = demand;
    const key = `${service} ${model}`;
    let entry = this.entries.get(key);
    if (entry === undefined) {
      const all = new DecayingRate(this.clock, RATE_WINDOW_MS);
      const withAdapter = new DecayingRate(this.clock, RATE_WINDOW_MS);
      entry = {service, model, all, withAdapter, objectiveMs};
      this.entries.set(key, entry);
    }
    entry.all.add(1);
    if (adapter !== undefined) entry.withAdapter.add(1);
    entry.objectiveMs = Math.min(entry.objectiveMs, objectiveMs);
  }

  /** Returns the demand for each model that still gets requests. */
  rates(): ModelDemandRate[] {
    const rates: ModelDemandRate[] = [];
    for (const [key, entry] of this.entries) {
      const {service, model, objectiveMs} = entry;
      const perSecond = entry.all.value;
      if (perSecond < MIN_REPORTED_RATE) {
        this.entries.delete(key);
        continue;
      }
      const adapterPerSecond = entry.withAdapter.value;
      rates.push({service, model, perSecond, adapterPerSecond, objectiveMs});
    }
    return rates;
  }
}
