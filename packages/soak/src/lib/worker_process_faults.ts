/** Faults of workers that are processes, in series that overlap. @packageDocumentation */

import {Random, SystemClock} from '@fuchsiacleat/core';
import {WORKER_STATE, WorkerProcess} from './worker_process.js';

/** Range of the time between two faults of a service, in milliseconds. */
const GAP_MS = {min: 200, max: 800} as const;

/** Most workers of a service that have a fault at a time. */
const MAX_AT_A_TIME = 2;

/** Fraction of the faults in which a worker is in a given state. */
const STATE_FRACTION = 0.4;

/** Fraction of the faults that end with a kill. */
const KILL_FRACTION = 0.7;

/** Ranges of the times before the next step of a fault, in milliseconds. */
const CALM_MS = {min: 0, max: 400} as const;
const FULL_MS = {min: 150, max: 700} as const;
const DRAINING_MS = {min: 50, max: 500} as const;
const LEAVING_MS = {min: 0, max: 300} as const;
const SILENT_MS = {min: 50, max: 1_500} as const;

/** Times for which the address of an ended process does not answer, in milliseconds. */
const DOWN_MS: readonly number[] = [0, 0, 0, 100, 700];

/** Time after a fault in which a worker has none, in milliseconds. */
const REST_MS = {min: 300, max: 1_500} as const;

/** What a fault does to a worker, one after the other. */
interface WorkerFault {
  isFull: boolean;
  isLeaving: boolean;
  isSilent: boolean;
  isKilled: boolean;
}

/** Injects faults into the workers of one service. */
export class WorkerProcessFaults {
  /** Number of faults by name. */
  readonly counts: Record<string, number> = {};
  private readonly faulty = new Set<WorkerProcess>();
  private readonly clock = new SystemClock();

  /**
   * @param workers - workers of one service.
   * @param random - chooses workers, faults and times.
   */
  constructor(
    private readonly workers: readonly WorkerProcess[],
    private readonly random: Random,
  ) {}

  /** @param endMs - time from which no fault starts, on the monotonic clock. */
  async run(endMs: number): Promise<void> {
    const running: Array<Promise<void>> = [];
    while (performance.now() < endMs) {
      await this.pause(GAP_MS);
      const sound = this.workers.filter(worker => !this.faulty.has(worker));
      // What is drawn must not depend on which workers are sound by now.
      const random = new Random(this.random.int(0, 1e9));
      if (this.faulty.size >= MAX_AT_A_TIME) continue;
      const worker = random.pick(sound);
      this.faulty.add(worker);
      const fault = this.play(worker, random);
      running.push(fault.finally(() => this.faulty.delete(worker)));
    }
    await Promise.all(running);
  }

  private async play(worker: WorkerProcess, random: Random): Promise<void> {
    const isDrawn = () => random.float() < STATE_FRACTION;
    const fault: WorkerFault = {
      isFull: isDrawn(),
      isLeaving: isDrawn(),
      isSilent: isDrawn(),
      isKilled: random.float() < KILL_FRACTION,
    };
    const name = nameOf(fault);
    this.counts[name] = (this.counts[name] ?? 0) + 1;
    await this.pause(CALM_MS, random);
    if (fault.isFull) {
      worker.setFull(true);
      await this.pause(FULL_MS, random);
    }
    if (fault.isLeaving) {
      worker.begin('leaving');
      worker.register(WORKER_STATE.draining);
      await this.pause(DRAINING_MS, random);
      worker.leave();
      await this.pause(LEAVING_MS, random);
    }
    if (fault.isSilent && worker.isRunning) {
      worker.setSilent(true);
      await this.pause(SILENT_MS, random);
    }
    const isKilled = fault.isKilled && worker.isRunning;
    if (isKilled) await worker.kill();
    else if (fault.isSilent) worker.setSilent(false);
    if (fault.isLeaving && !isKilled) {
      await worker.exited();
      worker.register(undefined);
      worker.end('leaving');
    }
    if (worker.isRunning) {
      if (fault.isFull) worker.setFull(false);
    } else {
      worker.end('full');
      const downMs = random.pick(DOWN_MS);
      if (downMs > 0) await this.clock.sleep(downMs);
      await worker.start();
    }
    await this.pause(REST_MS, random);
  }

  private pause(
    {min, max}: {min: number; max: number},
    random = this.random,
  ): Promise<void> {
    return this.clock.sleep(random.int(min, max));
  }
}

function nameOf(fault: WorkerFault): string {
  const {isFull, isKilled, isLeaving, isSilent} = fault;
  const states = [
    isFull && 'full',
    isLeaving && 'leaving',
    isSilent && 'silent',
  ].filter(Boolean);
  const end = isKilled ? 'killed' : isLeaving ? 'drained' : 'going-on';
  return [...(states.length > 0 ? states : ['calm']), end].join('-');
}
