/** Executes decisions: record, evict, load, settle. @packageDocumentation */

import {LeaseAuthority} from '../membership/lease_authority.js';
import {Logger} from '../telemetry/logger.js';
import {Clock} from '../time/clock.js';
import {
  AdapterDecision,
  Decision,
  EvictDecision,
  LoadDecision,
  ReplicaDecision,
} from './decision.js';
import {DecisionJournal} from './decision_journal.js';
import {LoadPermits} from './load_permits.js';
import {LoadTimes, CHECKPOINT_LOCATION} from './load_times.js';
import {MemoryLedger} from './memory_ledger.js';
import {OrderSender} from './order_sender.js';
import {LOAD_STEP, PlacementMetrics} from './placement_metrics.js';
import {PlacementPlanner} from './placement_planner.js';
import {ModelVersion, TargetAccount} from './target_account.js';
import {TargetWatch} from './target_watch.js';

const ADAPTER_TIMEOUT_MS = 5_000;
const EVICT_TIMEOUT_MS = 2_000;
const MIN_LOAD_TIMEOUT_MS = 5_000;
/** A load times out after this multiple of its expected duration. */
const LOAD_TIMEOUT_FACTOR = 3;
const DRAIN_TIMEOUT_MS = 2_000;
const DRAIN_POLL_INTERVAL_MS = 10;
const MS_PER_S = 1_000;

/** Dependencies of a {@link DecisionExecutor}. */
export interface ExecutorOptions {
  ledger: MemoryLedger;
  journal: DecisionJournal;
  lease: LeaseAuthority;
  sender: OrderSender;
  watch: TargetWatch;
  planner: PlacementPlanner;
  permits: LoadPermits;
  times: LoadTimes;
  clock: Clock;
  logger: Logger;
  metrics: PlacementMetrics;
  /** Called when the view that hosts have of the zone needs an update. */
  onChange: () => void;
}

/**
 * Executes each decision in a task of its own, from recording it to settling
 * its memory reservation.
 */
export class DecisionExecutor {
  constructor(private readonly options: ExecutorOptions) {}

  /**
   * Executes a decision.
   *
   * @param decision - the decision; its memory is already reserved.
   * @param signal - cancels the execution when the host stops.
   */
  async execute(decision: Decision, signal: AbortSignal): Promise<void> {
    switch (decision.kind) {
      case 'load':
        await this.executeLoad(decision, signal);
        if (decision.place === CHECKPOINT_LOCATION.remote)
          this.options.permits.release();
        break;
      case 'evict':
        await this.executeEviction(decision, signal);
        break;
      case 'load-adapter':
        await this.executeAdapterLoad(decision);
        break;
    }
    this.options.onChange();
  }

  private async executeLoad(
    decision: LoadDecision,
    signal: AbortSignal,
  ): Promise<void> {
    const {ledger, planner, onChange} = this.options;
    const {id, target, evict} = decision;
    const account = ledger.account(target);
    if (account === undefined) return;
    onChange();
    const {place} = decision;
    const canLoad =
      (await this.measureStep(LOAD_STEP.record, place, () =>
        this.record(decision, signal),
      )) &&
      (await this.measureStep(LOAD_STEP.evict, place, () =>
        this.evictVictims(account, decision, signal),
      ));
    if (!canLoad) {
      this.countDecision(decision, 'not-ordered');
      this.settle(account, id, 'refused');
      for (const victim of evict) account.endEviction(victim);
      planner.recordFailure(decision);
      return;
    }
    await this.sendLoadOrder(account, decision, signal);
  }

  private async sendLoadOrder(
    account: TargetAccount,
    decision: LoadDecision,
    signal: AbortSignal,
  ): Promise<void> {
    const {sender, clock, times, planner} = this.options;
    const {id, target, model, version, place, bytes} = decision;
    const expectedMs = times.estimateMs(place, bytes);
    const order = {kind: 'load', model, version} as const;
    const sentMs = clock.now();
    const timeoutMs = Math.max(
      MIN_LOAD_TIMEOUT_MS,
      LOAD_TIMEOUT_FACTOR * expectedMs,
    );
    const result = await sender.send(target, id, order, timeoutMs);
    const tookMs = clock.now() - sentMs;
    this.countDecision(decision, result.isOk() ? 'done' : result.error.type);
    this.options.metrics.loadStep
      .labels(LOAD_STEP.load, place)
      .observe(tookMs / MS_PER_S);
    if (result.isOk()) {
      times.observe(place, bytes, tookMs);
      this.settle(account, id, 'done');
      return;
    }
    planner.recordFailure(decision);
    this.settle(account, id, result.error.type);
    if (result.error.type === 'refused') return;
    if (tookMs >= timeoutMs) times.observeAtLeast(place, bytes, tookMs);
    await this.resolveUnknownLoad(account, decision, signal);
  }

