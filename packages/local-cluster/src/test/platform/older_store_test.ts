import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {PlatformWorld} from '../../lib/platform_world.js';

const LEASE_TOPIC = 'order-lease';

/** Age of the copy that the store comes back from. */
const COPY_AGE_MS = 2_500;

/** Time for an unrecorded lease to expire, for a claim, and for a renewal. */
const MAX_PAUSE_MS = 6_000;

describe('GatewayHosts and a store that came back from an older copy', () => {
  let world: PlatformWorld;

  beforeEach(async () => {
    world = await PlatformWorld.start(3);
    await world.until(() => world.hosts.some(host => host.canOrder));
  });

  afterEach(() => world.stop());

  /** Fencing numbers of all claims so far. */
  function claims(): number[] {
    return world.lines
      .filter(line => line.includes('event=order_lease_claimed'))
      .map(line => Number(/fencing=(\d+)/.exec(line)?.[1]));
  }

  /** Restores a copy of the store, and returns once a host orders again. */
  async function restore(): Promise<void> {
    const copy = world.store.copy();
    await sleep(COPY_AGE_MS);
    world.store.restore(copy);
    const before = claims().length;
    const endMs = performance.now() + MAX_PAUSE_MS;
    const isClaimed = () =>
      claims().length > before && world.hosts.some(host => host.canOrder);
    while (!isClaimed() && performance.now() < endMs) await sleep(20);
    expect(isClaimed(), 'a host claims again and orders').to.equal(true);
  }

  it('order again within seconds, with rising numbers', async () => {
    for (let i = 0; i < 3; i++) await restore();
    const numbers = claims();
    expect(numbers).to.deep.equal([...numbers].sort((a, b) => a - b));
    expect(new Set(numbers).size).to.equal(numbers.length);
  });

  it('claim with higher numbers when all restart behind an empty log', async () => {
    world.store.forget([LEASE_TOPIC], Infinity);
    await world.restartHosts();
    const before = claims();
    await world.until(() => world.hosts.some(host => host.canOrder));
    const after = claims().slice(before.length);
    expect(Math.max(...after)).to.be.above(Math.max(...before));
  });
});
