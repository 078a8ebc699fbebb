/** Replaces the hosts of one build by those of another. @packageDocumentation */

import {OrderCall} from '@fuchsiacleat/standins';
import {HostProcess} from './host_process.js';
import {ORDER_RETURN_MS} from './order_return_check.js';
import {PROMISE, Violation} from './soak_checks.js';
import {SoakWorld} from './soak_world.js';

/** Time within which a stopped host has ended, in milliseconds. */
const STOP_TIMEOUT_MS = 5_000;

/** Time within which a started host is ready, in milliseconds. */
const READY_TIMEOUT_MS = 15_000;

/**
 * Replaces the hosts one after the other while both builds serve. Behind the
 * first one, each build takes the lease over from the other once.
 */
export class HostRoll {
  readonly violations: Violation[] = [];
  /** Longest time from the loss of a holder to the order of the next one. */
  longestPauseMs = 0;

  /**
   * @param world - deployment whose hosts it replaces.
   * @param args - Node.js arguments of the build that replaces the other.
   */
  constructor(
    private readonly world: SoakWorld,
    private readonly args: readonly string[],
  ) {}

  /** Replaces all hosts. */
  async run(): Promise<void> {
    const [first, ...others] = this.world.hosts;
    await this.awaitOrder(this.world.hosts, performance.now());
    await this.replace(first);
    await this.takeOver([first], others);
    await this.takeOver(others, [first]);
    for (const host of others) await this.replace(host);
    await this.awaitOrder(this.world.hosts, performance.now());
  }

  private async replace(host: HostProcess): Promise<void> {
    this.world.disturb(host, STOP_TIMEOUT_MS, true);
    host.signal('SIGTERM', true);
    const isGone = async () => !host.isRunning;
    if (!(await this.world.until(isGone, STOP_TIMEOUT_MS))) await host.kill();
    host.args = this.args;
    await this.start([host]);
  }

  /** Kills hosts, and starts them again once one of the others has ordered. */
  private async takeOver(
    heirs: readonly HostProcess[],
    killed: readonly HostProcess[],
  ): Promise<void> {
    for (const host of killed) this.world.disturb(host, ORDER_RETURN_MS);
    await Promise.all(killed.map(host => host.kill()));
    await this.awaitOrder(heirs, performance.now());
    await this.start(killed);
  }

  private async start(hosts: readonly HostProcess[]): Promise<void> {
    await Promise.all(hosts.map(host => host.start()));
    const areReady = async () => {
      const ready = await Promise.all(hosts.map(host => host.isReady()));
      return ready.every(Boolean);
    };
    if (!(await this.world.until(areReady, READY_TIMEOUT_MS)))
      this.recordViolation(PROMISE.recovery, 'a replaced host was not ready');
    for (const host of hosts) this.world.disturb(host, 0);
  }

  /** Waits until one of the hosts has ordered since a time. */
  private async awaitOrder(
    hosts: readonly HostProcess[],
    sinceMs: number,
  ): Promise<void> {
    const names = hosts.map(({options}) => options.name);
    const isNew = ({atMs, holder}: OrderCall) =>
      atMs > sinceMs && names.includes(holder);
    const hasOrder = async () =>
      this.world.workers.some(({standin}) => standin.orderCalls.some(isNew));
    const isOrdered = await this.world.until(hasOrder, ORDER_RETURN_MS);
    const pauseMs = performance.now() - sinceMs;
    this.longestPauseMs = Math.max(this.longestPauseMs, pauseMs);
    if (isOrdered) return;
    const detail = `no order of ${names.join(', ')} for ${ORDER_RETURN_MS} ms`;
    this.recordViolation(PROMISE.ordersReturn, detail);
  }

  private recordViolation(promise: Violation['promise'], detail: string): void {
    this.violations.push({promise, detail});
  }
}
