/** Many hosts in one process, on a manual clock. @packageDocumentation */

import {DeploymentState} from '../../lib/gateway/deployment_state.js';
import {TargetTable} from '../../lib/gateway/target_table.js';
import {MemoryHub} from '../../lib/peers/memory_peer_network.js';
import {createController} from '../../lib/residency/controller_factory.js';
import {OrderLease} from '../../lib/residency/order_lease.js';
import {
  ORDER_REPLY,
  OrderPort,
  OrderReply,
  ResidencyReport,
} from '../../lib/residency/order_port.js';
import {ResidencyHost} from '../../lib/residency/residency_host.js';
import {TokenLender} from '../../lib/residency/token_lender.js';
import {UsageTable} from '../../lib/residency/usage_table.js';
import {TaskSupervisor} from '../../lib/tasks/task_supervisor.js';
import {SilentLogger} from '../../lib/telemetry/logger.js';
import {ManualClock} from '../../lib/time/manual_clock.js';
import {Random} from '../../lib/time/random.js';
import {WorkModel} from '../../lib/work/work_model.js';
import {
  ENGINE_SERVICE,
  deploymentOf,
  targetRegistration,
} from '../gateway/gateway_fixtures.js';
import {SharedLog, FaultyLeaseLog} from './lease_log_fixtures.js';

const WINDOW_MS = 8_000;
const HOLDER_GAP_MS = 3_000;
const STEP_MS = 25;
const MODELS = ['m0', 'm1', 'm2'];

/** Order port of targets that always hold the same models. */
class FixedOrderPort extends OrderPort {
  override async send(): Promise<OrderReply> {
    return ORDER_REPLY.holds;
  }

  override async report(): Promise<ResidencyReport> {
    const held = MODELS.map(model => ({model, adapters: []}));
    return {orderCount: 0, isBusy: false, held, loadingAdapters: []};
  }
}

/** One host of a {@link FleetWorld}. */
export interface FleetHost {
  lease: OrderLease;
  log: FaultyLeaseLog;
  targets: TargetTable;
  residency: ResidencyHost;
  stop: AbortController;
}

/** Hosts that share a lease log, a network and the targets. */
export class FleetWorld {
  readonly clock = new ManualClock();
  readonly hosts: FleetHost[] = [];
  private readonly hub = new MemoryHub(this.clock, new Random(1));
  private readonly shared = new SharedLog();
  private readonly state = new DeploymentState();
  private starts = 0;

  /**
   * @param hostCount - number of hosts to start.
   * @param targetCount - number of engine targets that all hosts know.
   */
  constructor(
    hostCount: number,
    private readonly targetCount: number,
  ) {
    this.state.applyIfNewer(deploymentOf([]));
    for (let i = 0; i < hostCount; i++) this.hosts.push(this.start(i));
  }

  /** Index of the host that holds the lease; -1 if none does. */
  get holder(): number {
    return this.hosts.findIndex(({lease}) => lease.isHeld);
  }

  /** Number of hosts that are the holder or receive its views. */
  get connectedCount(): number {
    return this.hosts.filter(
      ({residency}) => residency.liveHolder !== undefined,
    ).length;
  }

  /** Stops a host without a message to its peers. */
  kill(i: number): void {
    const {log, stop} = this.hosts[i];
    log.faults.isCut = true;
    stop.abort();
    this.hub.remove(`host-${i}`);
  }

  /** Restarts a killed host without any state. */
  restart(i: number): void {
    this.hosts[i] = this.start(i);
  }

  /** Advances the clock in steps. */
  async run(durationMs: number): Promise<void> {
    for (let ms = 0; ms < durationMs; ms += STEP_MS) {
      await this.clock.advance(STEP_MS);
    }
  }

  private start(i: number): FleetHost {
    const {clock, state} = this;
    const host = `host-${i}`;
    const incarnation = `${i}-${this.starts++}`;
    const network = this.hub.join({host, zone: 'z', incarnation});
    const log = new FaultyLeaseLog(clock, this.shared);
    const logger = new SilentLogger();
    const targets = new TargetTable(clock);
    for (let t = 0; t < this.targetCount; t++) {
      const summary = {id: `e${t}`, service: ENGINE_SERVICE};
      targets.put(targetRegistration(summary), true);
    }
    const lease = new OrderLease({
      clock,
      random: new Random(this.starts),
      log,
      logger,
      host,
      owner: host,
      incarnation,
      holderGapMs: HOLDER_GAP_MS,
      hostCount: () => residency.reportedHostCount ?? 1,
      claimDelayMs: 300,
      isFirstStart: true,
      onResign: () => residency.announceResignation(),
    });
    const usage = new UsageTable(clock);
    const lender = new TokenLender(clock, state, WINDOW_MS);
    const port = new FixedOrderPort();
    const {registry, controller} = createController({
      clock,
      logger,
      tasks: new TaskSupervisor(clock, logger),
      state,
      targets,
      lease,
      port,
      usage,
      lender,
      publish: account => residency.publish(account),
    });
    const residency: ResidencyHost = new ResidencyHost({
      clock,
      logger,
      targets,
      lease,
      controller,
      registry,
      usage,
      lender,
      work: new WorkModel({
        clock,
        random: new Random(i),
        state,
        hostCount: () => residency.hostCount,
      }),
      usedTokens: () => [],
      network,
    });
    const stop = new AbortController();
    void lease.run(stop.signal);
    void controller.run(stop.signal);
    void residency.run(stop.signal);
    return {lease, log, targets, residency, stop};
  }
}
