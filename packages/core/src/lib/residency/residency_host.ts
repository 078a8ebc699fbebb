/** Connects a host to the lease holder: queries, usage reports and views. @packageDocumentation */

import {Result, err, ok} from 'neverthrow';
import {ModelDemand} from '../gateway/caller_request.js';
import {ModelFinder, ModelSearch} from '../gateway/model_finder.js';
import {NOT_RUN, NotRunReason} from '../gateway/target_port.js';
import {
  KnownTarget,
  TargetTable,
  runsVersion,
} from '../gateway/target_table.js';
import {Loan, LoanRequest} from '../gateway/team_quotas.js';
import {PathReport} from '../paths/path_messages.js';
import {PeerIdentity, PeerNetwork} from '../peers/peer_network.js';
import {REFUSAL, Refusal, refuse} from '../requests/outcome.js';
import {Logger} from '../telemetry/logger.js';
import {Clock} from '../time/clock.js';
import {AccountRegistry} from './account_registry.js';
import {DemandRates} from './demand_rates.js';
import {HostCounter} from './host_counter.js';
import {LeaseHolder, OrderLease} from './order_lease.js';
import {ResidencyAccount} from './residency_account.js';
import {ResidencyController} from './residency_controller.js';
import {ResidencyRequest} from './residency_request.js';
import {
  BORROW_TOKENS,
  FIND_TARGET,
  FoundBody,
  HOST_USAGE,
  LEASE_RESIGNED,
  RESIDENCY_VIEW,
  TARGET_REFUSED,
  UsageBody,
  ViewBody,
} from './residency_messages.js';
import {WorkModel} from '../work/work_model.js';
import {decodeWork} from '../work/work_messages.js';
import {SuccessorTracker} from './successor_tracker.js';
import {TokenLender} from './token_lender.js';
import {UsageReporter} from './usage_reporter.js';
import {UsageTable} from './usage_table.js';
import {ResidencyViewPublisher} from './residency_view_publisher.js';

/** Number of hosts up to which each change is published at once. */
const MAX_HOSTS_FOR_IMMEDIATE_VIEWS = 20;

/**
 * Time after the last view from which the targets' own registrations are used
 * instead. A registration may be older than the view, but without a holder
 * nothing is ordered that would outdate it.
 */
const REGISTRATION_TRUST_MS = 6_000;

/** How long a host uses the last view that it received. */
const VIEW_LIFETIME_MS = 1_500;

/**
 * Number of hosts among which rates, budgets and connections are divided while
 * the real number is unknown. It is the largest number that the design
 * supports: a lower guess would let all hosts together take too much.
 */
const MAX_SUPPORTED_HOSTS = 330;

/** Shortest time that callers of streams wait for a first event. */
const MIN_CALLER_WAIT_MS = 1_800;

/** How long callers wait for a first event, in latency objectives. */
const CALLER_WAIT_OBJECTIVES = 3.5;

/** Delay before the holder is called again after a failed call. */
const RETRY_PAUSE_MS = 60;

/** Timeout of a loan: a reachable lender answers at once. */
const LOAN_TIMEOUT_MS = 250;

/** Retry delay for callers if the lease holder named none. */
const RETRY_AFTER_MS = 1_500;

/** Reasons that have their cause on this host and say nothing about the target. */
const HOST_REASONS: ReadonlySet<NotRunReason> = new Set([
  NOT_RUN.noConnection,
  NOT_RUN.noPath,
  NOT_RUN.withdrawn,
]);

/** Dependencies of {@link ResidencyHost}. */
export interface ResidencyHostParts {
  clock: Clock;
  logger: Logger;
  targets: TargetTable;
  lease: OrderLease;
  controller: ResidencyController;
  registry: AccountRegistry;
  usage: UsageTable;
  lender: TokenLender;
  work: WorkModel;
  /** Returns the tokens of each team used here in the last window, if known. */
  usedTokens: () => Array<[string, number]> | undefined;
  network: PeerNetwork;
  /** Returns the state of this host's paths, if it helps other hosts. */
  pathReport?: () => PathReport;
  /** Receives the states of the paths of all hosts, if this is the holder. */
  onPathReport?: (host: string, report: PathReport) => void;
}

