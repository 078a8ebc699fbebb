/** A host's part in residency: it asks, reports and hears of views. @packageDocumentation */

import {Result, err, ok} from 'neverthrow';
import {ModelDemand} from '../gateway/caller_request.js';
import {ModelFinder, ModelSearch} from '../gateway/model_finder.js';
import {NOT_RUN, NotRunReason} from '../gateway/target_port.js';
import {KnownTarget, TargetTable} from '../gateway/target_table.js';
import {Loan, LoanRequest} from '../gateway/team_quotas.js';
import {PeerIdentity, PeerNetwork} from '../peers/peer_network.js';
import {REFUSAL, Refusal, refuse} from '../requests/outcome.js';
import {Logger} from '../telemetry/logger.js';
import {Clock} from '../time/clock.js';
import {WakeableSleep} from '../time/wakeable_sleep.js';
import {AccountBook} from './account_book.js';
import {DemandBook} from './demand_book.js';
import {HostCensus} from './host_census.js';
import {LeaseHolder, OrderLease} from './order_lease.js';
import {ResidencyAccount} from './residency_account.js';
import {ResidencyController, ResidencyRequest} from './residency_controller.js';
import {
  BORROW_TOKENS,
  FIND_TARGET,
  FoundBody,
  HOST_USAGE,
  LEASE_RESIGNED,
  RESIDENCY_VIEW,
  TARGET_REFUSED,
  TargetView,
  UsageBody,
  ViewBody,
} from './residency_messages.js';
import {SuccessorBook} from './successor_book.js';
import {TokenLender} from './token_lender.js';
import {UsageTable} from './usage_table.js';

/** Time between reports of a host. */
const REPORT_INTERVAL_MS = 100;

/** Time between views of the holder, where changes are not told at once. */
const VIEW_INTERVAL_MS = 100;

/** What each host adds to it: each view is written to each host. */
const VIEW_MS_PER_HOST = 1;

/** Time between looks at whether this host has become the holder. */
const IDLE_MS = 500;

/** Hosts up to which each change is told at once. */
const MAX_HOSTS_AT_ONCE = 20;

/**
 * What each host adds to that time, so that the holder's work does not grow
 * with the square of the hosts.
 */
const REPORT_MS_PER_HOST = 5;

/** A report or view without news is sent after this time. */
const HEARTBEAT_MS = 300;

/**
 * Time between views that name every target, and what each host adds to it. A
 * host that has just come gets one at once, and changes go to all; this mends
 * what was lost with a link that fell behind.
 */
const FULL_VIEW_MS = 2_000;
const FULL_VIEW_MS_PER_HOST = 40;

/** Change of a target's load that hosts are told of at once. */
const TOLD_LOAD_CHANGE = 0.08;

/** Time after which a load that changed less is told again. */
const LOAD_REPEAT_MS = 500;

/**
 * In flight, as a share of the slots, from which hosts are told of a target's
 * load; below it they may all prefer the near one.
 */
const CROWDED_LOAD = 0.25;

/** Reports from one that tells the demand for models to the next. */
const DEMAND_INTERVALS = 5;

/**
 * Time after the last view from which targets' own notices are believed: they
 * are older than the view, and nothing is ordered without a holder.
 */
const NOTICE_TRUST_MS = 6_000;

/** How long a host believes the view that it was told. */
const VIEW_LIFE_MS = 1_500;

/**
 * Hosts among which rates, budgets and connections are divided before anybody
 * has told how many there are: the most that the design is made for, since a
 * guess that is too low would let all of them together take too much.
 */
const MOST_HOSTS = 330;

/** Shortest time that callers of streams wait for a first event. */
const MIN_CALLER_WAIT_MS = 1_800;

/** How long callers wait for a first event, in latency objectives. */
const CALLER_WAIT_OBJECTIVES = 3.5;

/** Pause before the holder is asked again after a failed call. */
const RETRY_PAUSE_MS = 60;

/** Longest wait for a loan: a lender that is reached answers at once. */
const LOAN_LIMIT_MS = 250;

/** When a caller may come back whose model has no holder in sight. */
const RETRY_AFTER_MS = 1_500;

