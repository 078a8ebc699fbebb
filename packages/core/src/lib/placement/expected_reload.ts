/** Eviction cost by the expected time spent on reloading. @packageDocumentation */

import {WaitingDemand} from './waiting_demand.js';
import {LoadTimes, locateCheckpoint} from './load_times.js';
import {EvictionCost} from './placement_policy.js';
import {Replica, TargetAccount} from './target_account.js';

/**
 * The cost of a replica used within this time is raised by
 * {@link RECENT_FACTOR}, so that other replicas are evicted first.
 */
const RECENT_MS = 60_000;
const RECENT_FACTOR = 10;

/** Period over which future uses are counted. */
const HORIZON_HOURS = 1;

/**
 * Estimates the cost of an eviction as the time to reload the replica from the
 * checkpoint's location, times the number of uses expected from past use.
 */
export class ExpectedReload extends EvictionCost {
  constructor(
    private readonly demand: WaitingDemand,
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
    const place = locateCheckpoint(account, version);
    const reloadMs = this.times.estimateMs(place, bytes);
    const uses = this.demand.wakeUpsPerHour(model, nowMs) * HORIZON_HOURS;
    const idleMs = nowMs - (this.demand.lastUsedMs(model) ?? -Infinity);
    const recency = idleMs < RECENT_MS ? RECENT_FACTOR : 1;
    return reloadMs * uses * recency;
  }
}