/** {@link ModelFinder} of a gateway host. */
export class ResidencyHost extends ModelFinder {
  private readonly demand: DemandRates;
  private readonly hostCounter: HostCounter;
  private readonly successors: SuccessorTracker;
  private readonly viewPublisher: ResidencyViewPublisher;
  private readonly reporter: UsageReporter;
  private viewReceivedMs = -Infinity;

  /** @param parts - see {@link ResidencyHostParts}. */
  constructor(private readonly parts: ResidencyHostParts) {
    super();
    this.demand = new DemandRates(parts.clock);
    this.successors = new SuccessorTracker(parts.clock);
    this.hostCounter = new HostCounter(parts.clock);
    const {hostCounter, demand} = this;
    this.viewPublisher = new ResidencyViewPublisher({
      ...parts,
      hostCounter,
      applyView: view => this.applyView(view),
    });
    this.reporter = new UsageReporter({
      ...parts,
      hostCounter,
      demand,
      handleReport: (from, report) => this.handleReport(from, report),
    });
    parts.lease.onChange(() => this.countRecordedHosts());
    this.registerHandlers();
  }

  /** Whether the holder's view takes precedence over registrations. */
  get hasCurrentView(): boolean {
    if (this.parts.controller.isActive) return true;
    return this.parts.clock.now() - this.viewReceivedMs < VIEW_LIFETIME_MS;
  }

  /** The lease holder, if it is this host or has sent a view lately. */
  get liveHolder(): LeaseHolder | undefined {
    return this.hasCurrentView ? this.parts.lease.holder : undefined;
  }

  /** Whether the models in registrations replace those of the last view. */
  get shouldTrustRegistrations(): boolean {
    if (this.parts.controller.isActive) return false;
    return this.parts.clock.now() - this.viewReceivedMs > REGISTRATION_TRUST_MS;
  }

  /** Upper estimate of the hosts that share rates, budgets and connections. */
  get hostCount(): number {
    return this.reportedHostCount ?? MAX_SUPPORTED_HOSTS;
  }

  /** The same, as reported by lease holders lately; undefined if none has. */
  get reportedHostCount(): number | undefined {
    return this.hostCounter.count;
  }

  /**
   * Records the host count of the newest lease record. A new holder receives
   * the hosts' reports one after the other, so the log has the better count.
   */
  private countRecordedHosts(): void {
    const {controller, lease} = this.parts;
    const recorded = lease.recordedHostCount ?? 0;
    if (recorded > 1 && !controller.isActive) this.hostCounter.record(recorded);
  }

  /**
   * Borrows tokens from the lease holder.
   *
   * @returns the loan, or undefined if the holder cannot be reached.
   */
  async borrow(
    request: LoanRequest,
    signal: AbortSignal,
  ): Promise<Loan | undefined> {
    const {controller, lease, lender, network} = this.parts;
    if (controller.isActive) return lender.lend(request);
    const {holder} = lease;
    if (holder === undefined || !this.hasCurrentView) return undefined;
    const loan = await network.call(holder.host, BORROW_TOKENS, request, {
      timeoutMs: LOAN_TIMEOUT_MS,
      signal,
    });
    return loan.isOk() ? loan.value : undefined;
  }

  override countRequest(
    service: string,
    demand: ModelDemand,
    objectiveMs: number,
  ): void {
    this.demand.record(service, demand, objectiveMs);
  }

  /** Publishes which models of a target take requests. */
  publish(account: ResidencyAccount): void {
    this.viewPublisher.publish(account);
    if (this.hostCount <= MAX_HOSTS_FOR_IMMEDIATE_VIEWS)
      this.viewPublisher.send();
  }