/** What a {@link ResidencyHost} works with. */
export interface ResidencyHostParts {
  clock: Clock;
  logger: Logger;
  targets: TargetTable;
  lease: OrderLease;
  controller: ResidencyController;
  book: AccountBook;
  usage: UsageTable;
  lender: TokenLender;
  /** Tokens that each team has used here in the last window. */
  usedTokens: () => Array<[string, number]>;
  network: PeerNetwork;
}

/** The {@link ModelFinder} of a gateway host. */
export class ResidencyHost extends ModelFinder {
  private readonly demand: DemandBook;
  private demandSentMs = -Infinity;
  private demandHolder = '';
  private readonly census: HostCensus;
  private viewHeardMs = -Infinity;
  private reportSentMs = -Infinity;
  private lastReport = '';
  private reportHolder = '';
  private readonly successors: SuccessorBook;
  private readonly changedViews = new Map<string, ResidencyAccount>();
  private viewSentMs = -Infinity;
  private fullViewSentMs = -Infinity;
  /** Incarnations of the hosts that have this holder's full view. */
  private readonly briefed = new Set<string>();
  private readonly toldLoads = new Map<string, {load: number; ms: number}>();

  /** @param parts - see {@link ResidencyHostParts}. */
  constructor(private readonly parts: ResidencyHostParts) {
    super();
    this.demand = new DemandBook(parts.clock);
    this.successors = new SuccessorBook(parts.clock);
    this.census = new HostCensus(parts.clock);
    parts.lease.onChange(() => this.noteRecordedHosts());
    this.serve();
  }

  /** Whether the holder's view goes before what targets announce. */
  get followsView(): boolean {
    if (this.parts.controller.isActive) return true;
    return this.parts.clock.now() - this.viewHeardMs < VIEW_LIFE_MS;
  }

  /** The lease holder, while it is heard or is this host. */
  get heardHolder(): LeaseHolder | undefined {
    return this.followsView ? this.parts.lease.holder : undefined;
  }

  /** Whether what targets announce to hold is newer than the last view. */
  get trustsNotices(): boolean {
    if (this.parts.controller.isActive) return false;
    return this.parts.clock.now() - this.viewHeardMs > NOTICE_TRUST_MS;
  }

  /** Hosts that share rates, budgets and connections: rather too many. */
  get hostCount(): number {
    return this.toldHosts ?? MOST_HOSTS;
  }

  /** The same, as the holders have told of late; undefined if none has. */
  get toldHosts(): number | undefined {
    return this.census.count;
  }

  /** A new holder hears the hosts one after the other: the log knows better. */
  private noteRecordedHosts(): void {
    const {controller, lease} = this.parts;
    const recorded = lease.recordedHosts ?? 0;
    if (recorded > 1 && !controller.isActive) this.census.note(recorded);
  }

  /**
   * Borrows tokens from the lease holder.
   *
   * @returns the loan, or nothing if the holder cannot be reached.
   */
  async borrow(
    request: LoanRequest,
    signal: AbortSignal,
  ): Promise<Loan | undefined> {
    const {controller, lease, lender, network} = this.parts;
    if (controller.isActive) return lender.lend(request);
    const {holder} = lease;
    if (holder === undefined || !this.followsView) return undefined;
    const loan = await network.call(holder.host, BORROW_TOKENS, request, {
      timeoutMs: LOAN_LIMIT_MS,
      signal,
    });
    return loan.isOk() ? loan.value : undefined;
  }

  override noteArrival(
    service: string,
    demand: ModelDemand,
    objectiveMs: number,
  ): void {
    this.demand.note(service, demand, objectiveMs);
  }

  /** Notes that the hosts must hear what a target can be sent. */
  publish(account: ResidencyAccount): void {
    this.changedViews.set(account.id, account);
    this.applyView(this.viewOf(account));
    if (this.hostCount <= MAX_HOSTS_AT_ONCE) this.sendViews();
  }

