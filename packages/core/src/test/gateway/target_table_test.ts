import {expect} from 'chai';
import {NO_SIGNALS} from '../../lib/gateway/target_signals.js';
import {TargetTable} from '../../lib/gateway/target_table.js';
import {ManualClock} from '../../lib/time/manual_clock.js';
import {targetRegistration} from './gateway_fixtures.js';

const LEAVING_SIGNALS = {...NO_SIGNALS, isLeaving: true};

describe('TargetTable: signals of targets', () => {
  let clock: ManualClock;
  let table: TargetTable;

  beforeEach(() => {
    clock = new ManualClock();
    table = new TargetTable(clock);
  });

  it('keeps a process leaving whatever its later registrations say', () => {
    const target = table.put(targetRegistration(), true);
    table.recordSignals(target, LEAVING_SIGNALS);
    expect(target.isOpen).to.equal(false);
    table.put(targetRegistration({slots: 9}), true);
    expect(table.get('t1')?.isOpen).to.equal(false);
  });

  it('keeps it leaving when the target is removed and added again', () => {
    table.recordSignals(table.put(targetRegistration(), true), LEAVING_SIGNALS);
    table.remove('t1');
    expect(table.put(targetRegistration(), true).isOpen).to.equal(false);
  });

  it('keeps it leaving when a peer sends an older state', () => {
    table.recordSignals(table.put(targetRegistration(), true), LEAVING_SIGNALS);
    table.putSummary(targetRegistration());
    expect(table.get('t1')?.isOpen).to.equal(false);
  });

  it('opens the target again with its next process', () => {
    table.recordSignals(table.put(targetRegistration(), true), LEAVING_SIGNALS);
    const next = table.put(targetRegistration({startedMs: 2}), true);
    expect(next.isOpen).to.equal(true);
  });

  it('ignores the registration of an earlier process', () => {
    const next = table.put(targetRegistration({startedMs: 2}), true);
    const outdated = table.put(
      targetRegistration({address: '127.0.0.1:9'}),
      true,
    );
    expect(outdated.isOpen).to.equal(false);
    expect(table.get('t1')).to.equal(next);
    table.remove('t1');
    table.put(targetRegistration(), true);
    expect(table.get('t1')).to.equal(undefined);
  });

  it('notifies listeners once, and only of the registered process', () => {
    const notified: string[] = [];
    table.onLeaving(({registration}) => notified.push(registration.id));
    const target = table.put(targetRegistration(), true);
    const {revision} = table;
    table.recordSignals(target, LEAVING_SIGNALS);
    table.recordSignals(target, LEAVING_SIGNALS);
    table.markLeaving('t1', 0);
    expect(notified).to.deep.equal(['t1']);
    const changes = table.changesSince(revision);
    expect(changes).to.have.lengthOf(1);
    expect(changes[0].registration?.isLeaving).to.equal(true);
  });

  it('backs off from a target for the longest time that it has named', async () => {
    const target = table.put(targetRegistration(), true);
    table.recordSignals(target, {...NO_SIGNALS, backOffMs: 2_000});
    table.recordSignals(target, {...NO_SIGNALS, backOffMs: 500});
    await clock.advance(1_900);
    expect(target.takesRequests).to.equal(false);
    table.remove('t1');
    expect(table.put(targetRegistration(), true).backOffLeftMs).to.equal(100);
    await clock.advance(100);
    expect(table.get('t1')?.takesRequests).to.equal(true);
  });

  it('keeps a limit until an answer to a request names none', () => {
    const target = table.put(targetRegistration({id: 't1'}), true);
    const changes: Array<[number | undefined, boolean]> = [];
    table.onLimitChange(({requestsPerSecond}, isOwn) =>
      changes.push([requestsPerSecond, isOwn]),
    );
    table.recordLimit(target, 3);
    table.recordLimit(target, 3);
    // The answer to an order.
    table.recordSignals(target, NO_SIGNALS);
    expect(target.requestsPerSecond).to.equal(3);
    const {startedMs} = target.registration;
    const limit = {perSecond: 9, namedMs: clock.now() - 1};
    table.applyLimit('t1', startedMs, limit);
    expect(target.requestsPerSecond).to.equal(3);
    table.applyLimit('t1', startedMs, {...limit, namedMs: clock.now()});
    expect(target.requestsPerSecond).to.equal(9);
    table.recordLimit(target, undefined);
    expect(changes).to.deep.equal([
      [3, true],
      [9, false],
      [undefined, true],
    ]);
  });

  it('forgets the limit of an earlier process', () => {
    const old = targetRegistration({id: 't1', startedMs: 1_000});
    table.recordLimit(table.put(old, true), 3);
    const next = table.put({...old, startedMs: 2_000}, true);
    expect(next.requestsPerSecond).to.equal(undefined);
    table.applyLimit('t1', 1_000, {perSecond: 3, namedMs: clock.now() + 1});
    expect(next.requestsPerSecond).to.equal(undefined);
  });

  it('counts the load of a limited target by what its limit lets it run', () => {
    const target = table.put(targetRegistration({id: 't1', slots: 8}), true);
    target.beginRequest(undefined);
    expect(target.load).to.equal(1 / 8);
    table.recordLimit(target, 2);
    expect(target.load).to.be.above(0.25);
    table.recordLimit(target, undefined);
    expect(target.load).to.equal(1 / 8);
  });
});

