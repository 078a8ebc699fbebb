/** The metrics of a gateway host. @packageDocumentation */

import {Counter, Gauge, Histogram, Registry} from 'prom-client';
import {PathMetrics} from './path_metrics.js';

/**
 * Covers quick lookups up to the longest timeout of the users' routes, 25 s.
 */
const SECONDS_BUCKETS = [0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30];

/** A call to a healthy store takes 4 ms; calls time out after 0.8 s. */
const STORE_SECONDS_BUCKETS = [0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 1];

/**
 * Maximum number of targets with their own label value. Targets are added and
 * removed with new names all the time, and each label value takes about a
 * kilobyte on a host. Further targets share {@link OTHER_TARGETS}.
 */
const MAX_LABELED_TARGETS = 256;

/** Label value of the targets beyond {@link MAX_LABELED_TARGETS}. */
const OTHER_TARGETS = 'other';

/** Counters, gauges and histograms of a gateway host, in their own registry. */
export class GatewayMetrics {
  readonly registry = new Registry();

  /** Number of requests by kind of route, outcome and reason. */
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

  /**
   * Time to the first byte of the answer, which latency objectives refer to.
   */
  readonly firstByte = new Histogram({
    name: 'fuchsiacleat_gateway_first_byte_seconds',
    help: 'Time from arrival to the first byte of the answer, by kind.',
    labelNames: ['kind'],
    buckets: SECONDS_BUCKETS,
    registers: [this.registry],
  });

  /** Number of sends by target, see {@link GatewayMetrics.countSend}. */
  readonly targetSends = new Counter({
    name: 'fuchsiacleat_gateway_target_sends_total',
    help: 'Sends to targets, by target and how they ended.',
    labelNames: ['target', 'end'],
    registers: [this.registry],
  });

  /** Number of sends that returned no answer to relay. */
  readonly unansweredSends = new Counter({
    name: 'fuchsiacleat_gateway_sends_unanswered_total',
    help: 'Sends to targets that brought no answer to pass on.',
    labelNames: ['end', 'detail'],
    registers: [this.registry],
  });

  /** Number of answers that ended before they were complete. */
  readonly cutAnswers = new Counter({
    name: 'fuchsiacleat_gateway_answers_cut_total',
    help: 'Answers that ended after their head and before their end, by what ended them.',
    labelNames: ['kind', 'ended_by'],
    registers: [this.registry],
  });

  /** Number of runs without progress, by what checks of their targets showed. */
  readonly stalledRuns = new Counter({
    name: 'fuchsiacleat_gateway_runs_stalled_total',
    help: 'Runs that made no progress, by what a check of the target showed.',
    labelNames: ['state'],
    registers: [this.registry],
  });

  /** Number of answers that callers were not sent completely. */
  readonly unsentAnswers = new Counter({
    name: 'fuchsiacleat_gateway_answers_unsent_total',
    help: 'Answers whose connection ended before all was sent, by who closed it.',
    labelNames: ['closed_by'],
    registers: [this.registry],
  });

  /** Number of answers served, by framings and by how many sends they are from. */
  readonly answers = new Counter({
    name: 'fuchsiacleat_gateway_answers_total',
    help: 'Answers of targets that were served, by what delimited the body at the target and for the caller, and by whether one or several sends brought it.',
    labelNames: ['framing', 'caller_framing', 'sends'],
    registers: [this.registry],
  });

  /** Number of answers that only their connections delimited, by finding. */
  readonly untoldEnds = new Counter({
    name: 'fuchsiacleat_gateway_untold_ends_total',
    help: 'Answers of targets that only the end of their connection delimited, by what made them count as complete or not.',
    labelNames: ['finding'],
    registers: [this.registry],
  });

  /** Number of connections that ended because of surplus bytes. */
  readonly surplusBytes = new Counter({
    name: 'fuchsiacleat_gateway_connection_surplus_total',
    help: 'Connections to targets that ended because of bytes that no request was waiting for.',
    registers: [this.registry],
  });

  /** Number of processes of targets that ended under requests of this host. */
  readonly targetEnds = new Counter({
    name: 'fuchsiacleat_gateway_target_ends_total',
    help: 'Processes of targets that ended under requests of this host.',
    registers: [this.registry],
  });

  /** Counts the restricted prompt parts by standing, when metrics are read. */
  countRestrictedParts: () => Record<string, number> = () => ({});

