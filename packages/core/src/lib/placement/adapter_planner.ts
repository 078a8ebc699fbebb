/** Decides which loaded replica takes an adapter. @packageDocumentation */

import {RecordIds} from '../platform/stream_tail.js';
import {Clock} from '../time/clock.js';
import {AdapterDecision, PlacedAdapter} from './decision.js';
import {DemandBook} from './demand_book.js';
import {MemoryLedger, PlacedReplica} from './memory_ledger.js';
import {ReplicaCatalog} from './replica_catalog.js';
import {TargetAccount} from './target_account.js';

const ADAPTER_LOAD_MS = 5;

/** What an {@link AdapterPlanner} works with. */
export interface AdapterPlannerOptions {
  ledger: MemoryLedger;
  catalog: ReplicaCatalog;
  demand: DemandBook;
  clock: Clock;
  ids: RecordIds;
}

/** Puts adapters onto bases that are loaded already. */
export class AdapterPlanner {
  constructor(private readonly options: AdapterPlannerOptions) {}

  /** @returns whether an adapter is loaded or on its way. */
  isProvided(
    model: string,
    adapter: string,
    usable: readonly PlacedReplica[],
  ): boolean {
    if (usable.some(({replica}) => replica.adapters.has(adapter))) return true;
    const pending = this.options.ledger.pendingOf(model);
    return pending.some(order => order.adapter === adapter);
  }

  /**
   * @param model - the adapter's model.
   * @param adapter - what waits.
   * @param usable - ready replicas of the model; at least one.
   * @returns the decision, or undefined if no replica has room.
   */
  decide(
    model: string,
    adapter: string,
    usable: readonly PlacedReplica[],
  ): AdapterDecision | undefined {
    const bytes = this.options.catalog.adapterBytes(model, adapter);
    if (bytes === undefined) return undefined;
    return this.place(roomiest(usable), adapter, bytes);
  }

  private place(
    {account, replica}: PlacedReplica,
    adapter: string,
    bytes: number,
  ): AdapterDecision | undefined {
    const {ledger, clock, ids} = this.options;
    const {model, version} = replica;
    const nowMs = clock.now();
    const evict = this.victims(account, bytes - account.freeBytes);
    if (evict === undefined) return undefined;
    const id = ids.take();
    const target = account.facts.name;
    const reserved = ledger.reserve(target, {
      id,
      model,
      version,
      adapter,
      bytes,
      evict: [...evict],
      sentMs: nowMs,
      expectedMs: nowMs + ADAPTER_LOAD_MS,
      unknown: false,
    });
    if (reserved.isErr()) return undefined;
    const kind = 'load-adapter';
    return {kind, id, target, model, version, adapter, bytes, evict};
  }

  /** @returns adapters of idle replicas that make room, oldest first. */
  private victims(
    account: TargetAccount,
    missingBytes: number,
  ): PlacedAdapter[] | undefined {
    if (missingBytes <= 0) return [];
    const waiting = new Set(this.options.demand.all().map(w => w.adapter));
    const victims: PlacedAdapter[] = [];
    let missing = missingBytes;
    for (const replica of account.replicas.values()) {
      const {model, version, running, state, adapters} = replica;
      if (running > 0 || state !== 'ready') continue;
      for (const [adapter, bytes] of adapters) {
        const victim = {model, version, adapter};
        if (waiting.has(adapter) || account.isClaimed(victim)) continue;
        victims.push(victim);
        missing -= bytes;
        if (missing <= 0) return victims;
      }
    }
    return undefined;
  }
}

/** @returns the replica whose target has most free memory. */
export function roomiest(replicas: readonly PlacedReplica[]): PlacedReplica {
  return replicas.reduce((best, next) => {
    return next.account.freeBytes > best.account.freeBytes ? next : best;
  });
}
