/** Injects a random series of overlapping faults. @packageDocumentation */

import {setMaxListeners} from 'node:events';
import {IncomingHttpHeaders} from 'node:http';
import {Random, SystemClock} from '@fuchsiacleat/core';
import {COPY_TIME, NO_FAULTS, FAULTY_ANSWER} from '@fuchsiacleat/standins';
import {FAULT, FaultName} from './fault_names.js';
import {LINK_MODE, LinkMode} from './faulty_link.js';
import {HostProcess} from './host_process.js';
import {OlderStore} from './older_store.js';
import {LARGE_BODY} from './soak_checks.js';
import {LinkedWorker, ROUTE_RANGES, SoakWorld} from './soak_world.js';

/** Range of the pause between the starts of two faults, in milliseconds. */
const MIN_GAP_MS = 100;
const MAX_GAP_MS = 1_500;

/** Range of the duration of a fault, in milliseconds. */
const MIN_FAULT_MS = 200;
const MAX_FAULT_MS = 5_000;

/**
 * Range of the duration for which a key is withdrawn or a worker drains, in
 * milliseconds. It has to exceed the time that hosts have to react.
 */
const MIN_FORBIDDEN_MS = 4_000;
const MAX_FORBIDDEN_MS = 9_000;

/** Range of the duration of a silence of workers, in milliseconds. */
const MIN_SILENCE_MS = 300;
const MAX_SILENCE_MS = 3_000;

/** Range of the number of configurations in a series, and of their gaps. */
const MIN_PUBLICATIONS = 1;
const MAX_PUBLICATIONS = 4;
const MIN_PUBLICATION_GAP_MS = 100;
const MAX_PUBLICATION_GAP_MS = 600;

const MAX_DOWN_MS = 2_000;
const MAX_ODD_ANSWERS = 6;

/** Delay after which the store executes appends that it did not answer. */
const LATE_APPEND_MS = 1_500;

const BROKEN_MODES: readonly LinkMode[] = [
  LINK_MODE.reset,
  LINK_MODE.silent,
  LINK_MODE.oneWay,
  LINK_MODE.slow,
];

const ODD_ANSWERS = [
  FAULTY_ANSWER.refuse,
  FAULTY_ANSWER.lose,
  FAULTY_ANSWER.cut,
  FAULTY_ANSWER.otherId,
  FAULTY_ANSWER.unsigned,
  FAULTY_ANSWER.unframed,
];

/** Most responses of a worker between two that it sends twice. */
const MAX_COPY_INTERVAL = 5;

/** Most responses of a worker between two that it breaks off. */
const MAX_BREAK_INTERVAL = 3;

/** Faults of responses to requests that take up a stream. */
const TAKE_UP_FAULTS = [
  undefined,
  FAULTY_ANSWER.unframed,
  FAULTY_ANSWER.unframedEvents,
];

/** Addresses that no connection can be opened to. */
const ODD_ADDRESSES = [
  '127.0.0.300:8080',
  '127.0.0.1:99999',
  '127.0.0.1:0',
  'localhost:80',
  '',
];

/** Injects one fault, keeps it for a time and reverts it. */
type Fault = (forMs: number) => Promise<void>;

/** Injects faults into a world; the same seed gives the same sequence. */
export class FaultSeries {
  /** Number of injected faults by kind. */
  readonly counts: Record<string, number> = {};
  private readonly kinds: Record<FaultName, Fault>;
  private readonly running = new Set<Promise<void>>();
  private isWithdrawn = false;
  private readonly olderStore: OlderStore;
  private readonly clock = new SystemClock();

  /**
   * @param world - the deployment to inject faults into.
   * @param random - chooses kinds, components and times.
   * @param names - kinds to choose from.
   * @param signal - when aborted, no new fault starts and running faults are
   *   reverted early.
   */
  constructor(
    private readonly world: SoakWorld,
    private readonly random: Random,
    private readonly names: readonly FaultName[],
    private readonly signal: AbortSignal,
  ) {
    this.olderStore = new OlderStore(world, random, signal, host =>
      this.kill(host),
    );
    this.kinds = {
      pause: forMs => this.pause(forMs),
      kill: () => this.kill(this.host()),
      killAll: () => this.killAll(),
      term: () => this.term(),
      hup: async () => this.hup(),
      storeLink: forMs => this.breakStoreLink(forMs),
      storeDown: forMs => this.storeDown(forMs),
      storeLate: forMs => this.storeLate(forMs),
      storeLoses: async () => this.storeLoses(),
      workerLink: forMs => this.breakWorkerLink(forMs),
      oddAnswers: async () => this.oddAnswers(),
      withdraw: () => this.withdraw(),
      drain: () => this.drain(),
      silence: async () => this.silence(),
      publish: () => this.publish(),
      changeVersion: () => this.changeVersion(),
      crashRequest: () => this.crashRequest(),
      secondCopies: forMs => this.secondCopies(forMs),
      oddEntries: forMs => this.oddEntries(forMs),
      breakLarge: forMs => this.breakLarge(forMs),
      breakStreams: forMs => this.breakStreams(forMs),
      olderStore: () => this.olderStore.play(),
    };
  }

