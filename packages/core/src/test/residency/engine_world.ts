/** Simulated engine targets and a residency controller, on a manual clock. @packageDocumentation */

import {ZoneEvacuations} from '../../lib/evacuation/zone_evacuations.js';
import {DeploymentState} from '../../lib/gateway/deployment_state.js';
import {EngineConfig} from '../../lib/gateway/deployment.js';
import {KnownTarget, TargetTable} from '../../lib/gateway/target_table.js';
import {Result, ok} from 'neverthrow';
import {
  LeaseError,
  LeaseLog,
  LeaseTail,
} from '../../lib/residency/lease_log.js';
import {OrderLease} from '../../lib/residency/order_lease.js';
import {
  ORDER_REPLY,
  ResidencyOrder,
  OrderPort,
  OrderReply,
  ResidencyReport,
} from '../../lib/residency/order_port.js';
import {AccountRegistry} from '../../lib/residency/account_registry.js';
import {createController} from '../../lib/residency/controller_factory.js';
import {ResidencyController} from '../../lib/residency/residency_controller.js';
import {
  NotResident,
  ResidencyRequest,
} from '../../lib/residency/residency_request.js';
import {TokenLender} from '../../lib/residency/token_lender.js';
import {UsageTable} from '../../lib/residency/usage_table.js';
import {SilentLogger} from '../../lib/telemetry/logger.js';
import {TaskSupervisor} from '../../lib/tasks/task_supervisor.js';
import {LogPosition} from '../../lib/platform/log_position.js';
import {ManualClock} from '../../lib/time/manual_clock.js';
import {Random} from '../../lib/time/random.js';
import {noWork} from '../../lib/work/target_work.js';
import {encodeWork} from '../../lib/work/work_messages.js';
import {
  ENGINE_SERVICE,
  deploymentOf,
  engineConfig,
  targetRegistration,
} from '../gateway/gateway_fixtures.js';

const ADAPTER_LOAD_MS = 5;
const HOST = 'host-1';
const STEP_MS = 10;

/** Time from the end of an engine until its registration is replaced. */
const LAPSE_MS = 3_600;

/** Faults of orders and reports that a test can inject. */
export interface OrderFaults {
  /** Fraction of orders without an answer. */
  lossRate: number;
  /** Delay after which an order without an answer takes effect. */
  lateMs: number;
  /** Time that a report takes. */
  reportMs: number;
  /** Engine whose orders and reports throw an unexpected error. */
  throwingEngine?: string;
}

/** Loads that a weight store serves at full speed. */
const STORE_CONCURRENCY = 2;

/** Weight store; more concurrent loads take proportionally longer. */
class WeightStore {
  private loadingCount = 0;

  constructor(private readonly clock: ManualClock) {}

  /** Starts a load; returns the time that it takes. */
  start(nominalMs: number): number {
    this.loadingCount += 1;
    const loadMs =
      nominalMs * Math.max(1, this.loadingCount / STORE_CONCURRENCY);
    this.clock.after(loadMs, () => (this.loadingCount -= 1));
    return loadMs;
  }
}

/** Simulated engine that counts a crash for each order beyond its capacity. */
export class FakeEngine {
  readonly models = new Map<string, Set<string>>();
  /** Running requests by model, and by "model:adapter". */
  readonly running = new Map<string, number>();
  /** Clock times at which loads from the weight store started. */
  readonly storeLoads: number[] = [];
  orderCount = 0;
  crashes = 0;
  /** Model whose load ends the engine, and what happens then. */
  endingModel: string | undefined;
  onEnd: () => void = () => {};
  /** Order under way; a load ends after a time, an unload with its requests. */
  busy: {model: string; isUnload: boolean} | undefined;

  constructor(
    private readonly clock: ManualClock,
    private readonly engine: EngineConfig,
    private readonly onDisk: ReadonlySet<string>,
    private readonly store = new WeightStore(clock),
  ) {}

  get usedMb(): number {
    let usedMb = 0;
    for (const [model, adapters] of this.models) {
      const facts = this.engine.models.get(model)!;
      usedMb += facts.weightsMb + adapters.size * facts.adapterMb;
    }
    return usedMb;
  }

