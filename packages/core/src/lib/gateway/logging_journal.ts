/** Reports requests as log lines and metrics. @packageDocumentation */

import {Outcome} from '../requests/outcome.js';
import {TokenBucket} from '../limits/token_bucket.js';
import {Logger} from '../telemetry/logger.js';
import {Clock} from '../time/clock.js';
import {GatewayMetrics} from './gateway_metrics.js';
import {RelayJournal, RequestStory} from './relay_journal.js';

/**
 * Rate limits of log lines for unserved and served requests, lines per second.
 */
const UNSERVED_LINES = {rate: 100, burst: 300};
const SERVED_LINES = {rate: 20, burst: 60};

const OMITTED_INTERVAL_MS = 5_000;

/**
 * Writes one log line for each request that ends. Unserved and served requests
 * have separate rate limits, so that many served requests cannot displace
 * unserved ones. The number of omitted lines is logged as well.
 */
export class LoggingJournal extends RelayJournal {
  private readonly unserved: TokenBucket;
  private readonly served: TokenBucket;
  private omitted = 0;

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
    this.unserved = new TokenBucket(
      clock,
      UNSERVED_LINES,
      UNSERVED_LINES.burst,
    );
    this.served = new TokenBucket(clock, SERVED_LINES, SERVED_LINES.burst);
  }

  /**
   * Logs the number of omitted lines periodically.
   *
   * @param clock - schedules the reports.
   * @param signal - ends the task.
   */
  async run(clock: Clock, signal: AbortSignal): Promise<void> {
    await clock.every(OMITTED_INTERVAL_MS, signal, () => {
      if (this.omitted === 0) return;
      this.logger.info('request_lines_omitted', {count: this.omitted});
      this.omitted = 0;
    });
  }

  override sendAnswered(target: string): void {
    this.metrics.noteSend(target, 'answered');
  }

  override sendEnded(
    id: string,
    target: string,
    end: string,
    detail: string,
  ): void {
    this.metrics.sends.inc({end, detail});
    this.metrics.noteSend(target, end);
    if (!this.grant(this.unserved)) return;
    this.logger.info('send_ended', {id, target, end, detail});
  }

  override targetAvoided(target: string, forMs: number): void {
    if (!this.grant(this.unserved)) return;
    this.logger.info('target_avoided', {target, for_ms: forMs});
  }

  override targetQuiet(target: string, forMs: number): void {
    if (!this.grant(this.unserved)) return;
    this.logger.info('target_quiet', {target, for_ms: forMs});
  }

  override ended(story: RequestStory): void {
    const {outcome, kind = 'none'} = story;
    const reason = reasonOf(outcome);
    this.metrics.requests.inc({kind, outcome: outcome.type, reason});
    this.metrics.duration.observe(
      {kind, outcome: outcome.type},
      story.totalMs / 1_000,
    );
    if (story.firstByteMs !== undefined) {
      this.metrics.firstByte.observe({kind}, story.firstByteMs / 1_000);
    }
    const bucket = outcome.type === 'served' ? this.served : this.unserved;
    if (!this.grant(bucket)) return;
    this.logger.info('request', {
      id: story.id,
      outcome: outcome.type,
      reason: reason === '' ? undefined : reason,
      detail: 'message' in outcome ? outcome.message : undefined,
      retry_after_ms:
        'retryAfterMs' in outcome ? outcome.retryAfterMs : undefined,
      status: story.status,
      route: story.route,
      kind: story.kind,
      team: story.team,
      service: story.service,
      model: story.model,
      targets: story.targets.length > 0 ? story.targets.join(',') : undefined,
      config: story.configVersion,
      config_age_ms: story.configAgeMs,
      waited_ms: story.waitedMs,
      first_byte_ms: story.firstByteMs,
      total_ms: story.totalMs,
    });
  }

  private grant(bucket: TokenBucket): boolean {
    if (bucket.take(1)) {
      bucket.settle(1, 1);
      return true;
    }
    this.omitted += 1;
    this.metrics.omittedLines.inc();
    return false;
  }
}

function reasonOf(outcome: Outcome): string {
  return 'reason' in outcome ? outcome.reason : '';
}
