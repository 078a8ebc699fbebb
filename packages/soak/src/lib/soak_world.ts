/** A deployment of real hosts with stand-ins for the store and the workers. @packageDocumentation */

import {mkdtemp} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {SystemClock} from '@fuchsiacleat/core';
import {
  PlatformTeam,
  RouteOptions,
  SERVICE,
  STORE_TOPIC,
  loopbackAddress,
  nextDeployment,
  platformConfig,
} from '@fuchsiacleat/local-cluster';
import {
  PlatformStoreStandin,
  PlatformWorkerStandin,
} from '@fuchsiacleat/standins';
import {DisturbanceBook} from './disturbance_book.js';
import {FaultyLink} from './faulty_link.js';
import {ForbiddenSpans} from './forbidden_spans.js';
import {HostProcess} from './host_process.js';
import {
  CRASHING_BODY,
  LARGE_BODY,
  PIECE_OF,
  SoakRecord,
  TeamLimit,
} from './soak_checks.js';
import {RequestLedger} from './request_ledger.js';
import {crashesOf, toWorkerRecord} from './worker_record.js';

/** Keys of the team without a limit and of the limited team. */
export const SOAK_KEY = {free: 'key-free', limited: 'key-limited'} as const;

/** Settings from the platform's documentation, shortened for short runs. */
const BOUNDS = {
  ConfigApplyMs: 3_000,
  DrainTimeoutMs: 3_000,
  RevokeMs: 5_000,
  GraceS: 4,
  LeaseMs: 3_000,
  RetryBudgetRatio: 0.2,
  BudgetSlack: 50,
  BudgetWindowS: 10,
  QuotaWindowS: 8,
  QuotaOverage: 0.1,
  QuotaSlack: 400,
};

/** Rate and burst of the limited team and cost of a request, in tokens. */
const LIMIT = {perSecond: 1_000, burst: 1_000, request: 100} as const;

/** Time after a disturbance in which a host is exempt from some promises. */
const DISTURBANCE_GRACE_MS = 4_000;

/** Number of events of each stream and the time between them, in milliseconds. */
const STREAM = {events: 16, gapMs: 40} as const;

/** Properties of the routes at first. */
const FIRST_ROUTES: RouteOptions = {
  timeoutMs: 3_000,
  resumableObjectiveMs: 500,
};

/** Ranges of what planned configurations change, in milliseconds. */
export const ROUTE_RANGES = {
  timeoutMs: [2_500, 4_000],
  idleTimeoutMs: [6_000, 15_000],
} as const;

const MS_PER_SECOND = 1_000;
const PLAIN_COUNT = 4;
const ENGINE_COUNT = 2;
const FIRST_MODELS: readonly string[] = ['m1', 'm2'];

/** Models that callers ask for at first, as often as they are listed. */
const FIRST_REQUESTED: readonly string[] = ['m1', 'm1', 'm1', 'm2'];

/** Models of which the engines cannot hold one each. */
const MANY_MODELS: readonly string[] = ['m1', 'm2', 'm3', 'm4'];
const ZONES = ['a', 'b'];
const POLL_MS = 50;

/** A worker and the link through which hosts reach it. */
export interface LinkedWorker {
  name: string;
  standin: PlatformWorkerStandin;
  link: FaultyLink;
  isEngine: boolean;
  /** State that the worker last announced. */
  state: string;
}

/** Options of a {@link SoakWorld}. */
export interface WorldOptions {
  /** Node.js arguments of the hosts; see `HostOptions.args`. */
  args?: readonly string[];
  /** Shortest time between orders of two hosts to one worker, in milliseconds. */
  leaseMs?: number;
}

/** A deployment whose components can be disturbed. */
export class SoakWorld {
  readonly ledger = new RequestLedger();
  readonly store = new PlatformStoreStandin();
  private readonly oddEntries: string[] = [];
  readonly workers: LinkedWorker[] = [];
  readonly hosts: HostProcess[] = [];
  /** Links to the store, one per host. */
  readonly storeLinks: FaultyLink[] = [];
  readonly withdrawn = new ForbiddenSpans();
  readonly drained = new ForbiddenSpans();
  readonly resumptionsMs: number[] = [];
  /** Times at which the store came back from an older copy. */
  readonly restoresMs: number[] = [];
  /** Time at which the callers stopped. */
  callersEndMs = Infinity;
  /** Models that callers ask for, as often as they are listed. */
  requestedModels = FIRST_REQUESTED;
  /** Whether callers send the request that crashes workers. */
  hasCrashingRequest = false;
  /** Whether callers send requests whose answers are large. */
  hasLargeAnswers = false;
  readonly disturbances = new DisturbanceBook(
    DISTURBANCE_GRACE_MS,
    BOUNDS.GraceS * MS_PER_SECOND,
  );
  private readonly clock = new SystemClock();
  private version = 1;
  private isKeyValid = true;
  private routes = FIRST_ROUTES;
  private models = FIRST_MODELS;
  private config: object = {};
  private folderPath = '';