  /** Number of prompt parts that are restricted, by standing. */
  readonly restrictedParts = new Gauge({
    name: 'fuchsiacleat_gateway_restricted_parts',
    help: 'Prompt parts under which targets ended, by standing.',
    labelNames: ['standing'],
    registers: [this.registry],
    collect: (): void => {
      const counts = Object.entries(this.countRestrictedParts());
      for (const [standing, count] of counts)
        this.restrictedParts.set({standing}, count);
    },
  });

  /** Number of times that a prompt part was quarantined. */
  readonly quarantines = new Counter({
    name: 'fuchsiacleat_gateway_quarantines_total',
    help: 'Prompt parts that this host has learned to be quarantined.',
    registers: [this.registry],
  });

  /** Counts the targets that name a limit, when metrics are read. */
  countLimitedTargets: () => number = () => 0;

  /** Number of targets that name a limit. */
  readonly limitedTargets = new Gauge({
    name: 'fuchsiacleat_gateway_limited_targets',
    help: 'Targets that name a limit of requests per second.',
    registers: [this.registry],
    collect: (): void => {
      this.limitedTargets.set(this.countLimitedTargets());
    },
  });

  /** Counts the cold targets, when metrics are read. */
  countColdTargets: () => number = () => 0;

  /** Number of targets that are cold. */
  readonly coldTargets = new Gauge({
    name: 'fuchsiacleat_gateway_cold_targets',
    help: 'Targets that are cold and take few requests per second.',
    registers: [this.registry],
    collect: (): void => {
      this.coldTargets.set(this.countColdTargets());
    },
  });

  /** Number of sends to limited targets that were made or put off. */
  readonly limitedSends = new Counter({
    name: 'fuchsiacleat_gateway_limited_sends_total',
    help: 'Sends to targets with a limit, by whether it allowed them.',
    labelNames: ['result'],
    registers: [this.registry],
  });

  /** Returns the tokens that requests of each team wait for on this host. */
  waitingTokens: () => ReadonlyMap<string, number> = () => new Map();

  /** Tokens that requests over the rates of their teams wait for. */
  readonly rateWaitingTokens = new Gauge({
    name: 'fuchsiacleat_gateway_rate_waiting_tokens',
    help: 'Tokens that requests over the rates of their teams wait for, by team.',
    labelNames: ['team'],
    registers: [this.registry],
    collect: (): void => {
      this.rateWaitingTokens.reset();
      for (const [team, tokens] of this.waitingTokens())
        this.rateWaitingTokens.set({team}, tokens);
    },
  });

  /** Waits of requests over the rates of their teams. */
  readonly rateWait = new Histogram({
    name: 'fuchsiacleat_gateway_rate_wait_seconds',
    help: 'Time that requests over the rates of their teams waited, by how it ended.',
    labelNames: ['end'],
    buckets: SECONDS_BUCKETS,
    registers: [this.registry],
  });

  /** Time from a send to the first event, as predicted for the send. */
  readonly predictedFirstEvent = new Histogram({
    name: 'fuchsiacleat_gateway_predicted_first_event_seconds',
    help: 'Predicted time from a send to its first event, for sends that had one.',
    buckets: SECONDS_BUCKETS,
    registers: [this.registry],
  });

  /** The same, as observed. */
  readonly observedFirstEvent = new Histogram({
    name: 'fuchsiacleat_gateway_observed_first_event_seconds',
    help: 'Time from a send to its first event, for sends with a prediction.',
    buckets: SECONDS_BUCKETS,
    registers: [this.registry],
  });

  /** Returns the targets of known pace, when metrics are read. */
  listPaces: () => Iterable<readonly [string, number]> = () => [];

  /** Pace of targets, see {@link Pace}. */
  readonly targetPace = new Gauge({
    name: 'fuchsiacleat_gateway_target_pace',
    help: 'Duration of runs at a target, relative to the typical one of its service.',
    labelNames: ['target'],
    registers: [this.registry],
    collect: (): void => {
      this.targetPace.reset();
      for (const [target, pace] of this.listPaces())
        this.targetPace.set({target: this.targetLabel(target)}, pace);
    },
  });

  /** Counts the requests that wait for room, when metrics are read. */
  countWaitingForRoom: () => number = () => 0;

  /** Number of requests that wait at this host for room at a target. */
  readonly waitingForRoom = new Gauge({
    name: 'fuchsiacleat_gateway_requests_waiting_for_room',
    help: 'Requests that wait at this host for room at a target.',
    registers: [this.registry],
    collect: (): void => {
      this.waitingForRoom.set(this.countWaitingForRoom());
    },
  });