  /** Tells the hosts that this one gave the order lease up. */
  tellResigned(): void {
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
   * Reports and sends views until the signal aborts.
   *
   * @param signal - ends the task.
   */
  async run(signal: AbortSignal): Promise<void> {
    const {clock} = this.parts;
    void this.runViews(signal);
    while (!signal.aborted) {
      const isTold = this.sendReport();
      // Nothing is heard of the holder before it has heard of this host.
      await clock.sleep(isTold ? this.intervalMs : REPORT_INTERVAL_MS, signal);
    }
  }

  private async runViews(signal: AbortSignal): Promise<void> {
    const {clock, controller, lease} = this.parts;
    const pause = new WakeableSleep(clock);
    lease.onChange(() => pause.wake());
    while (!signal.aborted) {
      this.sendViews();
      const isActive = controller.isActive;
      await pause.sleep(isActive ? this.viewIntervalMs : IDLE_MS, signal);
    }
  }

  private get viewIntervalMs(): number {
    const hosts = this.toldHosts ?? 1;
    return Math.max(VIEW_INTERVAL_MS, hosts * VIEW_MS_PER_HOST);
  }

  private get intervalMs(): number {
    const hosts = this.toldHosts ?? 1;
    return Math.max(REPORT_INTERVAL_MS, hosts * REPORT_MS_PER_HOST);
  }

  override async find(
    search: ModelSearch,
    signal: AbortSignal,
  ): Promise<Result<KnownTarget, Refusal>> {
    const {clock} = this.parts;
    const giveUpMs = this.giveUpMs(search);
    let retryAfterMs = RETRY_AFTER_MS;
    while (!signal.aborted && clock.now() < giveUpMs) {
      const found = await this.ask(search, giveUpMs, signal);
      if (found?.target !== undefined) {
        const target = this.adoptFound(found.target, search.demand);
        if (target !== undefined) return ok(target);
      } else if (found !== undefined) {
        retryAfterMs = found.retryAfterMs;
        if (found.isFinal) break;
      }
      await clock.sleep(RETRY_PAUSE_MS, signal);
      const held = this.heldSomewhere(search);
      if (held !== undefined) return ok(held);
    }
    const {model} = search.demand;
    const message = `no target holds ${model}`;
    return err(refuse(REFUSAL.noCapacity, message, retryAfterMs));
  }

  override noteNotRun(
    target: KnownTarget,
    {model, adapter}: ModelDemand,
    reason: NotRunReason,
  ): void {
    if (reason === NOT_RUN.refused || reason === NOT_RUN.modelAbsent) {
      if (adapter === undefined) target.held.delete(model);
      else target.held.get(model)?.delete(adapter);
    }
    const saysLittle =
      reason === NOT_RUN.noConnection || reason === NOT_RUN.withdrawn;
    // Both are the doing of this host.
    if (saysLittle) return;
    const {book, controller, lease, network} = this.parts;
    const body = {target: target.notice.id, model, adapter, reason};
    if (controller.isActive) book.noteRefused(network.self.host, body);
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

  private async ask(
    search: ModelSearch,
    giveUpMs: number,
    signal: AbortSignal,
  ): Promise<FoundBody | undefined> {
    const {clock, controller, lease, network} = this.parts;
    const {service, demand, objectiveEndMs, tried} = search;
    const {model, adapter} = demand;
    if (controller.isActive) {
      return this.findHere(
        {service, model, adapter, objectiveEndMs, giveUpMs, tried},
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
    };
    const timeoutMs = giveUpMs - nowMs;
    const found = await network.call(holder.host, FIND_TARGET, body, {
      timeoutMs,
      signal,
    });
    return found.isOk() ? found.value : undefined;
  }

  /** Decides for a request of any host, as the lease holder. */
  private async findHere(
    request: ResidencyRequest,
    signal: AbortSignal,
  ): Promise<FoundBody> {
    const found = await this.parts.controller.find(request, signal);
    if (found.isErr()) return found.error;
    return {target: found.value, retryAfterMs: 0, isFinal: true};
  }

  private adoptFound(
    id: string,
    {model, adapter}: ModelDemand,
  ): KnownTarget | undefined {
    const target = this.parts.targets.get(id);
    if (target === undefined || !target.takesRequests) return undefined;
    let adapters = target.held.get(model);
    if (adapters === undefined) {
      adapters = new Set();
      target.held.set(model, adapters);
    }
    if (adapter !== undefined) adapters.add(adapter);
    return target;
  }

  private heldSomewhere(search: ModelSearch): KnownTarget | undefined {
    const {model, adapter} = search.demand;
    for (const target of this.parts.targets.ofService(search.service)) {
      if (!target.takesRequests) continue;
      if (search.tried.has(target.notice.id)) continue;
      if (target.holds(model, adapter) && !target.health.isAvoided) {
        return target;
      }
    }
    return undefined;
  }

  private serve(): void {
    const {book, clock, controller, lease, lender, network} = this.parts;
    network.serveUnary(BORROW_TOKENS, request => {
      // A rejected call makes the host use its own part of the rate.
      if (!controller.isActive) throw new Error('not the lease holder');
      return lender.lend(request);
    });
    network.serveUnary(FIND_TARGET, (body, {signal}) => {
      const nowMs = clock.now();
      return this.findHere(
        {
          service: body.service,
          model: body.model,
          adapter: body.adapter,
          objectiveEndMs: nowMs + body.objectiveInMs,
          giveUpMs: nowMs + body.giveUpInMs,
          tried: new Set(body.tried),
        },
        signal,
      );
    });
    network.onNote(TARGET_REFUSED, (body, from) =>
      book.noteRefused(from.host, body),
    );
    network.onNote(HOST_USAGE, (body, from) => {
      this.successors.note(from.host, body.successorRankMs);
      this.takeReport(from, body);
      this.brief(from);
    });
    network.onNote(LEASE_RESIGNED, ({fencing, leaseEnd, successor}, from) => {
      lease.noteHolderHeard(from.incarnation, leaseEnd);
      lease.noteResigned(fencing, successor === network.self.host);
    });
    network.onNote(RESIDENCY_VIEW, (body, from) => {
      this.hearView(body, from.incarnation);
    });
  }

  private hearView(body: ViewBody, incarnation: string): void {
    const {clock, controller, lease} = this.parts;
    if (controller.isActive) return;
    lease.noteHolderHeard(incarnation, body.leaseEnd);
    if (lease.holder?.incarnation !== incarnation) return;
    this.viewHeardMs = clock.now();
    this.census.note(Math.max(1, body.hosts));
    for (const view of body.targets) this.applyView(view);
    this.applyLoads(body.crowded);
  }

  private applyLoads(crowded: ViewBody['crowded']): void {
    const {targets} = this.parts;
    for (const [id, load] of crowded) targets.get(id)?.noteLoad(load);
  }

  /** @returns the targets that fill up and of which there is news. */
  private crowded(): ViewBody['crowded'] {
    const {book, clock, usage} = this.parts;
    const nowMs = clock.now();
    const crowded: ViewBody['crowded'] = [];
    for (const account of book.all()) {
      const load = Number(account.load(usage).toFixed(2));
      const told = this.toldLoads.get(account.id);
      if (told === undefined && load < CROWDED_LOAD) continue;
      const change = Math.abs(load - (told?.load ?? 0));
      const isDue = nowMs - (told?.ms ?? -Infinity) >= LOAD_REPEAT_MS;
      if (change < TOLD_LOAD_CHANGE && !isDue) continue;
      crowded.push([account.id, load]);
      if (load < CROWDED_LOAD) this.toldLoads.delete(account.id);
      else this.toldLoads.set(account.id, {load, ms: nowMs});
    }
    return crowded;
  }

  private applyView({id, held}: TargetView): void {
    const target = this.parts.targets.get(id);
    if (target === undefined) return;
    target.held.clear();
    for (const [model, adapters] of held) {
      target.held.set(model, new Set(adapters));
    }
  }

  private viewOf(account: ResidencyAccount): TargetView {
    const nowMs = this.parts.clock.now();
    const held: Array<[string, string[]]> = [];
    for (const [model, resident] of account.residents) {
      if (resident.readyMs > nowMs || resident.isLeaving) continue;
      if (resident.isRetiring) continue;
      if (!account.isProven(model, nowMs)) continue;
      const adapters = [...resident.adapters]
        .filter(([, {readyMs, isLeaving}]) => readyMs <= nowMs && !isLeaving)
        .map(([adapter]) => adapter);
      held.push([model, adapters]);
    }
    return {id: account.id, held};
  }

  /** @returns whether the holder knows what there is to know. */
  private sendReport(): boolean {
    const {clock, controller, lease, network} = this.parts;
    const {holder} = lease;
    if (holder === undefined) return false;
    const nowMs = clock.now();
    const inFlight = this.inFlight();
    const text = JSON.stringify(inFlight);
    const isNews = text !== this.lastReport;
    const isNewHolder = holder.incarnation !== this.reportHolder;
    const isDue = isNews || nowMs - this.reportSentMs >= HEARTBEAT_MS;
    if (!isDue && !isNewHolder) return true;
    const withDemand =
      holder.incarnation !== this.demandHolder ||
      nowMs - this.demandSentMs >= DEMAND_INTERVALS * this.intervalMs;
    const body: UsageBody = {
      usedTokens: isNewHolder ? this.parts.usedTokens() : undefined,
      successorRankMs: lease.successorRankMs,
      inFlight,
      demand: withDemand ? this.demand.rates() : undefined,
    };
    if (controller.isActive) this.takeReport(network.self, body);
    else if (!network.notify(holder.host, HOST_USAGE, body)) return false;
    this.lastReport = text;
    this.reportSentMs = nowMs;
    this.reportHolder = holder.incarnation;
    if (!withDemand) return true;
    this.demandSentMs = nowMs;
    this.demandHolder = holder.incarnation;
    return true;
  }

  private inFlight(): Array<[string, string, number]> {
    const all: Array<[string, string, number]> = [];
    for (const target of this.parts.targets.all()) {
      for (const [key, count] of target.inFlightByModel) {
        all.push([target.notice.id, key, count]);
      }
    }
    return all;
  }

  private takeReport({host}: PeerIdentity, body: UsageBody): void {
    const {lender, usage} = this.parts;
    usage.report(host, body);
    const {usedTokens} = body;
    if (usedTokens === undefined) return;
    lender.noteUsed(host, usedTokens, this.hostCount);
  }

  /** Gives a host that has just come all that the others have been told. */
  private brief({host, incarnation}: PeerIdentity): void {
    const {book, controller, network} = this.parts;
    if (!controller.isActive || this.briefed.has(incarnation)) return;
    this.briefed.add(incarnation);
    const crowded: ViewBody['crowded'] = [];
    for (const [id, {load}] of this.toldLoads) crowded.push([id, load]);
    network.notify(host, RESIDENCY_VIEW, this.view(book.all(), crowded));
  }

  private view(
    accounts: Iterable<ResidencyAccount>,
    crowded: ViewBody['crowded'],
  ): ViewBody {
    const {lease, network} = this.parts;
    const targets: TargetView[] = [];
    for (const account of accounts) {
      if (!account.needsReport) targets.push(this.viewOf(account));
    }
    return {
      holder: network.self.incarnation,
      leaseEnd: lease.knownEnd,
      targets,
      crowded,
      hosts: this.hostCount,
    };
  }

  private sendViews(): void {
    const {book, clock, controller, network, usage} = this.parts;
    if (!controller.isActive) {
      this.changedViews.clear();
      this.briefed.clear();
      this.toldLoads.clear();
      return;
    }
    const nowMs = clock.now();
    const fullMs = FULL_VIEW_MS_PER_HOST * (this.toldHosts ?? 1);
    const fullAgeMs = nowMs - this.fullViewSentMs;
    const isFull = fullAgeMs >= Math.max(FULL_VIEW_MS, fullMs);
    const isDue = nowMs - this.viewSentMs >= HEARTBEAT_MS;
    if (!isFull && !isDue && this.changedViews.size === 0) return;
    const accounts = isFull ? book.all() : this.changedViews.values();
    this.census.note(Math.max(1, usage.hostCount));
    const crowded = this.crowded();
    this.applyLoads(crowded);
    network.broadcast(RESIDENCY_VIEW, this.view(accounts, crowded));
    this.changedViews.clear();
    this.viewSentMs = nowMs;
    if (isFull) this.fullViewSentMs = nowMs;
  }
}
