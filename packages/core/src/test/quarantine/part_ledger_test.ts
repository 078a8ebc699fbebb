import {expect} from 'chai';
import {PartLedger} from '../../lib/quarantine/part_ledger.js';
import {STANDING} from '../../lib/quarantine/part_record.js';
import {RunAtEnd} from '../../lib/quarantine/target_end.js';
import {SilentLogger} from '../../lib/telemetry/logger.js';
import {ManualClock} from '../../lib/time/manual_clock.js';

const SHARED = 'shared';
const CRASHING = 'crashing';

/** A ledger with shorthands for evidence. */
class LedgerWorld {
  readonly clock = new ManualClock();
  readonly ledger = new PartLedger(this.clock, new SilentLogger());
  private processes = 0;

  /** Ends a new process under the given runs. */
  end(...runs: Array<Partial<RunAtEnd>>): void {
    this.endOf(`t${++this.processes}`, ...runs);
  }

  /** Reports runs that ended with a certain target. */
  endOf(target: string, ...runs: Array<Partial<RunAtEnd>>): void {
    this.ledger.recordEnd({
      target,
      startedMs: 1,
      runs: runs.map((run, i) => ({
        id: `${target}-${i}`,
        parts: [],
        hasBegun: true,
        tried: [],
        ...run,
      })),
    });
  }

  answer(part: string): void {
    this.ledger.recordAnswer(part, 0, true);
  }

  /** Ends a process under the trial of a part. */
  failTrial(...parts: string[]): void {
    const trial = {requestId: 'trial', parts, target: 'tt'};
    const tried = this.ledger.tryStartTrial(trial);
    expect(tried).to.have.members(parts);
    this.end({id: 'trial', parts, tried});
    this.ledger.endTrial(trial);
  }

  standing(part: string): string {
    return this.ledger.standingOf(part);
  }
}

