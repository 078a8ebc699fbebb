import {expect} from 'chai';
import {PackedEntry, SHARE_REPORT, ShareReport} from '../../index.js';
import {ShareWorld} from './share_world.js';

describe('ShareExchange', () => {
  async function startLender() {
    const zones = new Map([['a', 1]]);
    const spec = {name: 'team/x', rate: 10, burst: 100, floor: 1};
    const world = new ShareWorld(1, {spec, zones});
    world.start('a-1', 'a');
    await world.advance(20_000);
    const {view, pool} = world.hosts.get('a-1')!;
    world.start('a-2', 'a');
    world.sync('a-1');
    const borrower = world.hosts.get('a-2')!.view.self;
    world.hosts.get('a-2')!.abort.abort();
    await world.advance(2_000);
    let network = world.hub.join(borrower);
    const ask = async (change: Partial<ShareReport>) => {
      const entry: PackedEntry = ['team/x', 10, 0, 0, 0];
      const body = {
        to: view.self.incarnation,
        from: borrower.incarnation,
        sequence: 1,
        version: 0,
        pools: [entry],
        ...change,
      };
      const {signal} = new AbortController();
      const options = {timeoutMs: 100, signal};
      const answer = network.call('a-1', SHARE_REPORT, body, options);
      await world.advance(200);
      return (await answer)._unsafeUnwrap();
    };
    const restart = () => {
      world.crash('a-2');
      world.start('a-2', 'a');
      world.sync('a-1');
      const {abort, view: restarted} = world.hosts.get('a-2')!;
      abort.abort();
      network = world.hub.join(borrower);
      return restarted.self.incarnation;
    };
    return {ask, pool, restart};
  }

  it('ignores duplicate and outdated reports', async () => {
    const {ask, pool} = await startLender();
    expect((await ask({sequence: 102})).grants[0][1]).to.equal(10);
    const level = pool.available;
    expect((await ask({sequence: 102})).taken).to.equal(false);
    expect((await ask({sequence: 101})).taken).to.equal(false);
    expect(pool.available).to.be.at.least(level);
  });

  it('ignores reports from or to an earlier incarnation', async () => {
    const {ask, restart} = await startLender();
    expect((await ask({sequence: 102})).taken).to.equal(true);
    const from = restart();
    expect((await ask({from, sequence: 1_001})).taken).to.equal(true);
    expect((await ask({sequence: 1_002})).taken).to.equal(false);
    const other = {from, to: 'a-1.0', sequence: 1_003};
    expect((await ask(other)).taken).to.equal(false);
  });

  it('lends nothing to a host that is not a member', async () => {
    const {ask} = await startLender();
    const nonMember = {from: 'a-2.99', sequence: 103};
    expect((await ask(nonMember)).taken).to.equal(false);
  });
});
