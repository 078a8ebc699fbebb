import {expect} from 'chai';
import {NO_SIGNS} from '../../lib/gateway/target_signs.js';
import {TargetTable} from '../../lib/gateway/target_table.js';
import {ManualClock} from '../../lib/time/manual_clock.js';
import {targetNotice} from './gateway_fixtures.js';

const LEAVES = {...NO_SIGNS, isLeaving: true};

describe('TargetTable: signals of targets', () => {
  let clock: ManualClock;
  let table: TargetTable;

  beforeEach(() => {
    clock = new ManualClock();
    table = new TargetTable(clock);
  });

  it('keeps a process leaving whatever its later registrations say', () => {
    const target = table.put(targetNotice(), true);
    table.noteSigns(target, LEAVES);
    expect(target.isOpen).to.equal(false);
    table.put(targetNotice({slots: 9}), true);
    expect(table.get('t1')?.isOpen).to.equal(false);
  });

  it('keeps it leaving when the target is removed and added again', () => {
    table.noteSigns(table.put(targetNotice(), true), LEAVES);
    table.remove('t1');
    expect(table.put(targetNotice(), true).isOpen).to.equal(false);
  });

  it('keeps it leaving when a peer sends an older state', () => {
    table.noteSigns(table.put(targetNotice(), true), LEAVES);
    table.putBrief(targetNotice());
    expect(table.get('t1')?.isOpen).to.equal(false);
  });

  it('opens the target again with its next process', () => {
    table.noteSigns(table.put(targetNotice(), true), LEAVES);
    const next = table.put(targetNotice({startedMs: 2}), true);
    expect(next.isOpen).to.equal(true);
  });

  it('ignores the registration of an earlier process', () => {
    const next = table.put(targetNotice({startedMs: 2}), true);
    const outdated = table.put(targetNotice({address: '127.0.0.1:9'}), true);
    expect(outdated.isOpen).to.equal(false);
    expect(table.get('t1')).to.equal(next);
    table.remove('t1');
    table.put(targetNotice(), true);
    expect(table.get('t1')).to.equal(undefined);
  });

  it('notifies listeners once, and only of the registered process', () => {
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

  it('backs off from a target for the longest time that it has named', async () => {
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
