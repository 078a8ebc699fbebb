import {expect} from 'chai';
import {Logger} from '../../lib/telemetry/logger.js';
import {LoopHoldLog} from '../../lib/telemetry/loop_hold_log.js';

class RecordingLogger extends Logger {
  readonly held: unknown[] = [];

  override log(
    unusedLevel: string,
    unusedEvent: string,
    fields: {held_ms?: number} = {},
  ): void {
    this.held.push(fields.held_ms);
  }
}

describe('LoopHoldLog', () => {
  it('writes a line a second about late timers only', () => {
    let nowMs = 0;
    const logger = new RecordingLogger();
    const log = new LoopHoldLog(() => nowMs, logger);
    for (const lateMs of [3, 199, 250.4, 260]) log.recordTimer(lateMs);
    nowMs = 1_500;
    log.recordTimer(700);
    expect(logger.held).to.deep.equal([250, 700]);
  });
});
