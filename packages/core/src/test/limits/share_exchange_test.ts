import {expect} from 'chai';
import {SHARE_ASK, ShareAsk} from '../../index.js';
import {ShareWorld} from './share_world.js';

describe('ShareExchange', () => {
  async function startLender() {
    const zones = new Map([['a', 1]]);
    const spec = {name: 'team/x', rate: 10, burst: 100, floor: 1};
    const world = new ShareWorld(1, {spec, zones});
    world.start('a-1', 'a');
    await world.advance(20_000);
    const {view, pool} = world.hosts.get('a-1')!;
    const borrower = {host: 'a-2', zone: 'a', incarnation: 'a-2.1'};
    const network = world.hub.join(borrower);
    const ask = async (change: Partial<ShareAsk>) => {
      const entry = {pool: 'team/x', need: 10, held: 0, returned: 0, charge: 0};
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
      const answer = network.call('a-1', SHARE_ASK, body, options);
      await world.advance(200);
      return (await answer)._unsafeUnwrap();
    };
    return {ask, pool};
  }

  it('lends once for a report that comes twice or late', async () => {
    const {ask, pool} = await startLender();
    expect((await ask({sequence: 2})).grants[0].granted).to.equal(10);
    const level = pool.available;
    expect((await ask({sequence: 2})).taken).to.equal(false);
    expect((await ask({sequence: 1})).taken).to.equal(false);
    expect(pool.available).to.be.at.least(level);
  });

  it('ignores reports of or to an earlier incarnation', async () => {
    const {ask} = await startLender();
    expect((await ask({sequence: 9})).taken).to.equal(true);
    expect((await ask({from: 'a-2.2', sequence: 1})).taken).to.equal(true);
    expect((await ask({sequence: 10})).taken).to.equal(false);
    const other = {from: 'a-2.2', to: 'a-1.0', sequence: 2};
    expect((await ask(other)).taken).to.equal(false);
  });
});
