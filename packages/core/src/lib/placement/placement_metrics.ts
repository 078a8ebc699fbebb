/** Metrics of a zone controller. @packageDocumentation */

import {Counter, Gauge, Histogram, Registry} from 'prom-client';

const STEP_BUCKETS_S = [
  0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 20, 30, 60, 120,
];

/** The steps of a load, in the order in which they run. */
export const LOAD_STEP = {
  record: 'record',
  evict: 'evict',
  load: 'load',
} as const;

/** Metrics that every host registers and only the controller updates. */
export class PlacementMetrics {
  /** Duration of each step of a load, in seconds. */
  readonly loadStep: Histogram;
  /** Decisions by kind and outcome. */
  readonly decisions: Counter;
  /** Requests that wait for a replica, as hosts last reported. */
  readonly waiting: Gauge;

  /**
   * Registers the metrics.
   *
   * @param registry - registry of the host's metrics.
   */
  constructor(registry: Registry) {
    const registers = [registry];
    this.loadStep = new Histogram({
      name: 'fuchsiacleat_load_step_seconds',
      help: 'Duration of the steps of a load, by step and checkpoint place.',
      labelNames: ['step', 'place'],
      buckets: STEP_BUCKETS_S,
      registers,
    });
    this.decisions = new Counter({
      name: 'fuchsiacleat_decisions_total',
      help: 'Decisions that ended, by kind and outcome.',
      labelNames: ['kind', 'outcome'],
      registers,
    });
    this.waiting = new Gauge({
      name: 'fuchsiacleat_waiting_for_replica',
      help: 'Requests that wait at the hosts of the zone for a replica.',
      registers,
    });
  }
}
