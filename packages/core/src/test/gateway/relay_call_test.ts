import {expect} from 'chai';
import {FRAMING} from '../../lib/gateway/answer_framing.js';
import {RelayCall} from '../../lib/gateway/relay_call.js';
import {Clock, Timer} from '../../lib/time/clock.js';
import {ManualClock} from '../../lib/time/manual_clock.js';
import {routeRule} from './gateway_fixtures.js';
import {FakeCaller} from './relay_fixtures.js';

const LIMIT_MS = 1_000;

const HEAD = {status: 200, isEventStream: false, framing: FRAMING.length};

/** Clock whose timers a test fires at any time after they are due. */
class LateClock extends Clock {
  nowMs = 0;
  private dueMs = Infinity;
  private callback = () => {};

  override now(): number {
    return this.nowMs;
  }

  override epochNow(): number {
    return this.nowMs;
  }

  override after(delayMs: number, callback: () => void): Timer {
    this.dueMs = this.nowMs + delayMs;
    this.callback = callback;
    return {cancel: () => (this.dueMs = Infinity)};
  }

  /** Fires the last timer if it is due. */
  fireAt(nowMs: number): void {
    this.nowMs = nowMs;
    if (nowMs >= this.dueMs) this.callback();
  }
}

function newCall(clock: Clock): RelayCall<FakeCaller> {
  const caller = new FakeCaller(new ManualClock());
  return new RelayCall(clock, caller, routeRule(), undefined, LIMIT_MS);
}

describe('RelayCall', () => {
  it('ends a request without an answer before its limit', () => {
    const clock = new LateClock();
    const call = newCall(clock);
    clock.fireAt(980);
    expect(call.signal.aborted).to.equal(false);
    clock.fireAt(LIMIT_MS - 10);
    expect(call.signal.aborted).to.equal(true);
  });

  it('does not end an answer under way before the limit of its request', () => {
    const clock = new LateClock();
    const call = newCall(clock);
    call.answer.open(HEAD);
    for (const nowMs of [990, LIMIT_MS]) clock.fireAt(nowMs);
    expect(call.signal.aborted).to.equal(false);
    clock.fireAt(LIMIT_MS + 10);
    expect(call.signal.aborted).to.equal(true);
  });

  for (const isHeadSent of [false, true]) {
    const state = isHeadSent ? 'with' : 'without';
    it(`does not end a request ${state} a head before a host that was held up has read its answer`, () => {
      const clock = new LateClock();
      const call = newCall(clock);
      if (isHeadSent) call.answer.open(HEAD);
      for (const heldMs of [400, 401]) clock.fireAt(LIMIT_MS + heldMs);
      expect(call.signal.aborted).to.equal(false);
      clock.fireAt(LIMIT_MS + 420);
      expect(call.signal.aborted).to.equal(true);
    });
  }
});