  private constructor(
    private readonly number: number,
    private readonly bounds: typeof BOUNDS,
    private readonly args: readonly string[] | undefined,
  ) {}

  /**
   * Starts the stand-ins and the host processes.
   *
   * @param hostCount - number of host processes.
   * @param options - see {@link WorldOptions}.
   * @returns a world whose host processes are started.
   */
  static async start(
    hostCount: number,
    {args, leaseMs = BOUNDS.LeaseMs}: WorldOptions = {},
  ): Promise<SoakWorld> {
    const bounds = {...BOUNDS, LeaseMs: leaseMs};
    const world = new SoakWorld(nextDeployment(), bounds, args);
    world.folderPath = await mkdtemp(join(tmpdir(), 'fuchsiacleat-soak-'));
    await world.store.start();
    for (let i = 0; i < PLAIN_COUNT + ENGINE_COUNT; i++) {
      await world.addWorker(i);
    }
    world.publish();
    for (let i = 0; i < hostCount; i++) await world.addHost(i);
    await Promise.all(world.hosts.map(host => host.start()));
    return world;
  }

  /** Folder with the hosts' settings and logs. */
  get folder(): string {
    return this.folderPath;
  }

  /** The only limited team, and what a window allows it. */
  get limit(): TeamLimit {
    const {perSecond, burst, request} = LIMIT;
    const inWindow = perSecond * BOUNDS.QuotaWindowS + burst;
    const tokens = inWindow * (1 + BOUNDS.QuotaOverage) + BOUNDS.QuotaSlack;
    return {
      key: SOAK_KEY.limited,
      windowMs: BOUNDS.QuotaWindowS * MS_PER_SECOND,
      requests: Math.floor(tokens / request),
    };
  }

  /**
   * Publishes a new version of the configuration.
   *
   * @param changes - properties of the routes that it changes.
   */
  publish(changes: Partial<RouteOptions> = {}): void {
    this.routes = {...this.routes, ...changes};
    const limited: PlatformTeam = {
      Name: 'limited',
      ApiKeys: this.isKeyValid ? [SOAK_KEY.limited] : [],
      Unit: 'tokens',
      PlainTokens: LIMIT.request,
      PerS: LIMIT.perSecond,
      Burst: LIMIT.burst,
    };
    const free = {Name: 'team', ApiKeys: [SOAK_KEY.free]};
    this.config = platformConfig(
      this.version++,
      [free, limited],
      this.routes,
      this.models,
    );
    this.store.put(STORE_TOPIC.operator, 'config', this.config);
  }

  /** Writes again what a store that came back from a copy may have lost. */
  rewriteStore(): void {
    this.store.put(STORE_TOPIC.operator, 'config', this.config);
    for (const worker of this.workers) this.announce(worker, worker.state);
    this.removeOddEntries();
  }

  /** Offers more models than fit, so that the lease holder always has orders. */
  offerManyModels(): void {
    this.models = MANY_MODELS;
    this.requestedModels = MANY_MODELS;
    this.publish();
  }

  /** Lets workers send whole streams at once, so that callers send more. */
  sendStreamsAtOnce(): void {
    for (const {standin} of this.workers) standin.eventGapMs = 0;
  }

  /** Lets the workers crash on one request that callers send, or no longer. */
  setCrashing(isCrashing: boolean): void {
    this.hasCrashingRequest = isCrashing;
    for (const {standin} of this.workers) standin.crashingBody = CRASHING_BODY;
  }

  /** Restarts an engine worker with the other software version. */
  async changeVersion({standin}: LinkedWorker): Promise<void> {
    const version = standin.softwareVersion === 'v1' ? 'v2' : 'v1';
    standin.softwareVersion = version;
    standin.piece = PIECE_OF[version];
    await standin.crash();
  }

  /** Withdraws the key of the limited team, or restores it. */
  setWithdrawn(isWithdrawn: boolean): void {
    const nowMs = performance.now();
    const name = SOAK_KEY.limited;
    const isChanged = isWithdrawn
      ? this.withdrawn.begin(name, nowMs + BOUNDS.RevokeMs)
      : this.withdrawn.end(name, nowMs);
    if (!isChanged) return;
    this.isKeyValid = !isWithdrawn;
    this.publish();
  }

  /**
   * Announces that a worker drains, or that it is ready again once the last of
   * overlapping drains has ended.
   */
  setDraining(worker: LinkedWorker, isDraining: boolean): void {
    const nowMs = performance.now();
    const {name} = worker;
    const isChanged = isDraining
      ? this.drained.begin(name, nowMs + BOUNDS.DrainTimeoutMs)
      : this.drained.end(name, nowMs);
    if (isChanged) this.announce(worker, isDraining ? 'draining' : 'ready');
  }

