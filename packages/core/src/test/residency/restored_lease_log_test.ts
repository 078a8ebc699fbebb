import {expect} from 'chai';
import fc from 'fast-check';
import {LEASE_TTL_MS} from '../../lib/residency/order_lease.js';
import {LOG_POLL_MS} from './lease_log_fixtures.js';
import {
  HOLDER_GAP_MS,
  LeaseWorld,
  OrderMoment,
  heal,
  playFaults,
  shortestGap,
} from './lease_world.js';

/** Time for a claim once the lease of an earlier holder has expired. */
const CLAIM_TIME_MS = 2_000;

/** Time after which orders go on when the log came back from a copy. */
const MAX_PAUSE_MS = LEASE_TTL_MS + CLAIM_TIME_MS + HOLDER_GAP_MS;

const FAULTS = [
  'restore',
  'restore',
  'restore',
  'cut',
  'lost',
  'late',
  'heal',
  'restart',
  'release',
  'pause',
  'slow',
  'stop',
  'hear',
  'deafen',
];

/** Returns the numbers that were used after higher ones. */
function loweredNumbers(orders: readonly OrderMoment[]): number[] {
  let highest = -Infinity;
  const lowered = new Set<number>();
  for (const {fencing} of orders) {
    highest = Math.max(highest, fencing);
    if (fencing < highest) lowered.add(fencing);
  }
  return [...lowered];
}

/** Returns the numbers that two hosts have ordered with. */
function sharedNumbers(orders: readonly OrderMoment[]): number[] {
  const hostByNumber = new Map<number, number>();
  const shared = new Set<number>();
  for (const {fencing, host} of orders) {
    const known = hostByNumber.get(fencing) ?? host;
    hostByNumber.set(fencing, known);
    if (known !== host) shared.add(fencing);
  }
  return [...shared];
}

describe('OrderLease and a log that came back from an older copy', () => {
  it('lets hosts order again within seconds, without a restart', async () => {
    const world = new LeaseWorld(3);
    await world.run(8_000);
    for (const lost of [4, 9, 1, 14]) {
      world.shared.restore(lost);
      const restoredMs = world.clock.now();
      await world.run(MAX_PAUSE_MS);
      const last = world.orders.at(-1)!;
      expect(last.ms, `without ${lost}`).to.be.above(restoredMs + LEASE_TTL_MS);
    }
  });

  it('lets the holder go on without a pause, with a higher number', async () => {
    const world = new LeaseWorld(3);
    await world.run(8_000);
    const before = world.orders.at(-1)!;
    world.shared.restore(9);
    const count = world.orders.length;
    await world.run(MAX_PAUSE_MS);
    const later = world.orders.slice(count);
    expect(new Set(later.map(({host}) => host))).to.deep.equal(
      new Set([before.host]),
    );
    expect(later).to.have.lengthOf(MAX_PAUSE_MS / LOG_POLL_MS);
    expect(later.at(-1)!.fencing).to.be.above(before.fencing);
    const {firstFencingNumber} = world.hosts[before.host].lease;
    expect(firstFencingNumber).to.equal(before.fencing);
  });

  it('does not give a host that restarts a number that was in use', async () => {
    const world = new LeaseWorld(3);
    await world.run(8_000);
    for (let i = 0; i < 6; i++) {
      world.shared.restore(4 + i);
      world.restart(i % 3);
      await world.run(MAX_PAUSE_MS);
    }
    expect(sharedNumbers(world.orders)).to.deep.equal([]);
    expect(loweredNumbers(world.orders)).to.deep.equal([]);
    expect(shortestGap(world.orders)).to.be.at.least(HOLDER_GAP_MS);
  });

  it('does not hold the lease by a claim or renewal that takes effect in a newer era', async () => {
    const world = new LeaseWorld(3);
    await world.run(8_000);
    const holder = world.hosts.findIndex(({lease}) => lease.canOrder);
    for (const lateMs of [400, 900, 1_500, 2_500]) {
      world.hosts[holder].log.faults.lateMs = lateMs;
      await world.run(500);
      world.shared.restore(1);
      await world.run(lateMs);
      for (const {log} of world.hosts) heal(log);
      await world.run(2 * MAX_PAUSE_MS);
    }
    expect(sharedNumbers(world.orders)).to.deep.equal([]);
    expect(loweredNumbers(world.orders)).to.deep.equal([]);
    expect(shortestGap(world.orders)).to.be.at.least(HOLDER_GAP_MS);
  });

  for (const isRestarted of [false, true]) {
    const what = isRestarted ? 'that restarts' : 'that goes on';
    it(`keeps a machine ${what} behind a holder whose claim is lost`, async () => {
      const world = new LeaseWorld(2);
      await world.run(8_000);
      const first = world.hosts.findIndex(({lease}) => lease.canOrder);
      world.hosts[first].log.faults.isCut = true;
      const claimedAt = world.shared.records.length;
      await world.run(LEASE_TTL_MS + CLAIM_TIME_MS + HOLDER_GAP_MS);
      expect(world.hosts[1 - first].lease.canOrder).to.equal(true);
      world.hosts[1 - first].log.faults.isCut = true;
      world.shared.restore(world.shared.records.length - claimedAt);
      heal(world.hosts[first].log);
      if (isRestarted) world.restart(first);
      await world.run(2 * MAX_PAUSE_MS);
      expect(world.hosts[first].lease.canOrder).to.equal(true);
      expect(shortestGap(world.orders)).to.be.at.least(HOLDER_GAP_MS);
      expect(loweredNumbers(world.orders)).to.deep.equal([]);
      expect(world.sharedMs).to.deep.equal([]);
    });
  }

  it('keeps numbers rising and unshared, and the gap, in any order of faults', async () => {
    const steps = fc.array(
      fc.record({
        host: fc.integer({min: 0, max: 2}),
        fault: fc.constantFrom(...FAULTS),
        ms: fc.integer({min: 50, max: 4_000}),
      }),
      {minLength: 2, maxLength: 16},
    );
    await fc.assert(
      fc.asyncProperty(steps, async plan => {
        const world = new LeaseWorld(3);
        world.deaf.clear();
        await playFaults(world, plan);
        const healedMs = world.clock.now();
        world.restartStopped();
        await world.run(2 * MAX_PAUSE_MS);
        expect(loweredNumbers(world.orders)).to.deep.equal([]);
        expect(sharedNumbers(world.orders)).to.deep.equal([]);
        expect(shortestGap(world.orders)).to.be.at.least(HOLDER_GAP_MS);
        expect(world.sharedMs).to.deep.equal([]);
        const last = world.orders.at(-1);
        expect(last?.ms).to.be.above(healedMs + MAX_PAUSE_MS);
      }),
      {numRuns: 200},
    );
  });
});