  /** Notifies the hosts that this one resigned as the lease holder. */
  announceResignation(): void {
    const {lease, network} = this.parts;
    const connected = network.connected();
    const body = {
      fencing: lease.fencingNumber,
      leaseEnd: lease.knownEnd,
      successor: this.successors.best(connected.map(({host}) => host)),
    };
    network.broadcast(LEASE_RESIGNED, body);
  }

  /**
   * Sends usage reports and views until the signal aborts.
   *
   * @param signal - stops the task.
   */
  async run(signal: AbortSignal): Promise<void> {
    await Promise.all([
      this.viewPublisher.run(signal),
      this.reporter.run(signal),
    ]);
  }

  override async find(
    search: ModelSearch,
    signal: AbortSignal,
  ): Promise<Result<KnownTarget, Refusal>> {
    const {clock} = this.parts;
    const giveUpMs = this.giveUpMs(search);
    let retryAfterMs = RETRY_AFTER_MS;
    while (!signal.aborted && clock.now() < giveUpMs) {
      const found = await this.askHolder(search, giveUpMs, signal);
      if (found?.target !== undefined) {
        const target = this.adoptFound(found.target, search);
        if (target !== undefined) return ok(target);
      } else if (found !== undefined) {
        retryAfterMs = found.retryAfterMs;
        if (found.isFinal) break;
      }
      await clock.sleep(RETRY_PAUSE_MS, signal);
      const held = this.findHeldTarget(search);
      if (held !== undefined) return ok(held);
    }
    const {model} = search.demand;
    const message = `no target holds ${model}`;
    return err(refuse(REFUSAL.noCapacity, message, retryAfterMs));
  }

  override recordNotRun(
    target: KnownTarget,
    {model, adapter}: ModelDemand,
    reason: NotRunReason,
  ): void {
    if (reason === NOT_RUN.refused || reason === NOT_RUN.modelAbsent) {
      target.dropHeld({model, adapter});
    }
    if (HOST_REASONS.has(reason)) return;
    const {registry, controller, lease, network} = this.parts;
    const body = {target: target.registration.id, model, adapter, reason};
    if (controller.isActive) registry.recordRefusal(network.self.host, body);
    else if (lease.holder !== undefined) {
      network.notify(lease.holder.host, TARGET_REFUSED, body);
    }
  }

  private giveUpMs({objectiveEndMs, deadlineMs}: ModelSearch): number {
    const nowMs = this.parts.clock.now();
    const leftMs = Math.max(0, objectiveEndMs - nowMs);
    const waitMs = Math.max(
      MIN_CALLER_WAIT_MS,
      leftMs * CALLER_WAIT_OBJECTIVES,
    );
    return Math.min(deadlineMs, nowMs + waitMs);
  }

  private async askHolder(
    search: ModelSearch,
    giveUpMs: number,
    signal: AbortSignal,
  ): Promise<FoundBody | undefined> {
    const {clock, controller, lease, network} = this.parts;
    const {service, demand, objectiveEndMs, softwareVersion, tried} = search;
    const {model, adapter} = demand;
    if (controller.isActive) {
      return this.findAsHolder(
        {
          service,
          model,
          adapter,
          objectiveEndMs,
          giveUpMs,
          tried,
          softwareVersion,
        },
        signal,
      );
    }
    const {holder} = lease;
    if (holder === undefined || holder.host === network.self.host) return;
    const nowMs = clock.now();
    const body = {
      service,
      model,
      adapter,
      objectiveInMs: objectiveEndMs - nowMs,
      giveUpInMs: giveUpMs - nowMs,
      tried: [...tried],
      softwareVersion,
    };
    const timeoutMs = giveUpMs - nowMs;
    const found = await network.call(holder.host, FIND_TARGET, body, {
      timeoutMs,
      signal,
    });
    return found.isOk() ? found.value : undefined;
  }

