/** Decides onto which loaded replica an adapter is loaded. @packageDocumentation */

import {RecordIdGenerator} from '../platform/stream_tail.js';
import {Clock} from '../time/clock.js';
import {AdapterDecision, PlacedAdapter} from './decision.js';
import {WaitingDemand} from './waiting_demand.js';
import {MemoryLedger, PlacedReplica} from './memory_ledger.js';
import {ReplicaCatalog} from './replica_catalog.js';
import {TargetAccount} from './target_account.js';

const ADAPTER_LOAD_MS = 5;

/** Dependencies of an {@link AdapterPlanner}. */
export interface AdapterPlannerOptions {
  ledger: MemoryLedger;
  catalog: ReplicaCatalog;
  demand: WaitingDemand;
  clock: Clock;
  ids: RecordIdGenerator;
}

/**
 * Plans loads of adapters onto replicas whose base weights are already loaded.
 */
export class AdapterPlanner {
  constructor(private readonly options: AdapterPlannerOptions) {}

  /** Returns whether an adapter is loaded or a load of it has been ordered. */
  isLoadedOrOrdered(
    model: string,
    adapter: string,
    usable: readonly PlacedReplica[],
  ): boolean {
    if (usable.some(({replica}) => replica.adapters.has(adapter))) return true;
    const pending = this.options.ledger.pendingOf(model);
    return pending.some(order => order.adapter === adapter);
  }

  /**
   * Decides to load an adapter onto the replica whose target has the most free
   * memory, and reserves that memory.
   *
   * @param model - the adapter's model.
   * @param adapter - the adapter that requests wait for.
   * @param usable - ready replicas of the model; at least one.
   * @returns the decision, or undefined if the adapter is not declared for the
   *     model or the target cannot make enough room.
   */
  decide(
    model: string,
    adapter: string,
    usable: readonly PlacedReplica[],
  ): AdapterDecision | undefined {
    const bytes = this.options.catalog.adapterBytes(model, adapter);
    if (bytes === undefined) return undefined;
    return this.reserveLoad(findMostFreeMemory(usable), adapter, bytes);
  }

  private reserveLoad(
    {account, replica}: PlacedReplica,
    adapter: string,
    bytes: number,
  ): AdapterDecision | undefined {
    const {ledger, clock, ids} = this.options;
    const {model, version} = replica;
    const nowMs = clock.now();
    const evict = this.selectVictims(account, bytes - account.freeBytes);
    if (evict === undefined) return undefined;
    const id = ids.generate();
    const target = account.spec.name;
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

  /**
   * Selects adapters of idle replicas to evict, in the order in which they were
   * reported or loaded. Skips adapters that requests wait for and those that
   * another load already evicts. Returns undefined if this frees too little.
   */
  private selectVictims(
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
        if (waiting.has(adapter) || account.isVictimOfLoad(victim)) continue;
        victims.push(victim);
        missing -= bytes;
        if (missing <= 0) return victims;
      }
    }
    return undefined;
  }
}

/** Returns the replica whose target has the most free memory. */
export function findMostFreeMemory(
  replicas: readonly PlacedReplica[],
): PlacedReplica {
  return replicas.reduce((best, next) => {
    return next.account.freeBytes > best.account.freeBytes ? next : best;
  });
}
