/** Registry of the accounts of all engine targets. @packageDocumentation */

import {DeploymentState} from '../gateway/deployment_state.js';
import {EngineConfig} from '../gateway/deployment.js';
import {NOT_RUN, NotRunReason} from '../gateway/target_port.js';
import {KnownTarget, TargetTable} from '../gateway/target_table.js';
import {Logger} from '../telemetry/logger.js';
import {TaskSupervisor} from '../tasks/task_supervisor.js';
import {Clock} from '../time/clock.js';
import {ResidencyOrders} from './residency_order_sender.js';
import {LoadFailures} from './load_failures.js';
import {ResidencyAccount, isDeferred} from './residency_account.js';
import {UsageTable} from './usage_table.js';

/** How long after a load a refusal only means that the load is not done yet. */
const LOAD_GRACE_MS = 4_000;

/** First delay after a refusal, and how often it may double. */
const REFUSAL_DELAY_MS = 60;
const MAX_DELAY_DOUBLINGS = 3;

/** Hosts that must report a target as unreachable, and within which time. */
const MIN_UNREACHABLE_HOSTS = 2;
const UNREACHABLE_WINDOW_MS = 2_000;

/** How long such a target gets no requests: its process has to restart. */
const UNREACHABLE_AVOID_MS = 2_000;

/** Dependencies of {@link AccountRegistry}. */
export interface AccountRegistryParts {
  clock: Clock;
  logger: Logger;
  tasks: TaskSupervisor;
  state: DeploymentState;
  targets: TargetTable;
  orders: ResidencyOrders;
  loadFailures: LoadFailures;
  usage: UsageTable;
  /** Publishes to the hosts which models of a target take requests. */
  publish: (account: ResidencyAccount) => void;
}

/**
 * Time after a load from which requests in flight show that the target has
 * survived it.
 */
const SERVED_DELAY_MS = 300;

/** A request for a model that a target did not run. */
export interface RefusedRequest {
  target: string;
  model: string;
  adapter?: string;
  reason: NotRunReason;
}

/**
 * Opens and closes accounts as targets are added and removed, and corrects them
 * from refusals and reports.
 */
export class AccountRegistry {
  private readonly accounts = new Map<string, ResidencyAccount>();
  private targetFullListener: (service: string, model: string) => void =
    () => {};

  /** @param parts - see {@link AccountRegistryParts}. */
  constructor(private readonly parts: AccountRegistryParts) {}

  /**
   * Sets the listener for full targets.
   *
   * @param listener - called for each request that a target rejected because it
   *     was too full for more requests for a model that it holds.
   */
  onTargetFull(listener: (service: string, model: string) => void): void {
    this.targetFullListener = listener;
  }

  /**
   * Returns the account of a target.
   *
   * @param id - id of the target.
   */
  get(id: string): ResidencyAccount | undefined {
    return this.accounts.get(id);
  }

  /** Returns the accounts of all targets. */
  all(): IterableIterator<ResidencyAccount> {
    return this.accounts.values();
  }

  /**
   * Requests a report from every target, once the orders of the previous lease
   * holder can no longer be under way.
   */
  requestAllReports(): void {
    for (const account of this.accounts.values()) account.needsReport = true;
  }

  /** Removes all accounts. */
  clear(): void {
    this.accounts.clear();
  }

  /**
   * Returns the engine of a service; undefined if the configuration has none.
   *
   * @param service - name of the service.
   */
  engineOf(service: string): EngineConfig | undefined {
    const services = this.parts.state.current?.deployment.services;
    return services?.get(service)?.engine;
  }

  /** Returns the engines of the configuration, by service. */
  engines(): Map<string, EngineConfig> {
    const engines = new Map<string, EngineConfig>();
    const services = this.parts.state.current?.deployment.services;
    for (const {name, engine} of services?.values() ?? []) {
      if (engine !== undefined) engines.set(name, engine);
    }
    return engines;
  }

  /** Returns the accounts of a service's targets. */
  ofService(service: string): ResidencyAccount[] {
    const found: ResidencyAccount[] = [];
    for (const account of this.accounts.values()) {
      if (account.target.registration.service === service) found.push(account);
    }
    return found;
  }

  /**
   * Matches the accounts to the known targets, and requests a report from each
   * target whose state is uncertain.
   *
   * @param signal - cancels the reports.
   */
  sync(signal: AbortSignal): void {
    const {clock, targets, tasks} = this.parts;
    const engines = this.engines();
    for (const [id, account] of this.accounts) {
      if (targets.get(id) === account.target) continue;
      this.accounts.delete(id);
      this.recordLoadEnds(account);
    }
    for (const target of targets.all()) {
      const engine = engines.get(target.registration.service);
      if (engine === undefined) continue;
      const account = this.accounts.get(target.registration.id);
      if (account !== undefined) account.engine = engine;
      else this.open(target, engine);
    }
    const nowMs = clock.now();
    for (const account of this.accounts.values()) {
      this.recordServedModels(account, nowMs);
      if (!account.needsReport || account.backoffUntilMs > nowMs) continue;
      if (account.isReportPending || account.target.isEvacuated) continue;
      account.isReportPending = true;
      const report = () => this.requestReport(account, signal);
      void tasks.run('target_report', report, {target: account.id});
    }
  }