  /** Number of requests and connections that were refused to bound resources. */
  readonly intakeRefusals = new Counter({
    name: 'fuchsiacleat_gateway_intake_refusals_total',
    help: 'Requests and connections of callers that were refused or closed to bound memory and descriptors, by reason.',
    labelNames: ['reason'],
    registers: [this.registry],
  });

  /** Reads the bytes that are held for callers, when metrics are read. */
  countIntakeBytes: () => number = () => 0;

  /** Bytes of bodies and answers that are held for callers. */
  readonly intakeBytes = new Gauge({
    name: 'fuchsiacleat_gateway_intake_bytes',
    help: 'Bytes of bodies and answers that are held for callers.',
    registers: [this.registry],
    collect: (): void => {
      this.intakeBytes.set(this.countIntakeBytes());
    },
  });

  /** Number of unexpected errors that ended a piece of work. */
  readonly taskFailures = new Counter({
    name: 'fuchsiacleat_gateway_task_failures_total',
    help: 'Unexpected errors that ended a piece of work, by task.',
    labelNames: ['task'],
    registers: [this.registry],
  });

  /** Number of times at which the event loop was held up. */
  readonly loopHolds = new Counter({
    name: 'fuchsiacleat_gateway_event_loop_holds_total',
    help: 'Times at which the process did not run or was busy for 200 ms or more.',
    registers: [this.registry],
  });

  /** Number of calls to the platform's store. */
  readonly storeCalls = new Counter({
    name: 'fuchsiacleat_gateway_store_calls_total',
    help: 'Calls to the store of the platform, by call and result.',
    labelNames: ['call', 'result'],
    registers: [this.registry],
  });

  /** Era of the store: how often it came back from an older copy. */
  readonly storeEra = new Gauge({
    name: 'fuchsiacleat_gateway_store_era',
    help: 'Era of the store, which rises when it comes back from an older copy.',
    registers: [this.registry],
  });

  /** Duration of calls to the store that do not wait for changes. */
  readonly storeSeconds = new Histogram({
    name: 'fuchsiacleat_gateway_store_call_seconds',
    help: 'Time of calls to the store that do not wait for news, by call.',
    labelNames: ['call'],
    buckets: STORE_SECONDS_BUCKETS,
    registers: [this.registry],
  });

  /**
   * Bytes of log lines, including lines that were dropped for a slow reader.
   */
  readonly logBytes = new Counter({
    name: 'fuchsiacleat_gateway_log_bytes_total',
    help: 'Bytes of log lines that were made.',
    registers: [this.registry],
  });

  /** Number of request lines that were omitted to limit the size of the log. */
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

  /** Counts the evacuated zones, when metrics are read. */
  countEvacuatedZones: () => number = () => 0;

  /** Number of evacuated zones. */
  readonly evacuatedZones = new Gauge({
    name: 'fuchsiacleat_gateway_evacuated_zones',
    help: 'Availability zones that the operator has evacuated.',
    registers: [this.registry],
    collect: (): void => {
      this.evacuatedZones.set(this.countEvacuatedZones());
    },
  });

  /** Number of operator records that were read and not understood. */
  readonly ignoredRecords = new Counter({
    name: 'fuchsiacleat_gateway_operator_records_ignored_total',
    help: 'Records of the operator that were read and not understood.',
    registers: [this.registry],
  });

  /** Number of configuration fields that were read and not understood. */
  readonly ignoredFields = new Counter({
    name: 'fuchsiacleat_gateway_config_fields_ignored_total',
    help: 'Fields of configurations that were read and not understood.',
    registers: [this.registry],
  });

  /** Paths to targets, and tunnels. */
  readonly paths = new PathMetrics(this.registry);

  private readonly labeledTargets = new Set<string>();

  /**
   * Counts a send.
   *
   * @param target - id of the target.
   * @param end - how the send ended, as in the log.
   */
  countSend(target: string, end: string): void {
    this.targetSends.inc({target: this.targetLabel(target), end});
  }

  /**
   * Records the first event of a send.
   *
   * @param predictedMs - the predicted time from the send, in milliseconds.
   * @param observedMs - the time that it took, in milliseconds.
   */
  recordFirstEvent(predictedMs: number, observedMs: number): void {
    this.predictedFirstEvent.observe(predictedMs / 1_000);
    this.observedFirstEvent.observe(observedMs / 1_000);
  }

  private targetLabel(target: string): string {
    const {labeledTargets: labels} = this;
    if (labels.has(target)) return target;
    if (labels.size >= MAX_LABELED_TARGETS) return OTHER_TARGETS;
    labels.add(target);
    return target;
  }
}
