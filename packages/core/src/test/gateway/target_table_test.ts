import {expect} from 'chai';
import {NO_SIGNS} from '../../lib/gateway/target_signs.js';
import {TargetTable} from '../../lib/gateway/target_table.js';
import {ManualClock} from '../../lib/time/manual_clock.js';
import {targetNotice} from './gateway_fixtures.js';

const LEAVES = {...NO_SIGNS, isLeaving: true};

describe('TargetTable: what targets say of themselves', () => {
  let clock: ManualClock;
  let table: TargetTable;

  beforeEach(() => {
    clock = new ManualClock();
    table = new TargetTable(clock);
  });

  it('keeps that a process leaves, whatever its notices say later', () => {
    const target = table.put(targetNotice(), true);
    table.noteSigns(target, LEAVES);
    expect(target.isOpen).to.equal(false);
    table.put(targetNotice({slots: 9}), true);
    expect(table.get('t1')?.isOpen).to.equal(false);
  });

  it('keeps it while the target is off the list and back', () => {
    table.noteSigns(table.put(targetNotice(), true), LEAVES);
    table.remove('t1');
    expect(table.put(targetNotice(), true).isOpen).to.equal(false);
  });

  it('keeps it against what a peer knew earlier', () => {
    table.noteSigns(table.put(targetNotice(), true), LEAVES);
    table.putBrief(targetNotice());
    expect(table.get('t1')?.isOpen).to.equal(false);
  });

  it('ends it with the next process of the target', () => {
    table.noteSigns(table.put(targetNotice(), true), LEAVES);
    const next = table.put(targetNotice({startedMs: 2}), true);
    expect(next.isOpen).to.equal(true);
  });

  it('does not go back to an earlier process', () => {
    const next = table.put(targetNotice({startedMs: 2}), true);
    const outdated = table.put(targetNotice({address: '127.0.0.1:9'}), true);
    expect(outdated.isOpen).to.equal(false);
    expect(table.get('t1')).to.equal(next);
    table.remove('t1');
    table.put(targetNotice(), true);
    expect(table.get('t1')).to.equal(undefined);
  });

  it('tells others of it once, and only of the process that is listed', () => {
    const told: string[] = [];
    table.onLeaving(({notice}) => told.push(notice.id));
    const target = table.put(targetNotice(), true);
    const {revision} = table;
    table.noteSigns(target, LEAVES);
    table.noteSigns(target, LEAVES);
    table.noteLeaving('t1', 0);
    expect(told).to.deep.equal(['t1']);
    const changes = table.changedSince(revision);
    expect(changes).to.have.lengthOf(1);
    expect(changes[0].notice?.isLeaving).to.equal(true);
  });

  it('leaves a target alone for as long as it has named, and no longer', async () => {
    const target = table.put(targetNotice(), true);
    table.noteSigns(target, {isLeaving: false, quietMs: 2_000});
    table.noteSigns(target, {isLeaving: false, quietMs: 500});
    await clock.advance(1_900);
    expect(target.takesRequests).to.equal(false);
    table.remove('t1');
    expect(table.put(targetNotice(), true).quietLeftMs).to.equal(100);
    await clock.advance(100);
    expect(table.get('t1')?.takesRequests).to.equal(true);
  });
});
