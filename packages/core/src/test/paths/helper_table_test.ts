import {expect} from 'chai';
import {HelperTable} from '../../lib/paths/helper_table.js';
import {PathReport} from '../../lib/paths/path_messages.js';
import {ManualClock} from '../../lib/time/manual_clock.js';
import {Random} from '../../lib/time/random.js';

describe('HelperTable', () => {
  let clock: ManualClock;
  let table: HelperTable;

  beforeEach(() => {
    clock = new ManualClock();
    table = new HelperTable(clock, new Random(1));
  });

  function report(host: string, zone: string, rest: Partial<PathReport> = {}) {
    const tunnel = '10.0.0.1:7601';
    const sound = {isSound: true, isStopping: false, load: 0};
    table.record(host, {zone, tunnel, ...sound, ...rest});
  }

  const hostsFor = (asker: string, zone: string) =>
    table.list(asker, zone).map(({host}) => host);

  it('names hosts of the zone first, and some of others', () => {
    for (let i = 0; i < 9; i++) report(`a${i}`, 'a');
    for (let i = 0; i < 9; i++) report(`b${i}`, 'b');
    const zones = hostsFor('a0', 'a').map(host => host[0]);
    expect(zones.join('')).to.equal('aaaabb');
    expect(hostsFor('a0', 'a')).to.not.include('a0');
  });

  it('names more hosts of the zone if there are no others', () => {
    for (let i = 0; i < 9; i++) report(`a${i}`, 'a');
    expect(hostsFor('a0', 'a')).to.have.lengthOf(6);
  });

  it('names no host that is cut off, stopping, full or gone', async () => {
    report('gone', 'a');
    await clock.advance(5_000);
    report('cut', 'a', {isSound: false});
    report('stopping', 'a', {isStopping: true});
    report('full', 'a', {load: 1});
    expect(hostsFor('h', 'a')).to.deep.equal([]);
    expect(table.hasSoundHost('full')).to.equal(false);
    report('sound', 'b');
    expect(hostsFor('h', 'a')).to.deep.equal(['sound']);
    expect(table.hasSoundHost('full')).to.equal(true);
  });

  it('names different hosts to different askers', () => {
    for (let i = 0; i < 40; i++) report(`b${i}`, 'b');
    const named = new Set<string>();
    for (let i = 0; i < 20; i++)
      for (const host of hostsFor(`a${i}`, 'a')) named.add(host);
    expect(named.size).to.be.above(25);
  });
});
