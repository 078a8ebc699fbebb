import {setTimeout as sleep} from 'node:timers/promises';
import {StoreCopy} from '@fuchsiacleat/standins';
import {expect} from 'chai';
import {
  PlatformWorld,
  ROUTE_PATH,
  STORE_TOPIC,
} from '../../lib/platform_world.js';

const LEASE_TOPIC = 'order-lease';

/** Age of the copy that the store comes back from. */
const COPY_AGE_MS = 2_500;

/** Time for an unrecorded lease to expire, for a claim, and for a renewal. */
const MAX_PAUSE_MS = 6_000;

const READING_HOSTS = 2;

/** Time within which targets and the operator have written again. */
const WRITTEN_AGAIN_MS = 2_000;

/** Time within which what is not written again has been dropped. */
const DROPPED_MS = 5_000;

/** Time after the withdrawal of a key from which it must not be used. */
const REVOKE_MS = 5_000;

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

describe('GatewayHosts that read a store that came back from an older copy', () => {
  let world: PlatformWorld;
  /** Copy of the store before anything was written to it. */
  let emptyCopy: StoreCopy;

  beforeEach(async () => {
    world = await PlatformWorld.start(READING_HOSTS, 1, {
      prepare: async ({store}) => {
        emptyCopy = store.copy();
      },
    });
    await world.until(() => world.hosts.some(host => host.canOrder));
  });

  afterEach(async () => {
    await world.stop();
  });

  /** Calls all hosts for a while; returns the statuses that callers got. */
  async function callFor(ms: number): Promise<Set<number>> {
    const statuses = new Set<number>();
    const endMs = performance.now() + ms;
    while (performance.now() < endMs) {
      for (let host = 0; host < READING_HOSTS; host++)
        statuses.add((await world.call(ROUTE_PATH.repeatable, {host})).status);
      await sleep(20);
    }
    return statuses;
  }

  it('serve callers while targets that it has lost register again', async () => {
    world.store.restore(emptyCopy);
    const before = await callFor(WRITTEN_AGAIN_MS);
    world.registerTargets();
    world.publish(['key-1']);
    const after = await callFor(DROPPED_MS);
    expect([...before, ...after]).to.deep.equal([200, 200]);
  });

  it('use no target that does not register again', async () => {
    world.store.restore(emptyCopy);
    world.publish(['key-1']);
    await sleep(DROPPED_MS);
    expect([...(await callFor(100))]).to.deep.equal([503]);
  });

  it('use no target that had ended before and is listed again', async () => {
    const copy = world.store.copy();
    world.store.put(STORE_TOPIC.targets, 'p2', undefined);
    const isGone = (line: string) =>
      line.includes('target_gone') && line.includes('target=p2');
    await world.until(() => world.lines.some(isGone));
    await callFor(200);
    const {runs} = world.plain[1];
    const before = runs.length;
    world.store.restore(copy);
    await callFor(WRITTEN_AGAIN_MS);
    expect(runs.length).to.equal(before);
  });

  it('run no request of a key whose withdrawal it has lost', async () => {
    const copy = world.store.copy();
    world.publish(['other']);
    // No host has read it.
    world.store.restore(copy);
    world.store.faults = {...world.store.faults, down: true};
    await sleep(REVOKE_MS);
    world.store.faults = {...world.store.faults, down: false};
    const statuses = await callFor(WRITTEN_AGAIN_MS);
    world.publish(['other']);
    expect([...statuses]).to.deep.equal([503]);
  });
});