  private async requestReport(
    account: ResidencyAccount,
    signal: AbortSignal,
  ): Promise<void> {
    const {clock, orders} = this.parts;
    const refresh = () => orders.refresh(account, signal);
    try {
      await account.runExclusive(refresh);
    } catch (error) {
      account.recordFailedWork(clock.now());
      throw error;
    }
    account.isReportPending = false;
    this.parts.publish(account);
  }

  /** Records which loaded models have requests in flight. */
  private recordServedModels(account: ResidencyAccount, nowMs: number): void {
    const {loadFailures, usage} = this.parts;
    for (const [model, resident] of account.residents) {
      if (resident.isServed || nowMs < resident.readyMs + SERVED_DELAY_MS)
        continue;
      if (usage.reportedInFlight(account.id, model) === 0) continue;
      resident.isServed = true;
      loadFailures.recordLoaded(account.target.registration.service, model);
    }
  }

  /** Records the loads that were under way when a target's process ended. */
  private recordLoadEnds(account: ResidencyAccount): void {
    const {clock, loadFailures} = this.parts;
    const {target} = account;
    if (target.isLeaving) return;
    const {address, service} = target.registration;
    for (const model of account.modelsLoadingAtEnd(clock.now()))
      loadFailures.recordEnd(service, model, address);
  }

  private open(target: KnownTarget, engine: EngineConfig): void {
    const account = new ResidencyAccount(
      target,
      engine,
      this.parts.clock.now(),
    );
    // Orders of a previous lease holder may be under way that no registration
    // shows, and registrations relayed by other hosts may be outdated.
    account.needsReport = true;
    this.accounts.set(target.registration.id, account);
  }

  /**
   * Records that a target did not run a request that it should be able to run.
   *
   * @param host - host that sent the request.
   * @param refused - the target, the model and the reason.
   */
  recordRefusal(
    host: string,
    {target, model, adapter, reason}: RefusedRequest,
  ): void {
    const account = this.accounts.get(target);
    if (account === undefined) return;
    if (reason === NOT_RUN.unreachable) {
      this.recordUnreachable(account, host);
      return;
    }
    const resident = account.residents.get(model);
    const item =
      adapter === undefined ? resident : resident?.adapters.get(adapter);
    if (item === undefined) return;
    const nowMs = this.parts.clock.now();
    const isLate = nowMs - item.readyMs < LOAD_GRACE_MS;
    if (isLate || reason === NOT_RUN.refused) {
      if (!isLate)
        this.targetFullListener(account.target.registration.service, model);
      if (!isDeferred(item, nowMs)) {
        const doublings = Math.min(item.refusalCount, MAX_DELAY_DOUBLINGS);
        const pauseMs = REFUSAL_DELAY_MS * 2 ** doublings;
        if (isLate) item.readyMs = nowMs + pauseMs;
        else item.fullUntilMs = nowMs + pauseMs;
        item.refusalCount += 1;
        // A target that is only full has shown that it holds the model.
        if (resident?.isConfirmed === false) account.markUnconfirmed(model);
      }
    } else if (reason === NOT_RUN.modelAbsent) {
      // Its memory counts as used until the target's own report arrives.
      item.isUnloading = true;
      account.needsReport = true;
    }
    this.parts.publish(account);
  }

  /** Avoids a target for a while once several hosts cannot reach it. */
  private recordUnreachable(account: ResidencyAccount, host: string): void {
    const nowMs = this.parts.clock.now();
    const {unreachableByHost} = account;
    unreachableByHost.set(host, nowMs);
    for (const [other, ms] of unreachableByHost) {
      if (nowMs - ms > UNREACHABLE_WINDOW_MS) unreachableByHost.delete(other);
    }
    const requiredHosts = Math.min(
      MIN_UNREACHABLE_HOSTS,
      this.parts.usage.hostCount,
    );
    if (unreachableByHost.size < requiredHosts) return;
    if (account.target.health.isAvoided) return;
    account.target.health.avoid(UNREACHABLE_AVOID_MS);
    this.parts.logger.info('target_unreachable', {
      target: account.id,
      hosts: unreachableByHost.size,
      for_ms: UNREACHABLE_AVOID_MS,
    });
  }
}