  get adapterCount(): number {
    let count = 0;
    for (const adapters of this.models.values()) count += adapters.size;
    return count;
  }

  execute(order: ResidencyOrder): OrderReply {
    if (order.expectedCount !== this.orderCount) return ORDER_REPLY.conflict;
    if (this.busy !== undefined) return ORDER_REPLY.conflict;
    const reply =
      order.adapter === undefined
        ? this.executeModelOrder(order)
        : this.executeAdapterOrder(order.verb, order.model, order.adapter);
    const isOver =
      this.usedMb > this.engine.weightsMb ||
      this.adapterCount > this.engine.adapterSlots;
    if (isOver) this.crashes += 1;
    return reply;
  }

  /** Ends the running requests of a model, and any unload that waits. */
  endRuns(model: string): void {
    this.running.delete(model);
    if (this.busy?.isUnload && this.busy.model === model) {
      this.models.delete(model);
      this.busy = undefined;
    }
  }

  private executeModelOrder({verb, model}: ResidencyOrder): OrderReply {
    const isHeld = this.models.has(model);
    if (isHeld === (verb === 'load')) return ORDER_REPLY.holds;
    this.orderCount += 1;
    if (verb === 'unload') {
      if ((this.running.get(model) ?? 0) > 0) {
        this.busy = {model, isUnload: true};
      } else this.models.delete(model);
      return ORDER_REPLY.accepted;
    }
    this.models.set(model, new Set());
    const facts = this.engine.models.get(model)!;
    const isOnDisk = this.onDisk.has(model);
    if (!isOnDisk) this.storeLoads.push(this.clock.now());
    this.busy = {model, isUnload: false};
    const loadMs = isOnDisk
      ? facts.diskLoadMs
      : this.store.start(facts.storeLoadMs);
    this.clock.after(loadMs, () => {
      this.busy = undefined;
    });
    if (model === this.endingModel)
      this.clock.after(loadMs / 2, () => this.onEnd());
    return ORDER_REPLY.accepted;
  }

  private executeAdapterOrder(
    verb: ResidencyOrder['verb'],
    model: string,
    adapter: string,
  ): OrderReply {
    const adapters = this.models.get(model);
    if (adapters === undefined) return ORDER_REPLY.rejected;
    if (adapters.has(adapter) === (verb === 'load')) return ORDER_REPLY.holds;
    this.orderCount += 1;
    if (verb === 'unload') {
      const isUsed = (this.running.get(`${model}:${adapter}`) ?? 0) > 0;
      if (isUsed) return ORDER_REPLY.accepted;
      adapters.delete(adapter);
      return ORDER_REPLY.holds;
    }
    adapters.add(adapter);
    this.clock.after(ADAPTER_LOAD_MS, () => {});
    return ORDER_REPLY.accepted;
  }
}

class FakeOrderPort extends OrderPort {
  readonly orders: ResidencyOrder[] = [];
  /** Number of reports requested from each engine. */
  readonly reportCounts = new Map<string, number>();

  constructor(
    private readonly world: EngineWorld,
    private readonly random: Random,
  ) {
    super();
  }

  override async send(
    target: KnownTarget,
    order: ResidencyOrder,
  ): Promise<OrderReply> {
    const {clock, faults} = this.world;
    this.orders.push(order);
    this.throwIfPlanned(target);
    const engine = this.world.engines.get(target.registration.id)!;
    if (this.random.float() < faults.lossRate) {
      clock.after(faults.lateMs, () => engine.execute(order));
      return ORDER_REPLY.unknown;
    }
    return engine.execute(order);
  }

  override async report(target: KnownTarget): Promise<ResidencyReport> {
    const {id} = target.registration;
    this.reportCounts.set(id, (this.reportCounts.get(id) ?? 0) + 1);
    const engine = this.world.engines.get(id)!;
    this.throwIfPlanned(target);
    await this.world.clock.sleep(this.world.faults.reportMs);
    return {
      orderCount: engine.orderCount,
      isBusy: engine.busy !== undefined,
      held: [...engine.models].map(([model, adapters]) => ({
        model,
        adapters: [...adapters],
      })),
      loadingAdapters: [],
    };
  }

  private throwIfPlanned({registration}: KnownTarget): void {
    if (registration.id === this.world.faults.throwingEngine)
      throw new Error('unexpected');
  }
}

