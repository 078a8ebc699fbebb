import {expect} from 'chai';
import {allowedInWindow, mostInWindow} from './limit_bound.js';
import {LimitsWorld} from './limits_world.js';

/** Time in which all hosts have to know a limit. */
const SPREAD_MS = 100;

const PLAY_MS = 12_000;
const MS_PER_SECOND = 1_000;

/** Least fraction of a limit that hosts use under heavy demand. */
const MIN_USED = 0.8;

async function startWorld(hosts: number): Promise<LimitsWorld> {
  const world = new LimitsWorld(hosts);
  await world.clock.advance(100);
  return world;
}

describe('LimitExchange', () => {
  const cases = [
    {hosts: 2, perSecond: 20},
    {hosts: 9, perSecond: 6.4},
    {hosts: 9, perSecond: 1},
    {hosts: 60, perSecond: 0.5},
    {hosts: 195, perSecond: 3},
  ];
  for (const {hosts, perSecond} of cases) {
    it(`keeps ${hosts} hosts together within ${perSecond} requests a second`, async () => {
      const world = await startWorld(hosts);
      world.hosts[hosts - 1].hear(perSecond);
      await world.clock.advance(SPREAD_MS);
      const askMs = (hosts * MS_PER_SECOND) / (3 * perSecond);
      await world.play(PLAY_MS, askMs);
      const most = mostInWindow(world.arrivalsMs);
      expect(most).to.be.at.most(allowedInWindow(perSecond));
      const granted = (perSecond * PLAY_MS) / MS_PER_SECOND;
      expect(world.arrivalsMs.length).to.be.at.least(
        Math.floor(granted * MIN_USED),
      );
    });
  }

  it('tells all hosts of a limit, of another one, and of its end', async () => {
    const world = await startWorld(4);
    for (const limit of [3, 5, undefined]) {
      world.hosts[2].hear(limit);
      await world.clock.advance(SPREAD_MS);
      const known = world.hosts.map(({target}) => target.requestsPerSecond);
      expect(known).to.deep.equal([limit, limit, limit, limit]);
    }
  });

  it('does not take the older word of another host for the newer one', async () => {
    const world = await startWorld(2);
    world.isolated.add('h1');
    world.hosts[1].hear(3);
    await world.clock.advance(1_000);
    world.hosts[0].hear(7);
    world.isolated.clear();
    await world.clock.advance(1_500);
    const known = world.hosts.map(({target}) => target.requestsPerSecond);
    expect(known).to.deep.equal([7, 7]);
  });

  it('tells a host that starts', async () => {
    const world = await startWorld(3);
    world.hosts[1].hear(3);
    await world.clock.advance(SPREAD_MS);
    const started = world.startHost(2);
    await world.clock.advance(1_500);
    expect(started.target.requestsPerSecond).to.equal(3);
  });

  it('stays within the limit while the lending host changes', async () => {
    const world = await startWorld(9);
    for (const host of world.hosts) host.hear(6);
    for (let i = 0; i < 8; i++) {
      world.lending = i % 2 === 0 ? i : undefined;
      await world.play(1_700, 150);
    }
    const most = mostInWindow(world.arrivalsMs);
    expect(most).to.be.at.most(allowedInWindow(6));
    expect(most).to.be.above(10);
  });

  it('stays within the limit while the lending host goes on in new eras', async () => {
    const world = await startWorld(9);
    for (const host of world.hosts) host.hear(6);
    for (let i = 0; i < 8; i++) {
      world.fencing += 1;
      await world.play(1_700, 150);
    }
    const most = mostInWindow(world.arrivalsMs);
    expect(most).to.be.at.most(allowedInWindow(6));
    expect(most).to.be.above(10);
  });

  it('lets few hosts without a lending host use equal parts', async () => {
    const world = await startWorld(9);
    for (const host of world.hosts) host.hear(6);
    world.lending = undefined;
    await world.play(PLAY_MS, 100);
    expect(mostInWindow(world.arrivalsMs)).to.be.at.most(allowedInWindow(6));
    const granted = (6 * PLAY_MS) / MS_PER_SECOND;
    expect(world.arrivalsMs.length).to.be.at.least(granted / 2);
  });

  it('sends nothing without a lending host if the parts do not fit', async () => {
    const world = await startWorld(60);
    for (const host of world.hosts) host.hear(2);
    world.lending = undefined;
    await world.play(8_000, 1_000);
    expect(world.arrivalsMs).to.have.lengthOf(0);
  });
});
