/** Lets the store come back from copies some seconds old. @packageDocumentation */

import {Random, SystemClock} from '@fuchsiacleat/core';
import {StoreCopy} from '@fuchsiacleat/standins';
import {HostProcess} from './host_process.js';
import {SoakWorld} from './soak_world.js';

const COPY_INTERVAL_MS = 250;

/** Range of the age of a copy when the store goes away, in milliseconds. */
const MIN_COPY_AGE_MS = 500;
const MAX_COPY_AGE_MS = 8_000;

/** Range of the time for which the store is away, in milliseconds. */
const MIN_AWAY_MS = 200;
const MAX_AWAY_MS = 900;

/** Time by which the operator and the workers have written again. */
const MAX_REWRITE_MS = 2_000;

/** Range of the number of copies in a series, and of the time between them. */
const MIN_RETURNS = 1;
const MAX_RETURNS = 3;
const MIN_RETURN_GAP_MS = 1_000;
const MAX_RETURN_GAP_MS = 9_000;

/** Fraction of the returns beside which the lease holder is restarted. */
const RESTART_FRACTION = 0.5;

/** Latest restart of the lease holder after the store goes away. */
const MAX_RESTART_DELAY_MS = 3_000;

interface TimedCopy {
  copy: StoreCopy;
  takenMs: number;
}

/** Copies the store, and brings it back from copies. */
export class OlderStore {
  private readonly clock = new SystemClock();
  private copies: TimedCopy[] = [];
  private isUnderWay = false;

  /**
   * @param world - deployment whose store it is.
   * @param random - chooses copies and times.
   * @param signal - when aborted, no further copy is taken or used.
   * @param restart - kills a host and starts it again.
   */
  constructor(
    private readonly world: SoakWorld,
    private readonly random: Random,
    private readonly signal: AbortSignal,
    private readonly restart: (host: HostProcess) => Promise<void>,
  ) {}

  /** Takes copies until the signal aborts. */
  async takeCopies(): Promise<void> {
    while (!this.signal.aborted) {
      const takenMs = performance.now();
      this.copies = this.copies.filter(
        copy => takenMs - copy.takenMs < MAX_COPY_AGE_MS + COPY_INTERVAL_MS,
      );
      this.copies.push({copy: this.world.store.copy(), takenMs});
      await this.wait(COPY_INTERVAL_MS);
    }
  }

  /** Lets the store come back from a copy, once or several times in a row. */
  async play(): Promise<void> {
    const {random} = this;
    if (this.isUnderWay) return;
    this.isUnderWay = true;
    const count = random.int(MIN_RETURNS, MAX_RETURNS);
    for (let i = 0; i < count && !this.signal.aborted; i++) {
      const gapMs = random.int(MIN_RETURN_GAP_MS, MAX_RETURN_GAP_MS);
      await Promise.all([this.comeBack(), this.restartHolder()]);
      await this.wait(gapMs);
    }
    this.isUnderWay = false;
  }

  private async comeBack(): Promise<void> {
    const {random, world} = this;
    const {store} = world;
    const awayMs = random.int(MIN_AWAY_MS, MAX_AWAY_MS);
    const rewriteMs = random.int(0, MAX_REWRITE_MS);
    const isUnanswered = random.pick([true, false]);
    const copy = this.chooseCopy(random.int(MIN_COPY_AGE_MS, MAX_COPY_AGE_MS));
    world.disturbAll(awayMs + rewriteMs);
    if (isUnanswered) store.faults = {...store.faults, silent: true};
    else await store.stop();
    await this.wait(awayMs);
    await store.stop();
    store.faults = {...store.faults, silent: false};
    store.restore(copy);
    await store.start();
    world.restoresMs.push(performance.now());
    await this.wait(rewriteMs);
    world.rewriteStore();
    world.disturbAll(0);
  }

  /** Returns the newest copy of at least an age, and drops the newer ones. */
  private chooseCopy(ageMs: number): StoreCopy {
    const untilMs = performance.now() - ageMs;
    const [first, ...others] = this.copies;
    const older = others.filter(({takenMs}) => takenMs <= untilMs);
    // What the store loses is in no later copy either.
    this.copies = [first, ...older];
    return this.copies.at(-1)!.copy;
  }

  private async restartHolder(): Promise<void> {
    const isRestarted = this.random.float() < RESTART_FRACTION;
    const delayMs = this.random.int(0, MAX_RESTART_DELAY_MS);
    const holder = this.lastOrderHost;
    if (!isRestarted || holder === undefined) return;
    await this.wait(delayMs);
    await this.restart(holder);
  }

  /** The host whose order arrived last. */
  private get lastOrderHost(): HostProcess | undefined {
    const {hosts, workers} = this.world;
    const calls = workers.flatMap(({standin}) => standin.orderCalls);
    const last = calls.sort((a, b) => a.atMs - b.atMs).at(-1);
    return hosts.find(({options}) => options.name === last?.holder);
  }

  private wait(ms: number): Promise<void> {
    return this.clock.sleep(ms, this.signal);
  }
}
