/** Decides which loaded replica takes an adapter. @packageDocumentation */

import {RecordIds} from '../platform/stream_tail.js';
import {Clock} from '../time/clock.js';
import {AdapterDecision} from './decision.js';
import {DemandBook} from './demand_book.js';
import {MemoryLedger, PlacedReplica} from './memory_ledger.js';
import {ReplicaCatalog} from './replica_catalog.js';

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

  /**
   * @param model - the adapter's model.
   * @param adapter - what waits.
   * @param usable - ready replicas of the model; at least one.
   * @returns the decision, or undefined if the adapter is loaded or on its
   *     way, or has no room.
   */
  decide(
    model: string,
    adapter: string,
    usable: readonly PlacedReplica[],
  ): AdapterDecision | undefined {
    const {ledger, catalog} = this.options;
    if (usable.some(({replica}) => replica.adapters.has(adapter))) {
      return undefined;
    }
    const pending = ledger.pendingOf(model);
    if (pending.some(order => order.adapter === adapter)) return undefined;
    const bytes = catalog.adapterBytes(model, adapter);
    if (bytes === undefined) return undefined;
    const roomiest = usable.reduce((best, next) => {
      return next.account.freeBytes > best.account.freeBytes ? next : best;
    });
    return this.place(roomiest, adapter, bytes);
  }

  private place(
    {account, replica}: PlacedReplica,
    adapter: string,
    bytes: number,
  ): AdapterDecision | undefined {
    const {ledger, clock, ids} = this.options;
    const {model, version} = replica;
    const nowMs = clock.now();
    const evict = this.victims(replica, bytes - account.freeBytes);
    if (evict === undefined) return undefined;
    const id = ids.take();
    const target = account.facts.name;
    const reserved = ledger.reserve(target, {
      id,
      model,
      version,
      adapter,
      bytes: Math.min(bytes, account.freeBytes),
      sentMs: nowMs,
      expectedMs: nowMs + ADAPTER_LOAD_MS,
      unknown: false,
    });
    if (reserved.isErr()) return undefined;
    const kind = 'load-adapter';
    return {kind, id, target, model, version, adapter, bytes, evict};
  }

  /** @returns adapters of an idle replica that make room, oldest first. */
  private victims(
    replica: PlacedReplica['replica'],
    missingBytes: number,
  ): string[] | undefined {
    if (missingBytes <= 0) return [];
    if (replica.running > 0) return undefined;
    const waiting = new Set(this.options.demand.all().map(w => w.adapter));
    const victims: string[] = [];
    let missing = missingBytes;
    for (const [adapter, bytes] of replica.adapters) {
      if (waiting.has(adapter)) continue;
      victims.push(adapter);
      missing -= bytes;
      if (missing <= 0) return victims;
    }
    return undefined;
  }
}