  /** Injects faults until the signal aborts, then waits until all are reverted. */
  async run(): Promise<void> {
    // Each fault under way waits on the signal, and any number may overlap.
    setMaxListeners(0, this.signal);
    if (this.names.includes(FAULT.olderStore))
      void this.olderStore.takeCopies();
    while (!this.signal.aborted) {
      const name = this.random.pick(this.names);
      const forMs = this.random.int(MIN_FAULT_MS, MAX_FAULT_MS);
      this.counts[name] = (this.counts[name] ?? 0) + 1;
      const fault = this.kinds[name](forMs);
      this.running.add(fault);
      void fault.finally(() => this.running.delete(fault));
      await this.wait(this.random.int(MIN_GAP_MS, MAX_GAP_MS));
    }
    await Promise.all(this.running);
  }

  private host(): HostProcess {
    return this.random.pick(this.world.hosts);
  }

  /** Sleeps for a time, or until the signal aborts. */
  private wait(ms: number): Promise<void> {
    return this.clock.sleep(ms, this.signal);
  }

  private async pause(forMs: number): Promise<void> {
    const host = this.host();
    this.world.disturb(host, forMs);
    host.signal('SIGSTOP');
    await this.wait(forMs);
    host.signal('SIGCONT');
    this.recordResumption();
    this.world.disturb(host, 0);
  }

  private async kill(host: HostProcess): Promise<void> {
    const downMs = this.random.int(0, MAX_DOWN_MS);
    this.world.disturb(host, downMs);
    await host.kill();
    await this.wait(downMs);
    await host.start();
    this.world.disturb(host, 0);
  }

  private async killAll(): Promise<void> {
    await Promise.all(this.world.hosts.map(host => this.kill(host)));
  }

  private async term(): Promise<void> {
    const host = this.host();
    this.world.disturb(host, MAX_FAULT_MS, true);
    host.signal('SIGTERM', true);
    const isGone = async () => !host.isRunning;
    const hasEnded = await this.world.until(isGone, MAX_FAULT_MS);
    this.world.disturb(host, 0);
    if (!hasEnded) await host.kill();
    await host.start();
    this.world.disturb(host, 0);
  }

  private hup(): void {
    const host = this.host();
    // SIGHUP ends a process that has not installed its signal handlers yet.
    if (host.canHandleSignals) host.signal('SIGHUP');
  }

  private async breakStoreLink(forMs: number): Promise<void> {
    const i = this.random.int(0, this.world.hosts.length - 1);
    this.world.disturb(this.world.hosts[i], forMs);
    this.world.storeLinks[i].setMode(this.random.pick(BROKEN_MODES));
    await this.wait(forMs);
    this.world.storeLinks[i].setMode(LINK_MODE.open);
    this.world.disturb(this.world.hosts[i], 0);
  }

  private async storeDown(forMs: number): Promise<void> {
    const {store} = this.world;
    this.world.disturbAll(forMs);
    store.faults = {...store.faults, down: true};
    await this.wait(forMs);
    store.faults = {...NO_FAULTS};
    this.world.disturbAll(0);
  }

  private async storeLate(forMs: number): Promise<void> {
    const {store} = this.world;
    this.world.disturbAll(forMs);
    store.appendDelayMs = LATE_APPEND_MS;
    await this.wait(forMs);
    store.appendDelayMs = 0;
    this.world.disturbAll(0);
  }

  private storeLoses(): void {
    const {store} = this.world;
    this.world.disturbAll(0);
    const loseAnswers = this.random.int(1, MAX_ODD_ANSWERS);
    store.faults = {...store.faults, loseAnswers};
  }

  private async breakWorkerLink(forMs: number): Promise<void> {
    const {link} = this.random.pick(this.world.workers);
    this.world.disturbAll(forMs);
    link.setMode(this.random.pick(BROKEN_MODES));
    await this.wait(forMs);
    link.setMode(LINK_MODE.open);
    this.recordResumption();
    this.world.disturbAll(0);
  }

  private oddAnswers(): void {
    const {standin} = this.random.pick(this.world.workers);
    const count = this.random.int(1, MAX_ODD_ANSWERS);
    for (let i = 0; i < count; i++) {
      standin.faultyAnswers.push(this.random.pick(ODD_ANSWERS));
    }
  }

  /** Lets one worker send some of its responses twice, whatever they are. */
  private async secondCopies(forMs: number): Promise<void> {
    const {standin} = this.random.pick(this.world.workers);
    const time = this.random.pick(Object.values(COPY_TIME));
    const every = this.random.int(1, MAX_COPY_INTERVAL);
    let responses = 0;
    this.world.disturbAll(forMs);
    standin.copyTime = () => (++responses % every === 0 ? time : undefined);
    await this.wait(forMs);
    standin.copyTime = () => undefined;
    this.world.disturbAll(0);
  }

