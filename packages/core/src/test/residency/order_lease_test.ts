import {expect} from 'chai';
import fc from 'fast-check';
import {LEASE_TTL_MS} from '../../lib/residency/order_lease.js';
import {
  HOLDER_GAP_MS,
  LeaseWorld,
  heal,
  playFaults,
  shortestGap,
} from './lease_world.js';

const faultKinds = fc.constantFrom(
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
);

describe('OrderLease', () => {
  it('lets exactly one host order soon after a start', async () => {
    const world = new LeaseWorld(4);
    await world.run(1_000);
    const holders = world.hosts.filter(({lease}) => lease.canOrder);
    expect(holders).to.have.lengthOf(1);
  });

  it('passes to another host after the gap when the holder is killed', async () => {
    const world = new LeaseWorld(3);
    await world.run(2_000);
    const first = world.hosts.findIndex(({lease}) => lease.canOrder);
    world.hosts[first].stop.abort();
    world.hosts[first].log.faults.isCut = true;
    await world.run(9_000);
    const next = world.hosts.findIndex(({lease}) => lease.canOrder);
    expect(next).to.not.equal(first);
    expect(next).to.be.at.least(0);
  });

  it('passes at once when the holder loses the log, but orders keep the gap', async () => {
    const world = new LeaseWorld(4, 500);
    await world.run(3_000);
    const first = world.hosts.findIndex(({lease}) => lease.canOrder);
    world.hosts[first].log.faults.isCut = true;
    await world.run(LEASE_TTL_MS);
    const next = (first + 1) % 4;
    expect(world.hosts[next].lease.isHeld).to.equal(true);
    expect(world.hosts[first].lease.holder).to.equal(undefined);
    expect(world.hosts[next].lease.canOrder).to.equal(false);
    await world.run(HOLDER_GAP_MS);
    expect(world.hosts[next].lease.canOrder).to.equal(true);
    expect(shortestGap(world.orders)).to.be.at.least(HOLDER_GAP_MS);
  });

  for (const count of [9, 81, 195]) {
    it(`makes few calls to the log while ${count} hosts wait for a new holder`, async () => {
      const world = new LeaseWorld(count, 300);
      await world.run(3_000);
      const first = world.hosts.findIndex(({lease}) => lease.isHeld);
      const heard = world.hosts[first].lease;
      // Followers receive messages from the holder, as over their links.
      const {incarnation} = heard.holder!;
      const hear = async (ms: number) => {
        for (let at = 0; at < ms; at += 250) {
          for (const {lease} of world.hosts) {
            lease.recordHolderContact({
              incarnation,
              fencing: heard.fencingNumber,
              end: heard.knownEnd,
            });
          }
          await world.run(250);
        }
      };
      await hear(3_000);
      const before = world.shared.calls;
      world.hosts[first].stop.abort();
      world.hosts[first].log.faults.isCut = true;
      await world.run(4_000);
      const holders = world.hosts.filter(
        ({lease}, i) => i !== first && lease.isHeld,
      );
      expect(holders).to.have.lengthOf(1);
      const perHost = (world.shared.calls - before) / count;
      // Each new record is read once, by one long poll that waits for it.
      expect(perHost).to.be.below(9);
    });
  }

  it('passes to another host even if the last renewal takes effect late', async () => {
    const world = new LeaseWorld(3, 500);
    await world.run(3_000);
    const first = world.hosts.findIndex(({lease}) => lease.canOrder);
    world.hosts[first].log.faults.lateMs = 1_000;
    await world.run(3_000);
    const next = (first + 1) % 3;
    expect(world.hosts[next].lease.isHeld).to.equal(true);
    await world.run(3_000);
    expect(shortestGap(world.orders)).to.be.at.least(HOLDER_GAP_MS);
  });

  it('is claimed at once by the machine that held it after all hosts restart', async () => {
    const world = new LeaseWorld(3, 500);
    await world.run(3_000);
    const first = world.hosts.findIndex(({lease}) => lease.canOrder);
    for (let i = 0; i < 3; i++) world.restart(i);
    await world.run(200);
    expect(world.hosts[first].lease.canOrder).to.equal(true);
  });

  it('does not let a machine skip the gap by a restart and a new claim', async () => {
    const world = new LeaseWorld(2);
    await world.run(2_000);
    const first = world.hosts.findIndex(({lease}) => lease.canOrder);
    const next = 1 - first;
    world.hosts[first].log.faults.isCut = true;
    await world.run(LEASE_TTL_MS);
    expect(world.hosts[next].lease.isHeld).to.equal(true);
    world.restart(next);
    await world.run(6_000);
    expect(world.hosts[next].lease.canOrder).to.equal(true);
    expect(shortestGap(world.orders)).to.be.at.least(HOLDER_GAP_MS);
  });

  it('keeps the gap after a claim whose answer was lost', async () => {
    const world = new LeaseWorld(2);
    await world.run(2_000);
    const first = world.hosts.findIndex(({lease}) => lease.canOrder);
    const next = world.hosts[1 - first];
    next.log.faults.losesAnswers = true;
    world.hosts[first].log.faults.isCut = true;
    await world.run(LEASE_TTL_MS);
    next.log.faults.losesAnswers = false;
    await world.run(6_000);
    expect(next.lease.canOrder).to.equal(true);
    expect(shortestGap(world.orders)).to.be.at.least(HOLDER_GAP_MS);
  });

  // The stopping host held the lease again and ordered beside its successor.
  it('does not hold it again by a renewal that is under way when it is released', async () => {
    for (let atMs = 0; atMs < 1_000; atMs += 100) {
      const world = new LeaseWorld(3);
      await world.run(2_000);
      const first = world.hosts.findIndex(({lease}) => lease.canOrder);
      const {lease, log} = world.hosts[first];
      log.faults.slowMs = 400;
      await world.run(2_000 + atMs);
      void lease.release(new AbortController().signal);
      expect(lease.canOrder, `after ${atMs} ms`).to.equal(false);
      const before = world.orders.length;
      await world.run(9_000);
      const later = world.orders.slice(before).map(({host}) => host);
      expect(later, `after ${atMs} ms`).to.not.include(first);
      expect(shortestGap(world.orders)).to.be.at.least(HOLDER_GAP_MS);
    }
  });

  it('is not claimed beside a holder that resigned, claimed again and is heard', async () => {
    const world = new LeaseWorld(3);
    await world.run(2_000);
    const first = world.hosts.findIndex(({lease}) => lease.canOrder);
    for (const {log} of world.hosts) log.faults.isCut = true;
    await world.run(LEASE_TTL_MS + HOLDER_GAP_MS);
    heal(world.hosts[first].log);
    await world.run(2_000);
    expect(world.hosts[first].lease.canOrder).to.equal(true);
    world.deaf.clear();
    await world.run(300);
    world.deaf.add(0).add(1).add(2);
    for (const {log} of world.hosts) heal(log);
    await world.run(2_000);
    expect(world.sharedMs).to.deep.equal([]);
    expect(shortestGap(world.orders)).to.be.at.least(HOLDER_GAP_MS);
  });

  it('is held by a new host, which can lend, before orders are allowed', async () => {
    const world = new LeaseWorld(2);
    await world.run(2_000);
    const first = world.hosts.findIndex(({lease}) => lease.canOrder);
    world.hosts[first].stop.abort();
    const other = world.hosts[1 - first];
    await world.run(LEASE_TTL_MS + 2_000);
    expect(other.lease.isHeld).to.equal(true);
    expect(other.lease.canOrder).to.equal(false);
    await world.run(HOLDER_GAP_MS);
    expect(other.lease.canOrder).to.equal(true);
  });

  it('never lets two hosts order within the gap', async () => {
    const steps = fc.array(
      fc.record({
        host: fc.integer({min: 0, max: 2}),
        fault: faultKinds,
        ms: fc.integer({min: 50, max: 4_000}),
      }),
      {minLength: 1, maxLength: 14},
    );
    await fc.assert(
      fc.asyncProperty(steps, async plan => {
        const world = new LeaseWorld(3);
        world.deaf.clear();
        await playFaults(world, plan);
        await world.run(9_000);
        expect(shortestGap(world.orders)).to.be.at.least(HOLDER_GAP_MS);
        expect(world.sharedMs).to.deep.equal([]);
      }),
      {numRuns: 60},
    );
  });
});

describe('OrderLease: hosts that reach no target', () => {
  it('pass the lease on to one that does', async () => {
    const world = new LeaseWorld(3);
    await world.run(5_000);
    const holder = world.hosts.findIndex(({lease}) => lease.isHeld);
    world.unfit.add(holder);
    await world.run(1_500);
    expect(world.hosts[holder].lease.isHeld).to.equal(false);
    const next = world.hosts.filter(({lease}) => lease.isHeld);
    expect(next).to.have.lengthOf(1);
    await world.run(5_000);
    expect(next[0].lease.canOrder).to.equal(true);
    expect(shortestGap(world.orders)).to.be.at.least(HOLDER_GAP_MS);
  });

  it('claim it after the others', async () => {
    const world = new LeaseWorld(3);
    world.unfit.add(0).add(1);
    await world.run(5_000);
    expect(world.hosts[2].lease.isHeld).to.equal(true);
  });
});
