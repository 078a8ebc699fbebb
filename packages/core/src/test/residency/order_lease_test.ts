import {expect} from 'chai';
import fc from 'fast-check';
import {LEASE_TTL_MS, OrderLease} from '../../lib/residency/order_lease.js';
import {SilentLogger} from '../../lib/telemetry/logger.js';
import {ManualClock} from '../../lib/time/manual_clock.js';
import {Random} from '../../lib/time/random.js';
import {LOG_POLL_MS, SharedLog, FaultyLeaseLog} from './lease_log_fixtures.js';

const HOLDER_GAP_MS = 3_000;
const STEP_MS = LOG_POLL_MS;

/** Longest time of a slow append, below the timeout of the lease. */
const MAX_SLOW_MS = 900;

interface LeaseHost {
  lease: OrderLease;
  log: FaultyLeaseLog;
  stop: AbortController;
}

/** Hosts with one lease log, on one manual clock. */
class LeaseWorld {
  readonly clock = new ManualClock();
  readonly hosts: LeaseHost[] = [];
  /** Host and clock time of each step in which a host may order. */
  readonly orders: Array<{host: number; ms: number}> = [];
  readonly shared = new SharedLog();
  private starts = 0;

  /** Hosts that reach no target. */
  readonly unfit = new Set<number>();

  constructor(
    count: number,
    private readonly claimDelayMs = 0,
  ) {
    for (let i = 0; i < count; i++) this.hosts.push(this.start(i));
  }

  /** Kills a host and restarts it without any state. */
  restart(i: number): void {
    this.hosts[i].stop.abort();
    this.hosts[i] = this.start(i);
  }

  /** Advances the clock in steps and records which hosts may order. */
  async run(durationMs: number): Promise<void> {
    for (let ms = 0; ms < durationMs; ms += STEP_MS) {
      await this.clock.advance(STEP_MS);
      this.hosts.forEach(({lease}, host) => {
        if (lease.canOrder) this.orders.push({host, ms: this.clock.now()});
      });
    }
  }

  /** Notifies the other hosts, and names the next one as the successor. */
  private notifyResigned(holder: number): void {
    const {fencingNumber} = this.hosts[holder].lease;
    const successor = (holder + 1) % this.hosts.length;
    this.hosts.forEach(({lease}, i) => {
      if (i !== holder) lease.handleResignation(fencingNumber, i === successor);
    });
  }

  private start(i: number): LeaseHost {
    const log = new FaultyLeaseLog(this.clock, this.shared);
    const incarnation = `${i}-${this.starts++}`;
    const lease: OrderLease = new OrderLease({
      clock: this.clock,
      random: new Random(this.starts),
      log,
      logger: new SilentLogger(),
      host: `host-${i}`,
      owner: `host-${i}`,
      incarnation,
      holderGapMs: HOLDER_GAP_MS,
      hostCount: () => this.hosts.length,
      claimDelayMs: this.claimDelayMs,
      isFitToHold: () => !this.unfit.has(i),
      // A process that was killed sends nothing.
      onResign: () => {
        if (this.hosts[i]?.lease === lease) this.notifyResigned(i);
      },
    });
    const stop = new AbortController();
    void lease.run(stop.signal);
    return {lease, log, stop};
  }
}

/** Returns the shortest time between orders of two hosts. */
function shortestGap(orders: LeaseWorld['orders']): number {
  let shortest = Infinity;
  for (let i = 1; i < orders.length; i++) {
    const [before, order] = [orders[i - 1], orders[i]];
    if (before.host === order.host) continue;
    shortest = Math.min(shortest, order.ms - before.ms);
  }
  return shortest;
}

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
            lease.recordHolderContact(incarnation, heard.knownEnd);
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
        await world.run(500);
        for (const {host, fault, ms} of plan) {
          await injectFault(world, host, fault, ms);
          await world.run(ms);
        }
        for (const {log} of world.hosts) heal(log);
        await world.run(9_000);
        expect(shortestGap(world.orders)).to.be.at.least(HOLDER_GAP_MS);
      }),
      {numRuns: 60},
    );
  });
});

async function injectFault(
  world: LeaseWorld,
  host: number,
  fault: string,
  ms: number,
): Promise<void> {
  const {lease, log} = world.hosts[host];
  switch (fault) {
    case 'cut':
      log.faults.isCut = true;
      break;
    case 'lost':
      log.faults.losesAnswers = true;
      break;
    case 'late':
      log.faults.lateMs = ms;
      break;
    case 'slow':
      log.faults.slowMs = Math.min(ms, MAX_SLOW_MS);
      break;
    case 'stop':
      void lease.release(new AbortController().signal);
      break;
    case 'restart':
      world.restart(host);
      break;
    case 'release':
      void lease.release(new AbortController().signal);
      world.restart(host);
      break;
    case 'pause':
      world.clock.pause(ms);
      break;
    default:
      heal(log);
  }
}

function heal({faults}: FaultyLeaseLog): void {
  faults.slowMs = 0;
  faults.isCut = false;
  faults.losesAnswers = false;
  faults.lateMs = 0;
}

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
