/** The metrics of a gateway host. @packageDocumentation */

import {Counter, Gauge, Histogram, Registry} from 'prom-client';

const SECONDS_BUCKETS = [0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30];

/** Counters and histograms, in a registry of their own. */
export class GatewayMetrics {
  readonly registry = new Registry();

  /** Requests by kind of route, outcome and reason. */
  readonly requests = new Counter({
    name: 'fuchsiacleat_gateway_requests_total',
    help: 'Requests that ended, by kind of route, outcome and reason.',
    labelNames: ['kind', 'outcome', 'reason'],
    registers: [this.registry],
  });

  /** Time from arrival to the end of the answer. */
  readonly duration = new Histogram({
    name: 'fuchsiacleat_gateway_request_seconds',
    help: 'Time from arrival to the end of the answer, by kind and outcome.',
    labelNames: ['kind', 'outcome'],
    buckets: SECONDS_BUCKETS,
    registers: [this.registry],
  });

  /** Sends to targets that brought no answer to pass on. */
  readonly sends = new Counter({
    name: 'fuchsiacleat_gateway_sends_unanswered_total',
    help: 'Sends to targets that brought no answer to pass on.',
    labelNames: ['end', 'detail'],
    registers: [this.registry],
  });

  /** Calls to the platform's store. */
  readonly storeCalls = new Counter({
    name: 'fuchsiacleat_gateway_store_calls_total',
    help: 'Calls to the store of the platform, by call and result.',
    labelNames: ['call', 'result'],
    registers: [this.registry],
  });

  /** Version of the configuration in force. */
  readonly configVersion = new Gauge({
    name: 'fuchsiacleat_gateway_config_version',
    help: 'Version of the configuration in force on this host.',
    registers: [this.registry],
  });
}
