/** Runs hosts, callers and faults for a time, then checks all promises. @packageDocumentation */

import {Random, SystemClock} from '@fuchsiacleat/core';
import {checkAnswers} from './answer_check.js';
import {checkAnswered} from './answered_check.js';
import {FAULT, FaultName} from './fault_names.js';
import {FaultSeries} from './fault_series.js';
import {HostRoll} from './host_roll.js';
import {checkOrders} from './order_check.js';
import {ORDER_RETURN_MS, checkOrderReturn} from './order_return_check.js';
import {PlantedHost} from './planted_host.js';
import {CallerTarget, SoakCaller} from './soak_callers.js';
import {PROMISE, PromiseName, Violation, checkRecords} from './soak_checks.js';
import {SoakWorld} from './soak_world.js';

/** Number of callers per host. */
const CALLERS_PER_HOST = 4;

/** Time in which all hosts must be ready at the start and after the faults. */
const RECOVERY_TIMEOUT_MS = 20_000;

/** Time that requests in flight have to end. */
const DRAIN_TIMEOUT_MS = 4_000;

/** Time after the start before the first fault. */
const FIRST_FAULT_DELAY_MS = 1_500;

/** Time by which a lease from before a return of the store has expired. */
const OLD_LEASE_MS = 3_000;

/** Longest time after the faults in which they still excuse hosts. */
const AFTER_FAULTS_MS = 5_000;

/** Options of a soak run. */
export interface SoakOptions {
  seed: number;
  /** Time during which faults are injected, in milliseconds. */
  durationMs: number;
  /** Number of host processes. */
  processes: number;
  /** Promise to break on purpose, so that its check must report it. */
  plant?: PromiseName;
  /** Whether the random series of faults runs; true by default. */
  hasFaults?: boolean;
  /** Kinds of faults to choose from; all by default. */
  faults?: readonly FaultName[];
  /** Shortest time between orders of two hosts to one worker, in milliseconds. */
  leaseMs?: number;
  /**
   * Builds of which the second replaces the first on all hosts, as Node.js
   * arguments; the faults last until it has.
   */
  upgrade?: {from: readonly string[]; to: readonly string[]};
}

/** Result of a soak run. */
export interface SoakResult {
  violations: Violation[];
  requests: number;
  /** Number of requests by status. */
  statusCounts: Record<string, number>;
  /** Number of faults by kind. */
  faultCounts: Record<string, number>;
  /** Number of orders that reached workers. */
  orders: number;
  /** Number of returns of the store from older copies. */
  restores: number;
  /** Longest time without an order after a holder was killed in an upgrade. */
  longestPauseMs: number | undefined;
  /** Folder with the hosts' logs. */
  folder: string;
}

/**
 * Runs one soak to its end.
 *
 * @param options - see {@link SoakOptions}.
 * @returns the result, once all processes have ended.
 */
export async function runSoak(options: SoakOptions): Promise<SoakResult> {
  const world = await SoakWorld.start(options.processes, {
    args: options.upgrade?.from,
    leaseMs: options.leaseMs,
  });
  // Planted violations of limits need as many requests as possible.
  if (options.plant !== undefined) world.sendStreamsAtOnce();
  const run = new SoakRun(world, options);
  try {
    return await run.play();
  } finally {
    await run.stop();
  }
}

class SoakRun {
  private readonly random: Random;
  private readonly clock = new SystemClock();
  private readonly violations: Violation[] = [];
  private planted: PlantedHost | undefined;

  constructor(
    private readonly world: SoakWorld,
    private readonly options: SoakOptions,
  ) {
    this.random = new Random(options.seed);
  }

