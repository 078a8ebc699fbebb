/** Hosts that compete for the order lease. @packageDocumentation */

import {OrderLease} from '../../lib/residency/order_lease.js';
import {SilentLogger} from '../../lib/telemetry/logger.js';
import {ManualClock} from '../../lib/time/manual_clock.js';
import {Random} from '../../lib/time/random.js';
import {FaultyLeaseLog, LOG_POLL_MS, SharedLog} from './lease_log_fixtures.js';

/** Shortest time between the orders of two hosts. */
export const HOLDER_GAP_MS = 3_000;
const STEP_MS = LOG_POLL_MS;

/** Records that a log loses for a time: about as many as it got in it. */
const MS_PER_LOST_RECORD = 160;

/** Longest time of a slow append, below the timeout of the lease. */
const MAX_SLOW_MS = 900;

/** Time before the first fault of a plan. */
const START_MS = 500;

/** Time between the messages of a holder to the other hosts. */
const CONTACT_INTERVAL_MS = 250;

/** A host that competes. */
export interface LeaseHost {
  incarnation: string;
  lease: OrderLease;
  log: FaultyLeaseLog;
  stop: AbortController;
}

/** A moment at which a host may order. */
export interface OrderMoment {
  host: number;
  ms: number;
  fencing: number;
}

/** Hosts with one lease log, on one manual clock. */
export class LeaseWorld {
  readonly clock = new ManualClock();
  readonly hosts: LeaseHost[] = [];
  /** Each step in which a host may order. */
  readonly orders: OrderMoment[] = [];
  /** Clock times at which several hosts held the lease. */
  readonly sharedMs: number[] = [];
  readonly shared = new SharedLog();
  /** Hosts that messages of holders do not reach; all by default. */
  readonly deaf = new Set<number>();
  /** Hosts that reach no target. */
  readonly unfit = new Set<number>();
  /** Hosts that have stopped and were not restarted. */
  readonly stopped = new Set<number>();
  private starts = 0;

  constructor(
    count: number,
    private readonly claimDelayMs = 0,
  ) {
    for (let i = 0; i < count; i++) {
      this.deaf.add(i);
      this.hosts.push(this.start(i, true));
    }
  }

  /** Kills a host and restarts it without any state. */
  restart(i: number): void {
    this.stopped.delete(i);
    this.hosts[i].stop.abort();
    this.hosts[i] = this.start(i, false);
  }

  /** Restarts the hosts that have stopped. */
  restartStopped(): void {
    for (const i of [...this.stopped]) this.restart(i);
  }

  /** Advances the clock in steps and records which hosts may order. */
  async run(durationMs: number): Promise<void> {
    for (let ms = 0; ms < durationMs; ms += STEP_MS) {
      await this.clock.advance(STEP_MS);
      if (ms % CONTACT_INTERVAL_MS === 0) this.sendContacts();
      const holders = this.hosts.filter(({lease}) => lease.isHeld);
      if (holders.length > 1) this.sharedMs.push(this.clock.now());
      this.hosts.forEach(({lease}, host) => {
        if (!lease.canOrder) return;
        const fencing = lease.fencingNumber;
        this.orders.push({host, ms: this.clock.now(), fencing});
      });
    }
  }

  private sendContacts(): void {
    const holders = this.hosts.filter(({lease}) => lease.isHeld);
    for (const {incarnation, lease: holder} of holders) {
      this.hosts.forEach(({lease}, i) => {
        if (lease !== holder && !this.deaf.has(i))
          lease.recordHolderContact({
            incarnation,
            fencing: holder.fencingNumber,
            end: holder.knownEnd,
          });
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

  private start(i: number, isFirstStart: boolean): LeaseHost {
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
      isFirstStart,
      isFitToHold: () => !this.unfit.has(i),
      // A process that was killed sends nothing.
      onResign: () => {
        if (this.hosts[i]?.lease === lease) this.notifyResigned(i);
      },
    });
    const stop = new AbortController();
    void lease.run(stop.signal);
    return {incarnation, lease, log, stop};
  }
}

/** Returns the shortest time between orders of two hosts. */
export function shortestGap(orders: readonly OrderMoment[]): number {
  let shortest = Infinity;
  for (let i = 1; i < orders.length; i++) {
    const [before, order] = [orders[i - 1], orders[i]];
    if (before.host === order.host) continue;
    shortest = Math.min(shortest, order.ms - before.ms);
  }
  return shortest;
}

/**
 * Lets a fault happen.
 *
 * @param world - the hosts.
 * @param host - host that the fault concerns.
 * @param fault - name of the fault; any other name ends the host's faults.
 * @param ms - duration of the fault, or number of records that are lost.
 */
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
    case 'hear':
      world.deaf.delete(host);
      break;
    case 'deafen':
      world.deaf.add(host);
      break;
    case 'stop':
      world.stopped.add(host);
      void lease.release(new AbortController().signal);
      break;
    case 'restart':
      world.restart(host);
      break;
    case 'release':
      void lease.release(new AbortController().signal);
      world.restart(host);
      break;
    case 'restore':
      world.shared.restore(Math.floor(ms / MS_PER_LOST_RECORD));
      break;
    case 'pause':
      world.clock.pause(ms);
      break;
    default:
      heal(log);
  }
}

/** A fault of a plan, after which the hosts run for a time. */
export interface FaultStep {
  host: number;
  fault: string;
  ms: number;
}

/**
 * Plays faults one after the other, and ends those of the log.
 *
 * @param world - the hosts.
 * @param plan - the faults.
 */
export async function playFaults(
  world: LeaseWorld,
  plan: readonly FaultStep[],
): Promise<void> {
  await world.run(START_MS);
  for (const {host, fault, ms} of plan) {
    await injectFault(world, host, fault, ms);
    await world.run(ms);
  }
  for (const {log} of world.hosts) heal(log);
}

/** Ends the faults of a host's connection to the log. */
export function heal({faults}: FaultyLeaseLog): void {
  faults.slowMs = 0;
  faults.isCut = false;
  faults.losesAnswers = false;
  faults.lateMs = 0;
}
