/** Updates the ledger from the inventories of targets. @packageDocumentation */

import {Authority, LeaseAuthority} from '../membership/lease_authority.js';
import {EngineClient} from '../targets/engine_client.js';
import {Logger} from '../telemetry/logger.js';
import {Clock} from '../time/clock.js';
import {WaitingDemand} from './waiting_demand.js';
import {MemoryLedger} from './memory_ledger.js';
import {OrderSender} from './order_sender.js';
import {TargetAccount} from './target_account.js';

/**
 * A target that has not answered for this time counts as lost, and its replicas
 * are removed from the ledger.
 */
const TARGET_LOST_MS = 10_000;

const FENCE_TIMEOUT_MS = 2_000;

/** Dependencies of a {@link TargetWatch}. */
export interface TargetWatchOptions {
  ledger: MemoryLedger;
  demand: WaitingDemand;
  lease: LeaseAuthority;
  sender: OrderSender;
  clock: Clock;
  logger: Logger;
  /** Returns the client of a declared engine. */
  engineOf: (target: string) => EngineClient;
  /** Returns whether the target refuses orders with an old fencing number. */
  checksFencing: (target: string) => boolean;
  /** Returns whether the platform reports that a target is about to leave. */
  isLeaving: (target: string) => boolean;
}

/**
 * Polls the targets and takes them over from earlier controllers.
 *
 * A target is taken over once orders of earlier controllers can no longer
 * arrive there and its inventory has been read after that point. Until then
 * this controller sends it no orders.
 */
export class TargetWatch {
  private term: Authority | undefined;
  /**
   * For each target, the start of the term of authority in which earlier
   * controllers were fenced off, in clock time.
   */
  private readonly fencedSinceMs = new Map<string, number>();
  private readonly lastAnswerMs = new Map<string, number>();

  constructor(private readonly options: TargetWatchOptions) {}

  /** Reads the inventories of all targets once. */
  async refreshAll(signal: AbortSignal): Promise<void> {
    this.updateTerm();
    const accounts = [...this.options.ledger.all()];
    await Promise.all(accounts.map(account => this.refresh(account, signal)));
  }

  /** Reads the inventory of a target and applies it to its account. */
  async refresh(account: TargetAccount, signal: AbortSignal): Promise<void> {
    const {engineOf, clock} = this.options;
    const {name} = account.spec;
    await this.takeOver(name);
    const askedMs = clock.now();
    const inventory = await engineOf(name).inventory(signal);
    if (inventory.isErr()) {
      this.handleNoAnswer(account, inventory.error.processEnded === true);
      return;
    }
    this.lastAnswerMs.set(name, clock.now());
    const isApplied = account.applyInventory(inventory.value, askedMs);
    if (this.options.isLeaving(name)) account.leaving = true;
    if (isApplied && this.isFenced(name)) account.canReceiveOrders = true;
    this.recordUse(account);
  }

  private updateTerm(): void {
    const authority = this.options.lease.check();
    if (authority.isErr()) return;
    const {fencing, heldSinceMs} = authority.value;
    const isSame = this.term?.heldSinceMs === heldSinceMs;
    this.term = authority.value;
    if (isSame) return;
    for (const account of this.options.ledger.all())
      account.canReceiveOrders = false;
    this.options.logger.info('take_over', {fencing});
  }

  /**
   * Fences off earlier controllers with a no-op order. For a target that does
   * not check fencing numbers, waits until their orders can no longer run.
   */
  private async takeOver(name: string): Promise<void> {
    const {checksFencing, sender, clock} = this.options;
    const {term} = this;
    if (term === undefined || this.isFenced(name)) return;
    if (!checksFencing(name)) {
      if (clock.now() < term.orderableFromMs) return;
    } else {
      const id = `${term.fencing}.fence.${term.heldSinceMs}.${name}`;
      const noop = {kind: 'noop'} as const;
      const done = await sender.send(name, id, noop, FENCE_TIMEOUT_MS);
      if (done.isErr()) return;
    }
    this.fencedSinceMs.set(name, term.heldSinceMs);
  }

  private isFenced(name: string): boolean {
    return this.fencedSinceMs.get(name) === this.term?.heldSinceMs;
  }

  private handleNoAnswer(account: TargetAccount, processEnded: boolean): void {
    const {clock, logger} = this.options;
    const {name} = account.spec;
    const nowMs = clock.now();
    const lastAnsweredMs = this.lastAnswerMs.get(name) ?? nowMs;
    this.lastAnswerMs.set(name, lastAnsweredMs);
    if (processEnded || nowMs - lastAnsweredMs >= TARGET_LOST_MS) {
      if (account.replicas.size > 0) {
        logger.warn('target_lost', {target: name, processEnded});
      }
      account.clear(nowMs);
    }
    account.reachable = false;
  }

  private recordUse({replicas}: TargetAccount): void {
    const {demand, clock} = this.options;
    for (const {model, running} of replicas.values()) {
      if (running > 0) demand.recordUse(model, clock.now());
    }
  }
}
