/** Reports requests as log lines and metrics. @packageDocumentation */

import {Outcome} from '../requests/outcome.js';
import {TokenBucket} from '../limits/token_bucket.js';
import {Logger} from '../telemetry/logger.js';
import {Clock} from '../time/clock.js';
import {ANSWER_END} from './answer_end.js';
import {CALLER_FRAMING, FRAMING} from './answer_framing.js';
import {GatewayMetrics} from './gateway_metrics.js';
import {
  BegunAnswer,
  EndedAnswer,
  EndedSend,
  RelayObserver,
  RequestTrace,
  StalledRun,
  SurplusBytes,
  UnsentAnswer,
} from './relay_observer.js';

/**
 * Rate limits of log lines for unserved and served requests, lines per second.
 */
const UNSERVED_LINE_LIMIT = {rate: 100, burst: 300};
const SERVED_LINE_LIMIT = {rate: 14, burst: 40};

/**
 * Limit for answers whose completeness is not plain from one send's framing, and
 * for surplus bytes. They are rare, and no other lines displace them.
 */
const UNUSUAL_LINE_LIMIT = {rate: 6, burst: 20};

/** Time between reports of omitted lines and of sends to limited targets. */
const REPORT_INTERVAL_MS = 4_000;

/** Sends to a target with a limit. */
interface LimitCounts extends Record<string, number> {
  sends: number;
  /** Those of them whose request was sent before. */
  repeats: number;
  /** Sends that the limit did not allow when they were due. */
  throttled: number;
}

/**
 * Writes one log line for each request that ends. Unserved, unusual and
 * other served requests have separate rate limits, so that many served requests
 * cannot displace the others. The number of omitted lines is logged as well.
 */
export class LoggingObserver extends RelayObserver {
  private readonly unservedBucket: TokenBucket;
  private readonly servedBucket: TokenBucket;
  private readonly unusualBucket: TokenBucket;
  private omittedCount = 0;
  /** Sends to targets with a limit since the last report. */
  private readonly limitCounts = new Map<string, LimitCounts>();

  /**
   * @param clock - measures the rate of lines.
   * @param logger - receives the lines.
   * @param metrics - counts every request.
   */
  constructor(
    clock: Clock,
    private readonly logger: Logger,
    private readonly metrics: GatewayMetrics,
  ) {
    super();
    this.unservedBucket = new TokenBucket(
      clock,
      UNSERVED_LINE_LIMIT,
      UNSERVED_LINE_LIMIT.burst,
    );
    this.servedBucket = new TokenBucket(
      clock,
      SERVED_LINE_LIMIT,
      SERVED_LINE_LIMIT.burst,
    );
    this.unusualBucket = new TokenBucket(
      clock,
      UNUSUAL_LINE_LIMIT,
      UNUSUAL_LINE_LIMIT.burst,
    );
  }

  /**
   * Logs the numbers of omitted lines and of sends to limited targets
   * periodically.
   *
   * @param clock - schedules the reports.
   * @param signal - ends the task.
   */
  async run(clock: Clock, signal: AbortSignal): Promise<void> {
    await clock.every(REPORT_INTERVAL_MS, signal, () => {
      this.logLimitedSends();
      if (this.omittedCount === 0) return;
      this.logger.info('request_lines_omitted', {count: this.omittedCount});
      this.omittedCount = 0;
    });
  }

  override sendAnswered(target: string): void {
    this.metrics.countSend(target, 'answered');
  }

  override answerBegun(answer: BegunAnswer): void {
    const {callerFraming, connection, framing, id, target} = answer;
    const isHeld = callerFraming === CALLER_FRAMING.held;
    if (framing !== FRAMING.close && !isHeld) return;
    if (!this.tryTakeLine(this.unusualBucket)) return;
    this.logger.info('answer_begun', {
      id,
      target,
      connection,
      framing,
      caller_framing: callerFraming,
    });
  }

  override answerEnded(answer: EndedAnswer): void {
    const {connection, finding, id, receivedBytes, tailMs, target} = answer;
    this.metrics.untoldEnds.inc({finding});
    if (!this.tryTakeLine(this.unusualBucket)) return;
    this.logger.info('answer_ended', {
      id,
      target,
      connection,
      finding,
      send_age_ms: answer.ageMs,
      received_bytes: receivedBytes,
      tail_ms: tailMs,
    });
  }

  override sendEnded(send: EndedSend): void {
    const {id, target, end, endedBy, detail, receivedBytes} = send;
    this.metrics.unansweredSends.inc({end, detail});
    this.metrics.countSend(target, end);
    if (!this.tryTakeLine(this.unservedBucket)) return;
    this.logger.info('send_ended', {
      id,
      target,
      end,
      ended_by: endedBy,
      detail,
      send_age_ms: send.ageMs,
      received_bytes: receivedBytes,
      connection: send.connection,
      parts: send.parts.length > 0 ? send.parts.join(',') : undefined,
    });
  }

  override runStalled(run: StalledRun): void {
    const {id, target, state, ageMs, receivedBytes} = run;
    this.metrics.stalledRuns.inc({state});
    if (!this.tryTakeLine(this.unservedBucket)) return;
    this.logger.info('run_stalled', {
      id,
      target,
      state,
      send_age_ms: ageMs,
      received_bytes: receivedBytes,
    });
  }

  override targetAvoided(target: string, forMs: number): void {
    if (!this.tryTakeLine(this.unservedBucket)) return;
    this.logger.info('target_avoided', {target, for_ms: forMs});
  }

  override targetRefusedConnection(target: string, startedMs: number): void {
    if (!this.tryTakeLine(this.unservedBucket)) return;
    const fields = {target, started: startedMs};
    this.logger.info('target_refused_connection', fields);
  }