/** Era of the lease log. */
const ERA = 1;

class EmptyLeaseLog extends LeaseLog {
  private end = 0;

  override async read(): Promise<Result<LeaseTail, 'unavailable'>> {
    const {end} = this;
    return ok({era: ERA, end, entries: [], isRestored: false});
  }

  override async append(): Promise<Result<LogPosition, LeaseError>> {
    return ok({era: ERA, offset: this.end++});
  }
}

/** A controller that holds the lease, with simulated engines. */
export class EngineWorld {
  readonly clock = new ManualClock();
  readonly engines = new Map<string, FakeEngine>();
  readonly usage = new UsageTable(this.clock);
  readonly faults: OrderFaults = {lossRate: 0, lateMs: 0, reportMs: 0};
  readonly port: FakeOrderPort;
  readonly registry: AccountRegistry;
  readonly controller: ResidencyController;
  /** Names of the tasks that failed. */
  readonly failedTasks: string[] = [];
  readonly evacuations = new ZoneEvacuations(this.clock);
  private readonly targets = new TargetTable(this.clock, this.evacuations);
  private readonly state = new DeploymentState();

  /**
   * @param held - models of each engine at the start.
   * @param engine - facts of the engines in the configuration.
   * @param onDisk - models on every engine's disk; all by default.
   */
  constructor(
    held: string[][],
    engine: EngineConfig = engineConfig(),
    onDisk: string[] = [...engine.models.keys()],
  ) {
    const {state} = this;
    this.configure(1, engine);
    const store = new WeightStore(this.clock);
    held.forEach((models, i) => {
      const id = `e${i + 1}`;
      const disk = new Set(onDisk);
      const fake = new FakeEngine(this.clock, engine, disk, store);
      for (const model of models) fake.models.set(model, new Set());
      this.engines.set(id, fake);
      const list = models.map(model => ({model, adapters: []}));
      const service = ENGINE_SERVICE;
      const registration = targetRegistration({
        id,
        address: `10.0.0.${i + 1}:8000`,
        service,
        slots: engine.slots,
        held: list,
        onDisk,
      });
      this.targets.put(registration, true);
    });
    const logger = new SilentLogger();
    const random = new Random(1);
    const lease = new OrderLease({
      clock: this.clock,
      random,
      log: new EmptyLeaseLog(),
      logger,
      host: HOST,
      owner: HOST,
      incarnation: HOST,
      holderGapMs: 0,
      hostCount: () => 1,
      claimDelayMs: 0,
      isFirstStart: true,
      onResign: () => {},
    });
    this.port = new FakeOrderPort(this, random);
    const {clock, port, usage, targets} = this;
    const {registry, controller} = createController({
      clock,
      logger,
      tasks: new TaskSupervisor(clock, logger, task =>
        this.failedTasks.push(task),
      ),
      state,
      targets,
      lease,
      port,
      usage,
      lender: new TokenLender(clock, state, 8_000),
      publish: () => {},
    });
    this.registry = registry;
    this.controller = controller;
    const {signal} = new AbortController();
    void lease.run(signal);
    void this.controller.run(signal);
  }

  /**
   * Lets the load of a model end the process of every engine. Its registration
   * lapses later, and another process is back at its address, with the models
   * of the start.
   *
   * @param model - name of the model.
   * @returns counts the ends.
   */
  endUnderLoad(model: string): {count: number} {
    const ends = {count: 0};
    for (const [id, engine] of this.engines) {
      engine.endingModel = model;
      engine.onEnd = () => {
        ends.count += 1;
        this.clock.after(LAPSE_MS, () => this.restartEngine(id));
      };
    }
    return ends;
  }

  private restartEngine(id: string): void {
    const engine = this.engines.get(id)!;
    const {registration} = this.targets.get(id)!;
    engine.models.clear();
    for (const {model} of registration.held)
      engine.models.set(model, new Set());
    engine.orderCount = 0;
    const startedMs = registration.startedMs + 1;
    this.targets.put({...registration, startedMs}, true);
  }

  /** Puts a configuration with the given facts of engines in force. */
  configure(version: number, engine: EngineConfig): void {
    const deployment = deploymentOf([], undefined, version);
    deployment.services.get(ENGINE_SERVICE)!.engine = engine;
    this.state.applyIfNewer(deployment);
  }