  /** Finds a target for a request of any host, as the lease holder. */
  private async findAsHolder(
    request: ResidencyRequest,
    signal: AbortSignal,
  ): Promise<FoundBody> {
    const found = await this.parts.controller.find(request, signal);
    if (found.isErr()) return found.error;
    return {target: found.value, retryAfterMs: 0, isFinal: true};
  }

  private adoptFound(
    id: string,
    {demand, softwareVersion}: ModelSearch,
  ): KnownTarget | undefined {
    const target = this.parts.targets.get(id);
    if (target === undefined || !target.takesRequests) return undefined;
    if (!runsVersion(target, softwareVersion)) return undefined;
    target.addHeld(demand);
    return target;
  }

  private findHeldTarget(search: ModelSearch): KnownTarget | undefined {
    const {model, adapter} = search.demand;
    for (const target of this.parts.targets.ofService(search.service)) {
      if (!target.takesRequests) continue;
      if (search.tried.has(target.registration.id)) continue;
      if (!runsVersion(target, search.softwareVersion)) continue;
      if (target.holds(model, adapter) && !target.health.isAvoided) {
        return target;
      }
    }
    return undefined;
  }

  private registerHandlers(): void {
    const {registry, clock, controller, lease, lender, network} = this.parts;
    network.serveUnary(BORROW_TOKENS, request => {
      // A rejected call makes the host use its own share of the rate.
      if (!controller.isActive) throw new Error('not the lease holder');
      return lender.lend(request);
    });
    network.serveUnary(FIND_TARGET, (body, {signal}) => {
      const nowMs = clock.now();
      return this.findAsHolder(
        {
          service: body.service,
          model: body.model,
          adapter: body.adapter,
          objectiveEndMs: nowMs + body.objectiveInMs,
          giveUpMs: nowMs + body.giveUpInMs,
          tried: new Set(body.tried),
          softwareVersion: body.softwareVersion,
        },
        signal,
      );
    });
    network.onNotification(TARGET_REFUSED, (body, from) =>
      registry.recordRefusal(from.host, body),
    );
    network.onNotification(HOST_USAGE, (body, from) => {
      const {path, successorRankMs} = body;
      this.successors.record(from.host, successorRankMs, path?.isSound);
      this.handleReport(from, body);
      this.viewPublisher.sendFullView(from);
    });
    network.onNotification(
      LEASE_RESIGNED,
      ({fencing, leaseEnd: end, successor}, {incarnation}) => {
        lease.recordHolderContact({incarnation, fencing, end});
        lease.handleResignation(fencing, successor === network.self.host);
      },
    );
    network.onNotification(RESIDENCY_VIEW, (body, from) => {
      this.handleView(body, from.incarnation);
    });
  }

  private handleView(body: ViewBody, incarnation: string): void {
    const {clock, controller, lease} = this.parts;
    if (controller.isActive) return;
    const {fencing, leaseEnd: end} = body;
    lease.recordHolderContact({incarnation, fencing, end});
    if (lease.holder?.incarnation !== incarnation) return;
    this.viewReceivedMs = clock.now();
    this.hostCounter.record(Math.max(1, body.hosts));
    this.applyView(body);
  }

  private applyView({
    crowded,
    targets,
    work = [],
  }: Pick<ViewBody, 'crowded' | 'targets' | 'work'>) {
    const table = this.parts.targets;
    for (const {id, held} of targets) {
      table.get(id)?.replaceHeld(held);
    }
    for (const [id, load] of crowded) table.get(id)?.setReportedLoad(load);
    for (const entry of work) {
      const target = table.get(entry[0]);
      if (target !== undefined)
        this.parts.work.applyPublished(target, decodeWork(entry));
    }
  }

  private handleReport({host}: PeerIdentity, body: UsageBody): void {
    const {lender, onPathReport, usage} = this.parts;
    usage.report(host, body);
    const {path, usedTokens} = body;
    if (path !== undefined) onPathReport?.(host, path);
    if (usedTokens === undefined) return;
    lender.recordUsed(host, usedTokens, this.hostCount);
  }
}
