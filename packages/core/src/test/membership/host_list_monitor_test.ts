import {expect} from 'chai';
import {Result, err, ok} from 'neverthrow';
import {
  HOST_LIST_LAG_MS,
  HostList,
  HostListMonitor,
  ListedHost,
  ManualClock,
} from '../../index.js';
import {FakeZone} from './zone_fakes.js';

const POLLS_MS = 12_000;

class FakeHostList extends HostList {
  hosts: ListedHost[] = [];
  isDown = false;

  override fetch(): Promise<Result<ListedHost[], string>> {
    return Promise.resolve(this.isDown ? err('down') : ok(this.hosts));
  }
}

describe('HostListMonitor', () => {
  let zone: FakeZone;
  let list: FakeHostList;
  let clock: ManualClock;
  let monitor: HostListMonitor;
  let isLinked: boolean;
  const lifetime = new AbortController();

  beforeEach(async () => {
    zone = new FakeZone();
    zone.start('h1');
    zone.start('h2');
    await zone.advance(3_000, () => {});
    list = new FakeHostList();
    clock = new ManualClock();
    isLinked = false;
    monitor = new HostListMonitor({
      list,
      clock,
      members: zone.hosts.get('h1')!.membership.members,
      isController: () => false,
      isLinked: () => isLinked,
    });
    void monitor.run(lifetime.signal);
  });

  after(() => lifetime.abort());

  it('reports a host as gone after it was missing for the list lag', async () => {
    await clock.advance(HOST_LIST_LAG_MS - POLLS_MS);
    expect(monitor.isGone('h2')).to.equal(false);
    await clock.advance(2 * POLLS_MS);
    expect(monitor.isGone('h2')).to.equal(true);
  });

  it('reports no host as gone that has a live link', async () => {
    isLinked = true;
    await clock.advance(HOST_LIST_LAG_MS + POLLS_MS);
    expect(monitor.isGone('h2')).to.equal(false);
  });

  it('tracks the absence of each incarnation separately', async () => {
    await clock.advance(HOST_LIST_LAG_MS + POLLS_MS);
    zone.start('h2');
    await zone.advance(3_000, () => {});
    expect(monitor.isGone('h2')).to.equal(false);
  });

  it('does not count outages of the list as absence', async () => {
    list.hosts = [{name: 'h2', zone: 'a', state: 'live'}];
    await clock.advance(POLLS_MS);
    list.isDown = true;
    await clock.advance(HOST_LIST_LAG_MS + POLLS_MS);
    expect(monitor.isGone('h2')).to.equal(false);
  });

  it('notifies listeners about leaving hosts', async () => {
    let changes = 0;
    monitor.onChange(() => (changes += 1));
    list.hosts = [{name: 'pool-1', zone: 'a', state: 'leaving'}];
    await clock.advance(POLLS_MS);
    expect(monitor.isLeaving('pool-1')).to.equal(true);
    expect(changes).to.equal(1);
  });
});