  async play(): Promise<SoakResult> {
    const {durationMs, hasFaults = true, upgrade} = this.options;
    const names = this.options.faults ?? Object.values(FAULT);
    const hasOlderStore = hasFaults && names.includes(FAULT.olderStore);
    if (hasOlderStore || upgrade !== undefined) this.world.offerManyModels();
    await this.checkRecovery('after the start');
    const callersEnd = new AbortController();
    const callers = await this.startCallers(callersEnd.signal);
    const faultsEnd = new AbortController();
    const series = new FaultSeries(
      this.world,
      this.random,
      names,
      faultsEnd.signal,
    );
    await this.clock.sleep(FIRST_FAULT_DELAY_MS);
    const planted = this.plantRunFault();
    const faults = hasFaults ? series.run() : Promise.resolve();
    const roll = upgrade && new HostRoll(this.world, upgrade.to);
    await Promise.all([this.clock.sleep(durationMs), roll?.run()]);
    faultsEnd.abort();
    await faults;
    await planted;
    await this.checkRecovery('after the faults');
    if (FAULT.olderStore in series.counts) await this.waitForOrder();
    this.world.callersEndMs = performance.now();
    callersEnd.abort();
    await Promise.race([
      Promise.all(callers),
      this.clock.sleep(DRAIN_TIMEOUT_MS),
    ]);
    this.recordUnexpectedExits();
    const record = this.world.createRecord();
    this.violations.push(
      ...(roll?.violations ?? []),
      ...checkRecords(record),
      ...checkOrders(record),
      ...checkOrderReturn(record),
      ...checkAnswers(record),
      ...checkAnswered(record),
    );
    return {
      violations: this.violations,
      requests: this.world.ledger.all().length,
      statusCounts: this.world.ledger.counts(),
      faultCounts: series.counts,
      orders: record.workers.flatMap(({orders}) => orders).length,
      restores: record.restoresMs.length,
      longestPauseMs: roll?.longestPauseMs,
      folder: this.world.folder,
    };
  }

  async stop(): Promise<void> {
    await this.planted?.stop();
    await this.world.stop();
  }

  private async startCallers(
    signal: AbortSignal,
  ): Promise<Array<Promise<void>>> {
    const targets: CallerTarget[] = this.world.hosts.map(host => ({
      name: host.options.name,
      url: host.url,
      isUndisturbed: () => performance.now() > host.disturbedUntilMs,
      isRunning: () => host.isRunning,
    }));
    const {plant} = this.options;
    if (plant !== undefined) {
      this.planted = new PlantedHost(this.world, plant);
      await this.planted.start();
      const {url} = this.planted;
      const always = () => true;
      targets.push({
        name: 'planted',
        url,
        isUndisturbed: always,
        isRunning: always,
      });
    }
    const callers: Array<Promise<void>> = [];
    for (let i = 0; i < this.world.hosts.length * CALLERS_PER_HOST; i++) {
      const random = new Random(this.random.int(1, 1_000_000_000));
      const caller = new SoakCaller(`c${i}`, this.world, targets, random);
      callers.push(caller.run(signal));
    }
    return callers;
  }

  /** Plants the faults that a planted host cannot cause. */
  private async plantRunFault(): Promise<void> {
    const {plant, durationMs} = this.options;
    const {hosts, restoresMs, workers} = this.world;
    if (plant === PROMISE.staysUp) hosts[0].signal('SIGKILL');
    if (plant === PROMISE.recovery) hosts[0].signal('SIGSTOP');
    if (plant === PROMISE.withdrawnKey) this.world.setWithdrawn(true);
    if (plant === PROMISE.crashBudget) this.world.setCrashing(true);
    if (plant === PROMISE.ordersReturn)
      restoresMs.push(performance.now() - 2 * ORDER_RETURN_MS);
    if (plant === PROMISE.drain) this.world.setDraining(workers[0], true);
    await this.clock.sleep(durationMs);
  }

  private async checkRecovery(when: string): Promise<void> {
    const {hosts} = this.world;
    const areReady = async () => {
      const ready = await Promise.all(hosts.map(host => host.isReady()));
      return ready.every(Boolean);
    };
    if (await this.world.until(areReady, RECOVERY_TIMEOUT_MS)) return;
    const detail = `not every host was ready in time ${when}`;
    this.violations.push({promise: PROMISE.recovery, detail});
  }

  /** Gives {@link checkOrderReturn} a span without faults. */
  private async waitForOrder(): Promise<void> {
    const lastMs = this.world.restoresMs.at(-1);
    if (lastMs === undefined) return;
    const sinceMs = Math.max(performance.now(), lastMs + OLD_LEASE_MS);
    const hasOrder = async () =>
      this.world.workers.some(({standin}) =>
        standin.orderCalls.some(({atMs}) => atMs > sinceMs),
      );
    await this.world.until(hasOrder, ORDER_RETURN_MS + AFTER_FAULTS_MS);
  }

  private recordUnexpectedExits(): void {
    for (const {unexpectedExits} of this.world.hosts) {
      for (const end of unexpectedExits) {
        this.violations.push({promise: PROMISE.staysUp, detail: end});
      }
    }
  }
}
