/** Metrics of a host. @packageDocumentation */

import {Counter, Gauge, Histogram, Registry} from 'prom-client';

const SECONDS_BUCKETS = [
  0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30,
  60,
];

/**
 * Metrics with a separate registry, so that several hosts can run in one
 * process.
 */
export class Metrics {
  /** Registry that is exposed in text format on the operator port. */
  readonly registry = new Registry();

  /** Counts finished requests by route, team and outcome. */
  readonly requests = new Counter({
    name: 'fuchsiacleat_requests_total',
    help: 'Requests that ended, by route, team and outcome.',
    labelNames: ['route', 'team', 'outcome', 'reason'],
    registers: [this.registry],
  });

  /** Time to the first token, in seconds. */
  readonly firstToken = new Histogram({
    name: 'fuchsiacleat_first_token_seconds',
    help: 'Time from arrival to the first token sent to the caller.',
    labelNames: ['route'],
    buckets: SECONDS_BUCKETS,
    registers: [this.registry],
  });

  /** Number of requests in progress. */
  readonly inFlight = new Gauge({
    name: 'fuchsiacleat_requests_in_flight',
    help: 'Requests that have come in and not ended.',
    registers: [this.registry],
  });

  /** Number of requests and connections that were refused to bound resources. */
  readonly intakeRefusals = new Counter({
    name: 'fuchsiacleat_intake_refusals_total',
    help: 'Requests of callers that were refused to bound memory, by reason.',
    labelNames: ['reason'],
    registers: [this.registry],
  });

  /** Version of the configuration in force. */
  readonly configVersion = new Gauge({
    name: 'fuchsiacleat_config_version',
    help: 'Version of the configuration in force on this host.',
    registers: [this.registry],
  });

  /** Age of the configuration, in seconds. */
  readonly configAge = new Gauge({
    name: 'fuchsiacleat_config_age_seconds',
    help: 'Time since this host last confirmed that it has the newest version.',
    registers: [this.registry],
  });
}