  /**
   * Marks a host as disturbed for a time plus {@link DISTURBANCE_GRACE_MS}.
   *
   * @param host - the host.
   * @param forMs - duration in milliseconds.
   * @param isPlanned - whether it is a planned stop, which excuses less.
   */
  disturb(host: HostProcess, forMs: number, isPlanned = false): void {
    const {name} = host.options;
    if (isPlanned) this.disturbances.recordStop(name);
    else this.disturbances.recordDisturbance(name, forMs);
    const untilMs = performance.now() + forMs + DISTURBANCE_GRACE_MS;
    host.disturbedUntilMs = Math.max(host.disturbedUntilMs, untilMs);
  }

  /** Marks all hosts as disturbed; see {@link disturb}. */
  disturbAll(forMs: number): void {
    for (const host of this.hosts) this.disturb(host, forMs);
  }

  /** Waits until a condition holds; returns whether it did within the limit. */
  async until(
    condition: () => Promise<boolean>,
    timeoutMs: number,
  ): Promise<boolean> {
    const endMs = performance.now() + timeoutMs;
    while (!(await condition())) {
      if (performance.now() > endMs) return false;
      await this.clock.sleep(POLL_MS);
    }
    return true;
  }

  /** Returns the records of the callers and the workers. */
  createRecord(): SoakRecord {
    return {
      ledger: this.ledger,
      workers: this.workers.map(toWorkerRecord),
      withdrawn: this.withdrawn.all,
      drained: this.drained.all,
      limit: this.limit,
      minOrderGapMs: this.bounds.LeaseMs,
      resumptionsMs: this.resumptionsMs,
      restoresMs: this.restoresMs,
      callersEndMs: this.callersEndMs,
      disturbances: this.disturbances,
      minTimeoutMs: ROUTE_RANGES.timeoutMs[0],
      streamEvents: STREAM.events,
      hostEndsMs: new Map(
        this.hosts.map(({endsMs, options}) => [options.name, endsMs]),
      ),
      crashesMs: this.workers
        .flatMap(({standin}) => crashesOf(standin))
        .sort((a, b) => a - b),
    };
  }

  /** Stops all hosts and stand-ins. */
  async stop(): Promise<void> {
    await Promise.all(this.hosts.map(host => host.dispose()));
    for (const link of this.storeLinks) await link.close();
    for (const {link, standin} of this.workers) {
      await link.close();
      await standin.stop();
    }
    await this.store.stop();
  }

  /** Lists a target that has no process, with an address of any form. */
  putOddEntry(isEngine: boolean, address: string): void {
    const worker = this.workers.find(each => each.isEngine === isEngine)!;
    const name = `odd-${this.oddEntries.length}`;
    this.oddEntries.push(name);
    const entry = {...worker.standin.registration(), Addr: address};
    this.store.put(STORE_TOPIC.targets, name, entry);
  }

  /** Ends the entries of targets that have no process. */
  removeOddEntries(): void {
    for (const name of this.oddEntries)
      this.store.put(STORE_TOPIC.targets, name, undefined);
  }

  private announce(worker: LinkedWorker, state: string): void {
    const {link, name, standin} = worker;
    worker.state = state;
    const Addr = `127.0.0.1:${link.port}`;
    const entry = {...standin.registration(state), Addr};
    this.store.put(STORE_TOPIC.targets, name, entry);
  }

  private async addWorker(i: number): Promise<void> {
    const isEngine = i >= PLAIN_COUNT;
    const name = `${isEngine ? 'e' : 'p'}${i}`;
    const standin = new PlatformWorkerStandin({
      id: name,
      service: isEngine ? SERVICE.engines : SERVICE.plain,
      zone: ZONES[i % ZONES.length],
      models: isEngine ? ['m1'] : undefined,
    });
    standin.streamEvents = STREAM.events;
    standin.eventGapMs = STREAM.gapMs;
    standin.largeBody = LARGE_BODY;
    await standin.start();
    const link = new FaultyLink(standin.port);
    await link.open();
    const worker = {name, standin, link, isEngine, state: 'ready'};
    this.workers.push(worker);
    standin.onCrash = () => link.suspend();
    standin.onRestart = () => {
      link.resume();
      this.announce(worker, worker.state);
    };
    this.announce(worker, 'ready');
  }

  private async addHost(i: number): Promise<void> {
    const link = new FaultyLink(Number(new URL(this.store.url).port));
    await link.open();
    this.storeLinks.push(link);
    this.hosts.push(
      new HostProcess({
        name: `host-${i}`,
        zone: ZONES[i % ZONES.length],
        address: loopbackAddress(this.number, i),
        storePort: link.port,
        folder: this.folderPath,
        bounds: this.bounds,
        args: this.args,
      }),
    );
  }
}