  /**
   * Reads the target's inventory after a load whose answer was lost or timed
   * out, and evicts the replica if it is still loading.
   */
  private async resolveUnknownLoad(
    account: TargetAccount,
    decision: LoadDecision,
    signal: AbortSignal,
  ): Promise<void> {
    await this.options.watch.refresh(account, signal);
    if (account.replica(decision)?.state !== 'loading') return;
    const {id, target, model, version} = decision;
    const kind = 'evict';
    const cancel = {kind, id: `${id}.cancel`, target, model, version} as const;
    await this.executeEviction(cancel, signal);
  }

  private async executeEviction(
    decision: EvictDecision,
    signal: AbortSignal,
  ): Promise<void> {
    const account = this.options.ledger.account(decision.target);
    if (account === undefined) return;
    const isRecorded = await this.record(decision, signal);
    const id = decision.id;
    const isEvicted =
      isRecorded && (await this.evict(account, decision, id, signal));
    this.countDecision(decision, isEvicted ? 'done' : 'not-done');
    if (isEvicted) account.removeReplica(decision, this.options.clock.now());
    account.endEviction(decision);
  }

  private async evictVictims(
    account: TargetAccount,
    {id, evict}: LoadDecision,
    signal: AbortSignal,
  ): Promise<boolean> {
    for (const [index, victim] of evict.entries()) {
      const orderId = `${id}.evict.${index}`;
      if (!(await this.evict(account, victim, orderId, signal))) return false;
      account.removeReplica(victim, this.options.clock.now());
    }
    return true;
  }

  /** Evicts a replica once no request runs on it. */
  private async evict(
    account: TargetAccount,
    replica: ModelVersion,
    id: string,
    signal: AbortSignal,
  ): Promise<boolean> {
    const {model, version} = replica;
    if (!(await this.waitUntilDrained(account, replica, signal))) return false;
    const order = {kind: 'evict', model, version} as const;
    const target = account.spec.name;
    const {sender} = this.options;
    const done = await sender.send(target, id, order, EVICT_TIMEOUT_MS);
    return done.isOk();
  }

  /**
   * Waits until the target reports that no request runs on a replica. Returns
   * false if this takes longer than {@link DRAIN_TIMEOUT_MS}.
   */
  private async waitUntilDrained(
    account: TargetAccount,
    replica: ModelVersion,
    signal: AbortSignal,
  ): Promise<boolean> {
    const {clock, watch, onChange} = this.options;
    onChange();
    const timeoutAtMs = clock.now() + DRAIN_TIMEOUT_MS;
    while (clock.now() < timeoutAtMs && !signal.aborted) {
      await watch.refresh(account, signal);
      const held = account.replica(replica);
      if (held === undefined || held.running === 0) return true;
      await clock.sleep(DRAIN_POLL_INTERVAL_MS, signal);
    }
    return false;
  }

  private async executeAdapterLoad(decision: AdapterDecision): Promise<void> {
    const {ledger, sender, clock} = this.options;
    const {id, target, model, adapter, evict} = decision;
    const account = ledger.account(target);
    if (account === undefined) return;
    for (const victim of evict) {
      const kind = 'evict-adapter';
      const order = {
        kind,
        adapter: victim.adapter,
        model: victim.model,
      } as const;
      const orderId = `${id}.evict.${victim.adapter}`;
      const evicted = await sender.send(
        target,
        orderId,
        order,
        EVICT_TIMEOUT_MS,
      );
      if (evicted.isErr()) return this.settle(account, id, 'refused');
      account.removeAdapter(victim, victim.adapter, clock.now());
    }
    const order = {kind: 'load-adapter', adapter, model} as const;
    const loaded = await sender.send(target, id, order, ADAPTER_TIMEOUT_MS);
    this.settle(account, id, loaded.isOk() ? 'done' : loaded.error.type);
  }

  private async record(
    decision: ReplicaDecision,
    signal: AbortSignal,
  ): Promise<boolean> {
    const {lease, journal, logger} = this.options;
    const authority = lease.check();
    if (authority.isErr()) return false;
    const {fencing} = authority.value;
    const recorded = await journal.record({fencing, decision}, signal);
    if (recorded.isOk()) return true;
    const {id} = decision;
    const reason = recorded.error.message;
    logger.warn('decision_not_recorded', {id, reason});
    return false;
  }

  private async measureStep(
    step: string,
    place: string,
    work: () => Promise<boolean>,
  ): Promise<boolean> {
    const {clock, metrics} = this.options;
    const startMs = clock.now();
    const done = await work();
    const tookS = (clock.now() - startMs) / MS_PER_S;
    metrics.loadStep.labels(step, place).observe(tookS);
    return done;
  }

  private countDecision({kind}: Decision, outcome: string): void {
    this.options.metrics.decisions.labels(kind, outcome).inc();
  }

  private settle(
    account: TargetAccount,
    id: string,
    outcome: 'done' | 'refused' | 'unknown',
  ): void {
    account.settle(id, outcome, this.options.clock.now());
  }
}