describe('PartLedger', () => {
  let world: LedgerWorld;

  beforeEach(() => {
    world = new LedgerWorld();
  });

  it('suspects the parts of the run that had just begun, not of those that waited', async () => {
    world.end({parts: [CRASHING]}, {parts: ['innocent'], hasBegun: false});
    await world.clock.advance(1_000);
    expect(world.standing(CRASHING)).to.equal(STANDING.suspect);
    expect(world.standing('innocent')).to.equal(STANDING.clear);
  });

  it('suspects waiting runs only once no host has reported a begun one', async () => {
    world.endOf('t1', {parts: ['waiting'], hasBegun: false});
    expect(world.standing('waiting')).to.equal(STANDING.clear);
    await world.clock.advance(500);
    expect(world.standing('waiting')).to.equal(STANDING.suspect);
    world.endOf('t1', {parts: [CRASHING]});
    expect(world.standing('waiting')).to.equal(STANDING.clear);
    expect(world.standing(CRASHING)).to.equal(STANDING.suspect);
  });

  it('clears a part once an answer that began later proves it sound', async () => {
    world.end({parts: [SHARED, CRASHING]});
    await world.clock.advance(50);
    world.answer(SHARED);
    expect(world.standing(SHARED)).to.equal(STANDING.clear);
    expect(world.standing(CRASHING)).to.equal(STANDING.suspect);
  });

  it('does not accept an answer that began before the end as proof', async () => {
    await world.clock.advance(500);
    world.end({parts: [CRASHING]});
    await world.clock.advance(100);
    world.ledger.recordAnswer(CRASHING, 150, true);
    world.end({parts: [CRASHING]});
    await world.clock.advance(600);
    world.end({parts: [CRASHING]});
    expect(world.standing(CRASHING)).to.equal(STANDING.suspect);
  });

  it('does not restrict a part that was answered shortly before the end', async () => {
    await world.clock.advance(500);
    world.end({parts: [SHARED]});
    world.ledger.recordAnswer(SHARED, 200, true);
    expect(world.standing(SHARED)).to.equal(STANDING.watched);
  });

  it('suspects a formerly sound part after a second end without an answer', async () => {
    await world.clock.advance(500);
    world.end({parts: [SHARED]});
    world.ledger.recordAnswer(SHARED, 200, true);
    await world.clock.advance(700);
    world.end({parts: [SHARED]});
    expect(world.standing(SHARED)).to.equal(STANDING.suspect);
  });

  it('counts targets that end at the same moment once', async () => {
    await world.clock.advance(500);
    world.end({parts: [SHARED, 'a']});
    world.ledger.recordAnswer(SHARED, 200, true);
    for (const own of ['b', 'c', 'd', 'e']) {
      await world.clock.advance(20);
      world.end({parts: [SHARED, own]});
    }
    expect(world.standing(SHARED)).to.equal(STANDING.watched);
  });

  it('quarantines a part after an end in its trial', () => {
    world.end({parts: [CRASHING]});
    world.failTrial(CRASHING);
    expect(world.standing(CRASHING)).to.equal(STANDING.quarantined);
    expect(world.ledger.quarantineLeftMs(CRASHING)).to.be.above(10_000);
  });

  it('quarantines one of several suspect parts: the one with most ends', async () => {
    world.end({parts: [CRASHING, 'a']});
    await world.clock.advance(700);
    world.end({parts: [CRASHING, 'b']});
    world.failTrial(CRASHING, 'b');
    expect(world.standing(CRASHING)).to.equal(STANDING.quarantined);
    expect(world.standing('b')).to.equal(STANDING.suspect);
  });

  it('starts one trial of a part, and one trial at a target, at a time', () => {
    world.end({parts: ['a']}, {parts: ['b']});
    const start = (requestId: string, part: string, target: string) =>
      world.ledger.tryStartTrial({requestId, parts: [part], target});
    expect(start('r1', 'a', 't8')).to.deep.equal(['a']);
    expect(start('r2', 'a', 't9')).to.equal(undefined);
    expect(start('r2', 'b', 't8')).to.equal(undefined);
    expect(start('r2', 'b', 't9')).to.deep.equal(['b']);
    world.ledger.endTrial({requestId: 'r1', parts: ['a'], target: 't8'});
    expect(start('r3', 'a', 't8')).to.deep.equal(['a']);
  });

  it('starts another trial if the result of one never arrives', async () => {
    world.end({parts: ['a']});
    const parts = ['a'];
    world.ledger.tryStartTrial({requestId: 'r1', parts, target: 't8'});
    await world.clock.advance(6_000);
    const next = {requestId: 'r2', parts, target: 't8'};
    expect(world.ledger.tryStartTrial(next)).to.deep.equal(parts);
  });

  it('accuses no other part of an end under a quarantined one', () => {
    world.end({parts: [CRASHING]});
    world.failTrial(CRASHING);
    world.end({parts: [SHARED, CRASHING]}, {parts: ['innocent']});
    expect(world.standing(SHARED)).to.equal(STANDING.clear);
    expect(world.standing('innocent')).to.equal(STANDING.clear);
  });

  it('accuses no other part of an end in a trial', () => {
    world.end({parts: [CRASHING]});
    world.endOf('t9', {parts: ['innocent', SHARED]});
    const trial = {requestId: 'r', parts: [SHARED, CRASHING], target: 't9'};
    world.answer(SHARED);
    const tried = world.ledger.tryStartTrial(trial);
    world.endOf('t9', {parts: trial.parts, tried});
    expect(world.standing(CRASHING)).to.equal(STANDING.quarantined);
    expect(world.standing('innocent')).to.equal(STANDING.clear);
    expect(world.standing(SHARED)).to.equal(STANDING.clear);
  });

  it('quarantines no part that only became suspect during the trial', async () => {
    world.end({parts: [CRASHING]});
    const trial = {requestId: 'r', parts: [SHARED, CRASHING], target: 't9'};
    const tried = world.ledger.tryStartTrial(trial);
    await world.clock.advance(10);
    world.answer(CRASHING);
    await world.clock.advance(10);
    world.end({parts: trial.parts, tried});
    expect(world.standing(SHARED)).to.equal(STANDING.suspect);
    expect(world.standing(CRASHING)).to.equal(STANDING.suspect);
  });

  it('starts no trial of a request with a quarantined part', () => {
    world.end({parts: [CRASHING]}, {parts: ['other']});
    world.failTrial(CRASHING);
    const parts = ['other', CRASHING];
    const trial = {requestId: 'r', parts, target: 't9'};
    expect(world.ledger.tryStartTrial(trial)).to.equal(undefined);
  });

  it('frees a quarantined part by a trial, or doubles its quarantine', async () => {
    world.end({parts: [CRASHING]});
    world.failTrial(CRASHING);
    const firstMs = world.ledger.quarantineLeftMs(CRASHING);
    await world.clock.advance(firstMs);
    expect(world.standing(CRASHING)).to.equal(STANDING.suspect);
    world.failTrial(CRASHING);
    const secondMs = world.ledger.quarantineLeftMs(CRASHING);
    expect(secondMs).to.equal(2 * firstMs);
    await world.clock.advance(secondMs);
    world.answer(CRASHING);
    expect(world.standing(CRASHING)).to.equal(STANDING.clear);
  });

  it('keeps a bounded number of parts, and quarantined ones longest', async () => {
    world.end({parts: [CRASHING]});
    world.failTrial(CRASHING);
    for (let i = 0; i < 3_000; i++) world.end({parts: [`p${i}`]});
    expect(world.ledger.size).to.be.at.most(1_000);
    expect(world.standing(CRASHING)).to.equal(STANDING.quarantined);
    await world.clock.advance(700_000);
    world.ledger.prune();
    expect(world.ledger.size).to.equal(0);
  });

  it('applies the decisions of another host', async () => {
    world.end({parts: [CRASHING]});
    world.failTrial(CRASHING);
    const copy = new PartLedger(world.clock, new SilentLogger());
    const quarantined: string[] = [];
    copy.onQuarantined(part => quarantined.push(part));
    copy.applyDecisions(world.ledger.states(), true);
    expect(copy.standingOf(CRASHING)).to.equal(STANDING.quarantined);
    expect(quarantined).to.deep.equal([CRASHING]);
    copy.applyDecisions([], true);
    expect(copy.standingOf(CRASHING)).to.equal(STANDING.clear);
  });

  it('loses no quarantine when it merges the evidence of another host', () => {
    world.end({parts: [CRASHING]});
    world.failTrial(CRASHING);
    const weaker = {
      part: CRASHING,
      ends: 1,
      endAgoMs: 10,
      quarantineLeftMs: 0,
      quarantineCount: 0,
      targets: [],
    };
    world.ledger.mergeEvidence([weaker, {...weaker, part: 'other'}]);
    expect(world.standing(CRASHING)).to.equal(STANDING.quarantined);
    expect(world.standing('other')).to.equal(STANDING.suspect);
  });
});
