/** Keeps the ledger true to what the targets report. @packageDocumentation */

import {Authority, LeaseAuthority} from '../membership/lease_authority.js';
import {EngineClient} from '../targets/engine_client.js';
import {Logger} from '../telemetry/logger.js';
import {Clock} from '../time/clock.js';
import {DemandBook} from './demand_book.js';
import {MemoryLedger} from './memory_ledger.js';
import {OrderSender} from './order_sender.js';
import {TargetAccount} from './target_account.js';

/** After this time of silence a target's replicas are written off. */
const TARGET_LOST_MS = 10_000;

const FENCE_TIMEOUT_MS = 2_000;

/** What a {@link TargetWatch} works with. */
export interface TargetWatchOptions {
  ledger: MemoryLedger;
  demand: DemandBook;
  lease: LeaseAuthority;
  sender: OrderSender;
  clock: Clock;
  logger: Logger;
  /** @returns the client of a declared engine. */
  engineOf: (target: string) => EngineClient;
  /** @returns whether the target refuses orders with an old fencing number. */
  checksFencing: (target: string) => boolean;
  /** @returns whether the platform says that a target is about to leave. */
  isLeaving: (target: string) => boolean;
}

/**
 * Polls the targets and takes them over.
 *
 * A target is taken over once no order of an earlier controller can arrive
 * there any more and its inventory was read after that. Before that it gets no
 * orders from this one.
 */
export class TargetWatch {
  private term: Authority | undefined;
  /** When this controller's authority began under which a target was fenced. */
  private readonly fenced = new Map<string, number>();
  private readonly heardMs = new Map<string, number>();
  private readonly lastReport = new Map<string, string>();

  constructor(private readonly options: TargetWatchOptions) {}

  /**
   * Asks every target for its inventory, once each.
   *
   * @returns whether anything changed that hosts must know.
   */
  async refreshAll(signal: AbortSignal): Promise<boolean> {
    this.followTerm();
    const accounts = [...this.options.ledger.all()];
    const changes = await Promise.all(
      accounts.map(account => this.refresh(account, signal)),
    );
    return changes.some(changed => changed);
  }

  /**
   * Asks one target for its inventory.
   *
   * @returns whether anything changed that hosts must know.
   */
  async refresh(account: TargetAccount, signal: AbortSignal): Promise<boolean> {
    const {engineOf, clock} = this.options;
    const {name} = account.facts;
    await this.takeOver(name);
    const askedMs = clock.now();
    const inventory = await engineOf(name).inventory(signal);
    if (inventory.isErr()) {
      this.noteSilence(account, inventory.error.processEnded === true);
      return this.noteReport(account);
    }
    this.heardMs.set(name, clock.now());
    const taken = account.report(inventory.value, askedMs);
    if (this.options.isLeaving(name)) account.leaving = true;
    if (taken && this.isFenced(name)) account.mayOrder = true;
    this.noteUse(account);
    return this.noteReport(account);
  }

  private followTerm(): void {
    const authority = this.options.lease.check();
    if (authority.isErr()) return;
    const {fencing, heldSinceMs} = authority.value;
    const isSame = this.term?.heldSinceMs === heldSinceMs;
    this.term = authority.value;
    if (isSame) return;
    for (const account of this.options.ledger.all()) account.mayOrder = false;
    this.options.logger.info('take_over', {fencing});
  }

  /** Fences earlier controllers off or waits until their orders are over. */
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
    this.fenced.set(name, term.heldSinceMs);
  }

  private isFenced(name: string): boolean {
    return this.fenced.get(name) === this.term?.heldSinceMs;
  }

  private noteSilence(account: TargetAccount, processEnded: boolean): void {
    const {clock, logger} = this.options;
    const {name} = account.facts;
    const nowMs = clock.now();
    const heardMs = this.heardMs.get(name) ?? nowMs;
    this.heardMs.set(name, heardMs);
    if (processEnded || nowMs - heardMs >= TARGET_LOST_MS) {
      if (account.replicas.size > 0) {
        logger.warn('target_lost', {target: name, processEnded});
      }
      account.ended(nowMs);
    }
    account.reachable = false;
  }

  private noteUse({replicas}: TargetAccount): void {
    const {demand, clock} = this.options;
    for (const {model, running} of replicas.values()) {
      if (running > 0) demand.noteUse(model, clock.now());
    }
  }

  /** @returns whether what hosts must know differs from the last report. */
  private noteReport(account: TargetAccount): boolean {
    const {leaving, reachable, replicas} = account;
    const held = [...replicas].map(([key, {state, adapters}]) => {
      return [key, state, [...adapters.keys()]];
    });
    const text = JSON.stringify([leaving, reachable, held]);
    const changed = this.lastReport.get(account.facts.name) !== text;
    this.lastReport.set(account.facts.name, text);
    return changed;
  }
}
