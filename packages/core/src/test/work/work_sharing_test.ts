import {expect} from 'chai';
import {TargetTable} from '../../lib/gateway/target_table.js';
import {ManualClock} from '../../lib/time/manual_clock.js';
import {SentWork} from '../../lib/work/sent_work.js';
import {ServiceWork} from '../../lib/work/service_work.js';
import {decodeWork} from '../../lib/work/work_messages.js';
import {WorkReports} from '../../lib/work/work_reports.js';
import {WorkTable} from '../../lib/work/work_table.js';
import {FleetWorld} from '../residency/fleet_world.js';
import {KV_TOKENS, engineTarget} from './work_fixtures.js';

const SIZE = {promptTokens: 640, memoryTokens: 1_280};

function reportingHost(clock: ManualClock) {
  const table = new TargetTable(clock);
  const target = table.put(engineTarget('t0'), true);
  const service = new ServiceWork(KV_TOKENS);
  const send = () => new SentWork(clock, target, service, SIZE, true);
  return {table, target, send, reports: new WorkReports(clock, table)};
}

describe('shared work', () => {
  it('reaches all hosts through the lease holder, and ends there with it', async () => {
    const world = new FleetWorld(3, 2);
    await world.run(2_000);
    const {clock, hosts, holder} = world;
    const other = (holder + 1) % hosts.length;
    const [sender, receiver] = [hosts[other], hosts[(other + 1) % 3]];
    const target = sender.targets.get('e0')!;
    const service = new ServiceWork(KV_TOKENS);
    const sent = Array.from(
      {length: 4},
      () => new SentWork(clock, target, service, SIZE, true),
    );
    await world.run(800);
    const known = receiver.targets.get('e0')!.work;
    expect(known.requests).to.equal(4);
    expect(known.prefillTokens).to.equal(4 * SIZE.promptTokens);
    expect(known.memoryTokens).to.equal(4 * SIZE.memoryTokens);
    expect(target.work.requests).to.equal(4);
    for (const run of sent) run.end(false);
    await world.run(1_000);
    expect(known.requests).to.equal(0);
  });

  it('lets hosts go on with their own counts when the lease holder is lost', async () => {
    const world = new FleetWorld(3, 1);
    await world.run(2_000);
    const {clock, hosts, holder} = world;
    const host = hosts[(holder + 1) % hosts.length];
    const target = host.targets.get('e0')!;
    target.work.setPublished(
      {waiting: 0, running: 7, prefillTokens: 0, memoryTokens: 700},
      1,
    );
    new SentWork(clock, target, new ServiceWork(KV_TOKENS), SIZE, true);
    world.kill(holder);
    expect(target.work.requests).to.equal(8);
    await world.run(1_000);
    expect(target.work.requests).to.equal(1);
  });

  it('sends changed targets only, and an entry for those without work now', async () => {
    const clock = new ManualClock();
    const {reports, send} = reportingHost(clock);
    const run = send();
    expect(reports.take(true)).to.have.property('isFull', true);
    expect(reports.take(false)?.entries).to.deep.equal([]);
    run.end(false);
    const {entries, isFull} = reports.take(false)!;
    expect(isFull).to.equal(false);
    expect(decodeWork(entries[0]).sums.waiting).to.equal(0);
    await clock.advance(10);
    expect(reports.take(false)).to.equal(undefined);
  });

  it('drops the work of a process that was replaced, and of a host that is lost', () => {
    const clock = new ManualClock();
    const {reports, send, table} = reportingHost(clock);
    const sums = new WorkTable();
    send();
    sums.report('h1', reports.take(true)!);
    expect(sums.get('t0')?.sums.waiting).to.equal(1);
    table.put({...engineTarget('t0'), startedMs: 2}, true);
    sums.report('h1', reports.take(false)!);
    expect(sums.get('t0')).to.equal(undefined);
    const other = reportingHost(clock);
    other.send();
    sums.report('h2', other.reports.take(true)!);
    sums.remove('h2');
    expect(sums.get('t0')).to.equal(undefined);
  });
});
