import {expect} from 'chai';
import {GatewayMetrics} from '../../lib/gateway/gateway_metrics.js';
import {LoggingTurnObserver} from '../../lib/gateway/logging_turn_observer.js';
import {TURN_END} from '../../lib/gateway/turn_observer.js';
import {LogFields, SilentLogger} from '../../lib/telemetry/logger.js';
import {ManualClock} from '../../lib/time/manual_clock.js';

class RecordingLogger extends SilentLogger {
  readonly lines: Array<LogFields | undefined> = [];

  override info(unusedEvent: string, fields?: LogFields): void {
    this.lines.push(fields);
  }
}

describe('LoggingTurnObserver', () => {
  it('bounds its lines, counts the rest, and measures every wait', async () => {
    const clock = new ManualClock();
    const logger = new RecordingLogger();
    const metrics = new GatewayMetrics();
    const observer = new LoggingTurnObserver(clock, logger, metrics);
    const {late: end} = TURN_END;
    const turn = {team: 't', tokens: 5, end, waitedMs: 20, turnInMs: 900};
    for (let i = 0; i < 100; i++) observer.turnEnded({...turn, isLocal: false});
    expect(logger.lines).to.have.lengthOf(30);
    await clock.advance(1_000);
    observer.turnEnded({...turn, isLocal: true});
    expect(logger.lines.at(-1)).to.include({lender: 'none', omitted: 70});
    metrics.waitingTokens = () => new Map([['t', 7]]);
    const text = await metrics.registry.metrics();
    expect(text).to.include('rate_wait_seconds_count{end="late"} 101');
    expect(text).to.include('rate_waiting_tokens{team="t"} 7');
  });
});