  /** Puts entries of another writer into the list of targets. */
  private async oddEntries(forMs: number): Promise<void> {
    const isEngine = this.random.pick([true, false]);
    const address = this.random.pick(ODD_ADDRESSES);
    this.world.putOddEntry(isEngine, address);
    await this.wait(forMs);
    this.world.removeOddEntries();
  }

  /** Lets one worker break off some of the large answers that callers ask for. */
  private async breakLarge(forMs: number): Promise<void> {
    if (this.world.hasLargeAnswers) return;
    const plain = this.world.workers.filter(({isEngine}) => !isEngine);
    const {standin} = this.random.pick(plain);
    const every = this.random.int(1, MAX_BREAK_INTERVAL);
    let answers = 0;
    standin.faultOf = (headers, body) => {
      const isLarge = body === LARGE_BODY;
      return isLarge && ++answers % every === 0 ? FAULTY_ANSWER.cut : undefined;
    };
    this.world.hasLargeAnswers = true;
    await this.wait(forMs);
    this.world.hasLargeAnswers = false;
    standin.faultOf = () => undefined;
  }

  /**
   * Lets engines break off some of the streams that begin, and end some of those
   * that go on without a length, whole or not.
   */
  private async breakStreams(forMs: number): Promise<void> {
    const engines = this.world.workers.filter(({isEngine}) => isEngine);
    const every = this.random.int(1, MAX_BREAK_INTERVAL);
    const random = new Random(this.random.int(1, 1_000_000_000));
    let answers = 0;
    const faultOf = (headers: IncomingHttpHeaders) => {
      if (headers['last-event-id'] !== undefined)
        return random.pick(TAKE_UP_FAULTS);
      return ++answers % every === 0 ? FAULTY_ANSWER.cut : undefined;
    };
    for (const {standin} of engines) standin.faultOf = faultOf;
    await this.wait(forMs);
    for (const {standin} of engines) standin.faultOf = () => undefined;
  }

  private async withdraw(): Promise<void> {
    if (this.isWithdrawn) return;
    this.isWithdrawn = true;
    this.world.setWithdrawn(true);
    await this.wait(this.random.int(MIN_FORBIDDEN_MS, MAX_FORBIDDEN_MS));
    this.world.setWithdrawn(false);
    this.isWithdrawn = false;
  }

  private async drain(): Promise<void> {
    const plain = this.world.workers.filter(({isEngine}) => !isEngine);
    const worker = this.random.pick(plain);
    this.world.setDraining(worker, true);
    await this.wait(this.random.int(MIN_FORBIDDEN_MS, MAX_FORBIDDEN_MS));
    this.world.setDraining(worker, false);
  }

  /** Lets one worker of a service, half of them or all fall silent. */
  private silence(): void {
    const isEngine = this.random.pick([true, false]);
    const forMs = this.random.int(MIN_SILENCE_MS, MAX_SILENCE_MS);
    const all = this.world.workers.filter(
      worker => worker.isEngine === isEngine,
    );
    const count = this.random.pick([1, Math.ceil(all.length / 2), all.length]);
    const first = this.random.int(0, all.length - 1);
    for (let i = 0; i < count; i++) {
      const worker: LinkedWorker = all[(first + i) % all.length];
      worker.standin.silence(forMs);
    }
  }

  private async publish(): Promise<void> {
    const count = this.random.int(MIN_PUBLICATIONS, MAX_PUBLICATIONS);
    for (let i = 0; i < count && !this.signal.aborted; i++) {
      this.world.publish({
        timeoutMs: this.random.int(...ROUTE_RANGES.timeoutMs),
        idleTimeoutMs: this.random.int(...ROUTE_RANGES.idleTimeoutMs),
      });
      const {random} = this;
      await this.wait(
        random.int(MIN_PUBLICATION_GAP_MS, MAX_PUBLICATION_GAP_MS),
      );
    }
  }

  private async changeVersion(): Promise<void> {
    const engines = this.world.workers.filter(({isEngine}) => isEngine);
    this.world.disturbAll(0);
    await this.world.changeVersion(this.random.pick(engines));
    this.recordResumption();
  }

  private async crashRequest(): Promise<void> {
    if (this.world.hasCrashingRequest) return;
    const forMs = this.random.int(MIN_FORBIDDEN_MS, MAX_FORBIDDEN_MS);
    // A crash breaks off what other requests run on the worker. The hosts
    // themselves are undisturbed.
    for (const {options} of this.world.hosts)
      this.world.disturbances.recordDisturbance(options.name, forMs);
    this.world.setCrashing(true);
    await this.wait(forMs);
    this.world.setCrashing(false);
  }

  private recordResumption(): void {
    this.world.resumptionsMs.push(performance.now());
  }
}
