/** Reports requests over the rates of their teams. @packageDocumentation */

import {TokenBucket} from '../limits/token_bucket.js';
import {Logger} from '../telemetry/logger.js';
import {Clock} from '../time/clock.js';
import {GatewayMetrics} from './gateway_metrics.js';
import {EndedTurn, TurnObserver} from './turn_observer.js';

/** Limit of log lines per second. */
const LINE_LIMIT = {rate: 10, burst: 30};

const MS_PER_SECOND = 1_000;

/** Logs and counts the waits for tokens. */
export class LoggingTurnObserver extends TurnObserver {
  private readonly lines: TokenBucket;
  private omittedCount = 0;

  /**
   * @param clock - measures the rate of lines.
   * @param logger - receives the lines.
   * @param metrics - counts every wait.
   */
  constructor(
    clock: Clock,
    private readonly logger: Logger,
    private readonly metrics: GatewayMetrics,
  ) {
    super();
    this.lines = new TokenBucket(clock, LINE_LIMIT, LINE_LIMIT.burst);
  }

  override turnEnded(turn: EndedTurn): void {
    const {team, tokens, end, waitedMs, turnInMs, isLocal} = turn;
    this.metrics.rateWait.observe({end}, waitedMs / MS_PER_SECOND);
    if (!this.lines.take(1)) {
      this.omittedCount += 1;
      return;
    }
    this.lines.settle(1, 1);
    this.logger.info('rate_turn', {
      team,
      tokens,
      end,
      waited_ms: Math.round(waitedMs),
      turn_in_ms: Math.ceil(turnInMs),
      lender: isLocal ? 'none' : 'reached',
      omitted: this.omittedCount > 0 ? this.omittedCount : undefined,
    });
    this.omittedCount = 0;
  }
}