  override targetBackingOff(target: string, forMs: number): void {
    if (!this.tryTakeLine(this.unservedBucket)) return;
    this.logger.info('target_quiet', {target, for_ms: forMs});
  }

  override limitedSend(target: string, isRepeat: boolean): void {
    this.metrics.limitedSends.inc({result: 'sent'});
    const counts = this.limitCountsOf(target);
    counts.sends += 1;
    if (isRepeat) counts.repeats += 1;
  }

  override sendThrottled(target: string): void {
    this.metrics.limitedSends.inc({result: 'throttled'});
    this.limitCountsOf(target).throttled += 1;
  }

  private limitCountsOf(target: string): LimitCounts {
    let counts = this.limitCounts.get(target);
    if (counts === undefined) {
      counts = {sends: 0, repeats: 0, throttled: 0};
      this.limitCounts.set(target, counts);
    }
    return counts;
  }

  private logLimitedSends(): void {
    for (const [target, counts] of this.limitCounts) {
      if (!this.tryTakeLine(this.servedBucket)) continue;
      this.logger.info('target_limit_sends', {
        target,
        ...counts,
        over_ms: REPORT_INTERVAL_MS,
      });
    }
    this.limitCounts.clear();
  }

  override answerUnsent(answer: UnsentAnswer): void {
    const {id, unsentBytes, closedBy, isStopping} = answer;
    this.metrics.unsentAnswers.inc({closed_by: closedBy});
    if (!this.tryTakeLine(this.unservedBucket)) return;
    this.logger.info('answer_unsent', {
      id,
      unsent_bytes: unsentBytes,
      closed_by: closedBy,
      stopping: isStopping,
    });
  }

  override surplusReceived({afterId, connection, target}: SurplusBytes): void {
    this.metrics.surplusBytes.inc();
    if (!this.tryTakeLine(this.unusualBucket)) return;
    this.logger.info('connection_surplus', {
      target,
      connection,
      after_request: afterId,
    });
  }

  override requestEnded(story: RequestTrace): void {
    const {outcome, kind = 'none'} = story;
    const reason = reasonOf(outcome);
    if (story.answer === ANSWER_END.cut)
      this.metrics.cutAnswers.inc({kind, ended_by: story.endedBy});
    this.metrics.requests.inc({kind, outcome: outcome.type, reason});
    this.metrics.duration.observe(
      {kind, outcome: outcome.type},
      story.totalMs / 1_000,
    );
    if (story.firstByteMs !== undefined) {
      this.metrics.firstByte.observe({kind}, story.firstByteMs / 1_000);
    }
    const {work} = story;
    if (work?.firstEventMs !== undefined) {
      const {firstEventMs, prediction} = work;
      this.metrics.recordFirstEvent(prediction.firstEventMs, firstEventMs);
    }
    const isServed = outcome.type === 'served';
    const hasParts = story.parts.length > 0;
    const isResumed = story.lastEventId !== undefined;
    const versions = story.softwareVersions.join(',') || undefined;
    if (isServed && story.framing !== undefined)
      this.metrics.answers.inc({
        framing: story.framing,
        caller_framing: story.callerFraming,
        sends: story.answerSends > 1 ? 'several' : 'one',
      });
    const bucket = this.bucketFor(story);
    if (!this.tryTakeLine(bucket)) return;
    this.logger.info('request', {
      id: story.id,
      outcome: outcome.type,
      reason: reason === '' ? undefined : reason,
      detail: 'message' in outcome ? outcome.message : undefined,
      retry_after_ms:
        'retryAfterMs' in outcome ? outcome.retryAfterMs : undefined,
      status: story.status,
      answer: story.answer,
      framing: story.framing,
      caller_framing:
        story.callerFraming === story.framing ? undefined : story.callerFraming,
      end: story.endFinding,
      body_bytes: story.framing === undefined ? undefined : story.bodyBytes,
      answer_sends: story.answerSends > 1 ? story.answerSends : undefined,
      connection: story.connection,
      ended_by: story.endedBy,
      route: story.route,
      kind: story.kind,
      team: story.team,
      service: story.service,
      model: story.model,
      parts: isServed || !hasParts ? undefined : story.parts.join(','),
      targets: story.targets.length > 0 ? story.targets.join(',') : undefined,
      versions: isServed && !isResumed ? undefined : versions,
      resumes: story.resumedId,
      after_event: story.lastEventId,
      config: story.configVersion,
      config_age_ms: story.configAgeMs,
      waited_ms: story.waitedMs,
      first_byte_ms: story.firstByteMs,
      predicted_first_ms: rounded(work?.prediction.firstEventMs),
      target_first_ms: rounded(work?.firstEventMs),
      predicted_pause_ms: rounded(work?.prediction.pauseMs),
      total_ms: story.totalMs,
    });
  }

  private bucketFor({
    answerSends,
    framing,
    outcome,
  }: RequestTrace): TokenBucket {
    if (outcome.type !== 'served') return this.unservedBucket;
    const isUnusual = answerSends > 1 || framing === FRAMING.close;
    return isUnusual ? this.unusualBucket : this.servedBucket;
  }

  private tryTakeLine(bucket: TokenBucket): boolean {
    if (bucket.take(1)) {
      bucket.settle(1, 1);
      return true;
    }
    this.omittedCount += 1;
    this.metrics.omittedLines.inc();
    return false;
  }
}

function reasonOf(outcome: Outcome): string {
  return 'reason' in outcome ? outcome.reason : '';
}

function rounded(ms: number | undefined): number | undefined {
  return ms === undefined ? undefined : Math.round(ms);
}
