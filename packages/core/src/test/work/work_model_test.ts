import {expect} from 'chai';
import {chooseTarget} from '../../lib/gateway/target_choice.js';
import {TargetTable} from '../../lib/gateway/target_table.js';
import {ManualClock} from '../../lib/time/manual_clock.js';
import {Random} from '../../lib/time/random.js';
import {ENGINE_SERVICE, PLAIN_SERVICE} from '../gateway/gateway_fixtures.js';
import {KV_TOKENS, SLOTS, engineTarget, workModel} from './work_fixtures.js';

function world(zones: string[]) {
  const clock = new ManualClock();
  const table = new TargetTable(clock);
  zones.forEach((zone, i) => table.put(engineTarget(`t${i}`, zone), true));
  const model = workModel(clock);
  const service = model.ofService(ENGINE_SERVICE)!;
  const size = {promptTokens: 1_000, memoryTokens: 1_200};
  const work = {service, size, objectiveMs: 400};
  const targets = table.ofService(ENGINE_SERVICE);
  const choose = (draw: number) =>
    chooseTarget(targets, {zone: 'a', tried: new Set(), draw, work});
  return {clock, table, model, work, targets, choose};
}

describe('WorkModel', () => {
  it('leaves out services without a token capacity', () => {
    expect(workModel(new ManualClock()).ofService(PLAIN_SERVICE)).to.equal(
      undefined,
    );
  });

  it('prefers near targets among idle ones of equal pace, as without a model', () => {
    const {choose} = world(['b', 'a', 'c', 'a']);
    const random = new Random(1);
    const chosen = new Set<string>();
    for (let i = 0; i < 50; i++)
      chosen.add(choose(random.float())!.registration.id);
    expect([...chosen].sort()).to.deep.equal(['t1', 't3']);
  });

  it('predicts a later first event at a slow target and behind prompts', () => {
    const {model, targets, work} = world(['a', 'a', 'a']);
    for (let i = 0; i < 5; i++) targets[1].work.pace.record(2.5);
    const long = {promptTokens: 8_000, memoryTokens: 8_000};
    model.begin(targets[2], {...work, size: long}, true);
    const [idle, slow, busy] = targets.map(target =>
      model.predict(target, work),
    );
    expect(slow.firstEventMs).to.be.closeTo(2.5 * idle.firstEventMs, 1);
    expect(slow.pauseMs).to.be.closeTo(2.5 * idle.pauseMs, 1);
    expect(busy.firstEventMs - idle.firstEventMs).to.be.closeTo(200, 1);
  });

  it('never chooses a target whose memory is used up', () => {
    const {choose, model, targets, work} = world(['a', 'b']);
    const large = {promptTokens: 100, memoryTokens: KV_TOKENS - 500};
    const sent = model.begin(targets[0], {...work, size: large}, true);
    expect(choose(0.5)!.registration.id).to.equal('t1');
    model.begin(targets[1], {...work, size: large}, true);
    expect(choose(0.5)).to.equal(undefined);
    sent.end(true);
    expect(choose(0.5)!.registration.id).to.equal('t0');
  });

  it('forgets the work and the pace of a process that was replaced', () => {
    const {model, table, targets, work} = world(['a']);
    for (let i = 0; i < 5; i++) targets[0].work.pace.record(3);
    model.begin(targets[0], work, true);
    table.put({...engineTarget('t0'), startedMs: 2}, true);
    const [target] = table.ofService(ENGINE_SERVICE);
    expect(target.work.requests).to.equal(0);
    expect(target.work.pace.factor).to.equal(1);
  });

  it('uses published work for a second, then what this host knows', async () => {
    const {clock, model, targets, work} = world(['a']);
    const target = targets[0];
    model.begin(target, work, true);
    target.work.recordReported();
    const sums = {
      waiting: 1,
      running: SLOTS,
      prefillTokens: 1_000,
      memoryTokens: 20_000,
    };
    model.applyPublished(target, {sums, pace: {log: 0, count: 0}});
    model.begin(target, work, true);
    expect(target.work.requests).to.equal(SLOTS + 2);
    await clock.advance(1_000);
    expect(target.work.requests).to.equal(2);
  });
});
