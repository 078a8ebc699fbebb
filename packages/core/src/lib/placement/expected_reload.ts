/** Weighs an eviction by the expected cost of loading again. @packageDocumentation */

import {DemandBook} from './demand_book.js';
import {LoadTimes, placeOf} from './load_times.js';
import {EvictionCost} from './placement_policy.js';
import {Replica, TargetAccount} from './target_account.js';

/** A replica used within this time is kept if any other can go. */
const RECENT_MS = 60_000;
const RECENT_FACTOR = 10;

/** Uses expected within this time count. */
const HORIZON_HOURS = 1;

/**
 * The time to load the replica again where it would be loaded from, times the
 * uses expected from past ones.
 */
export class ExpectedReload extends EvictionCost {
  constructor(
    private readonly demand: DemandBook,
    private readonly times: LoadTimes,
  ) {
    super();
  }

  override cost(
    replica: Replica,
    account: TargetAccount,
    nowMs: number,
  ): number {
    const {model, version, bytes} = replica;
    const place = placeOf(account, version);
    const reloadMs = this.times.estimateMs(place, bytes);
    const uses = this.demand.wakesPerHour(model, nowMs) * HORIZON_HOURS;
    const idleMs = nowMs - (this.demand.lastUse(model) ?? -Infinity);
    const recency = idleMs < RECENT_MS ? RECENT_FACTOR : 1;
    return reloadMs * uses * recency;
  }
}