describe('TargetTable: targets that hold a model', () => {
  it('returns no outdated holders after any change of what targets hold', () => {
    const table = new TargetTable(new ManualClock());
    const held = [{model: 'm', adapters: ['a']}];
    const demand = {model: 'm', adapter: undefined};
    const withAdapter = {model: 'm', adapter: 'b'};
    const service = targetRegistration().service;
    const idsOf = (wanted: typeof demand | typeof withAdapter) =>
      table.holding(service, wanted).map(({registration}) => registration.id);
    const target = table.put(targetRegistration({id: 't1', held}), true);
    expect(idsOf(demand)).to.deep.equal(['t1']);
    expect(idsOf(withAdapter)).to.deep.equal([]);
    target.addHeld(withAdapter);
    expect(idsOf(withAdapter)).to.deep.equal(['t1']);
    target.dropHeld(withAdapter);
    expect(idsOf(withAdapter)).to.deep.equal([]);
    table.put(targetRegistration({id: 't2', held}), true);
    expect(idsOf(demand)).to.deep.equal(['t1', 't2']);
    target.replaceHeld([]);
    expect(idsOf(demand)).to.deep.equal(['t2']);
    table.remove('t2');
    expect(idsOf(demand)).to.deep.equal([]);
    target.replaceHeld([['m', []]]);
    table.put(targetRegistration({id: 't1', startedMs: 2}), true);
    expect(idsOf(demand)).to.deep.equal([]);
  });

  // Guards against targets that keep no version after a cut was taken for their
  // end.
  it('forgets the end of a process that stays registered', async () => {
    const lifetimeMs = 5_000;
    const clock = new ManualClock();
    const table = new TargetTable(clock, undefined, undefined, lifetimeMs);
    const target = table.put(targetRegistration({id: 't1'}), true);
    const list = async (forMs: number) => {
      for (let ms = 0; ms < forMs; ms += 500) {
        await clock.advance(500);
        table.recordListed(clock.now());
      }
    };
    await list(1_000);
    table.markEnded('t1', target.registration.startedMs);
    await list(4_000);
    expect(target.hasEnded).to.equal(true);
    // While no list can be read, another process may have started.
    await clock.advance(20_000);
    await list(4_000);
    expect(target.hasEnded).to.equal(true);
    await list(2_000);
    expect(target.hasEnded).to.equal(false);
  });
});