  /** Lets the target of an engine name a limit, or none any more. */
  nameLimit(id: string, perSecond: number | undefined): void {
    this.targets.recordLimit(this.targets.get(id)!, perSecond);
  }

  /** Sets the software version of the target of an engine. */
  setVersion(id: string, softwareVersion: string): void {
    const {registration} = this.targets.get(id)!;
    this.targets.put({...registration, softwareVersion}, false);
  }

  /** Removes a model from an engine, by another process of its target. */
  removeModel(id: string, model: string): void {
    const engine = this.engines.get(id)!;
    engine.models.delete(model);
    engine.orderCount = 0;
    const {registration} = this.targets.get(id)!;
    const held = registration.held.filter(each => each.model !== model);
    const startedMs = registration.startedMs + 1;
    this.targets.put({...registration, held, startedMs}, true);
  }

  /** Returns the number of reports requested from an engine. */
  reportsTo(id: string): number {
    return this.port.reportCounts.get(id) ?? 0;
  }

  /** Moves the target of an engine to another zone, as a new process. */
  setZone(id: string, zone: string): void {
    const {registration} = this.targets.get(id)!;
    const startedMs = registration.startedMs + 1;
    this.targets.put({...registration, zone, startedMs}, true);
  }

  /** Marks the target of an engine as leaving. */
  announceLeaving(id: string): void {
    this.targets.markLeaving(id, targetRegistration().startedMs);
  }

  /** Reports requests in flight and demand to the controller. */
  report(
    inFlight: Array<[string, string, number]>,
    rates: Record<string, number>,
    objectiveMs = 2_500,
  ): void {
    const demand = Object.entries(rates).map(([model, perSecond]) => ({
      service: ENGINE_SERVICE,
      model,
      perSecond,
      adapterPerSecond: 0,
      objectiveMs,
    }));
    this.usage.report(HOST, {inFlight, demand});
  }

  /** Reports duration factors of targets, each observed several times. */
  reportPaces(factors: Record<string, number>): void {
    const entries = Object.entries(factors).map(([id, factor]) =>
      encodeWork(id, {
        sums: noWork(),
        pace: {log: Math.log2(factor), count: 5},
      }),
    );
    const work = {entries, isFull: true};
    this.usage.report('pace-host', {inFlight: [], work});
  }

  /** Requests a target; the clock must be advanced for an answer. */
  async ask(
    model: string,
    adapter?: string,
    waitMs = 5_000,
    softwareVersion?: string,
  ): Promise<string | undefined> {
    const {signal} = new AbortController();
    const found = await this.request(
      model,
      adapter,
      waitMs,
      signal,
      softwareVersion,
    );
    return found.isOk() ? found.value : undefined;
  }

  /** Requests a target, and returns the refusal if there is one. */
  async refusal(
    model: string,
    waitMs: number,
    signal?: AbortSignal,
  ): Promise<NotResident | undefined> {
    const found = await this.request(model, undefined, waitMs, signal);
    return found.isErr() ? found.error : undefined;
  }

  private request(
    model: string,
    adapter: string | undefined,
    waitMs: number,
    signal = new AbortController().signal,
    softwareVersion?: string,
  ): Promise<Result<string, NotResident>> {
    const nowMs = this.clock.now();
    const request: ResidencyRequest = {
      service: ENGINE_SERVICE,
      model,
      adapter,
      objectiveEndMs: nowMs + 2_500,
      giveUpMs: nowMs + waitMs,
      tried: new Set(),
      softwareVersion,
    };
    return this.controller.find(request, signal);
  }

  /** Advances the clock until a promise is settled. */
  async settle<T>(promise: Promise<T>): Promise<T> {
    let isDone = false;
    void promise.finally(() => (isDone = true));
    await this.clock.advance(0);
    while (!isDone) await this.clock.advance(STEP_MS);
    return promise;
  }

  /** Returns the id of the target found, or undefined if none was in time. */
  find(
    model: string,
    adapter?: string,
    waitMs?: number,
  ): Promise<string | undefined> {
    return this.settle(this.ask(model, adapter, waitMs));
  }
}
