/** The metrics of a gateway host. @packageDocumentation */

import {Counter, Gauge, Histogram, Registry} from 'prom-client';

/** From a quick lookup to the longest time limit of the users' routes, 25 s. */
const SECONDS_BUCKETS = [0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30];

/** A call to the store takes 4 ms when it is sound, and 0.8 s at most. */
const STORE_SECONDS_BUCKETS = [0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 1];

/**
 * Targets with counters of their own; targets come and go with new names, and
 * each costs a host about a kilobyte. Later ones share {@link OTHER_TARGETS}.
 */
const MAX_NAMED_TARGETS = 256;

/** Label of the targets that came after {@link MAX_NAMED_TARGETS} others. */
const OTHER_TARGETS = 'other';

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

  /** Time to the first byte of an answer, which objectives are set for. */
  readonly firstByte = new Histogram({
    name: 'fuchsiacleat_gateway_first_byte_seconds',
    help: 'Time from arrival to the first byte of the answer, by kind.',
    labelNames: ['kind'],
    buckets: SECONDS_BUCKETS,
    registers: [this.registry],
  });

  /** Sends by target, see {@link GatewayMetrics.noteSend}. */
  readonly targetSends = new Counter({
    name: 'fuchsiacleat_gateway_target_sends_total',
    help: 'Sends to targets, by target and how they ended.',
    labelNames: ['target', 'end'],
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

  /** Time of calls to the store, without what it was asked to wait. */
  readonly storeSeconds = new Histogram({
    name: 'fuchsiacleat_gateway_store_call_seconds',
    help: 'Time of calls to the store that do not wait for news, by call.',
    labelNames: ['call'],
    buckets: STORE_SECONDS_BUCKETS,
    registers: [this.registry],
  });

  /** Bytes of log lines, those that a slow reader lost included. */
  readonly logBytes = new Counter({
    name: 'fuchsiacleat_gateway_log_bytes_total',
    help: 'Bytes of log lines that were made.',
    registers: [this.registry],
  });

  /** Request lines that were left out to bound the log. */
  readonly omittedLines = new Counter({
    name: 'fuchsiacleat_gateway_log_lines_omitted_total',
    help: 'Lines about requests that were left out to bound the log.',
    registers: [this.registry],
  });

  /** Version of the configuration in force. */
  readonly configVersion = new Gauge({
    name: 'fuchsiacleat_gateway_config_version',
    help: 'Version of the configuration in force on this host.',
    registers: [this.registry],
  });

  private readonly namedTargets = new Set<string>();

  /**
   * Counts a send.
   *
   * @param target - id of the target.
   * @param end - how it ended, as in the log.
   */
  noteSend(target: string, end: string): void {
    this.targetSends.inc({target: this.targetLabel(target), end});
  }

  private targetLabel(target: string): string {
    const {namedTargets} = this;
    if (namedTargets.has(target)) return target;
    if (namedTargets.size >= MAX_NAMED_TARGETS) return OTHER_TARGETS;
    namedTargets.add(target);
    return target;
  }
}
