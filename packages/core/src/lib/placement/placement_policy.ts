/** Interfaces of placement policies. @packageDocumentation */

import {WaitingWork} from './waiting_demand.js';
import {CheckpointLocation} from './load_times.js';
import {Replica, TargetAccount} from './target_account.js';

/** A target that could load a replica, with the cost of doing so. */
export interface LoadOption {
  account: TargetAccount;
  place: CheckpointLocation;
  /** Expected duration of the load, in milliseconds. */
  loadMs: number;
  /** Replicas that must be evicted first. */
  victims: Replica[];
  /** Expected cost of reloading the victims, see {@link EvictionCost}. */
  evictionCost: number;
}

/** Ranks waiting work, to decide what is loaded next. */
export abstract class LoadPriority {
  /**
   * Ranks waiting work.
   *
   * @param work - the waiting work.
   * @param loadMs - expected duration of its load, in milliseconds.
   * @param nowMs - clock time, in milliseconds.
   * @returns a rank; the lowest is loaded first.
   */
  abstract rank(work: WaitingWork, loadMs: number, nowMs: number): number;
}

/** Chooses the target of a load. */
export abstract class TargetChoice {
  /**
   * Chooses the best option.
   *
   * @param options - the options; at least one.
   */
  abstract choose(options: readonly LoadOption[]): LoadOption;
}

/** Estimates the cost of evicting a replica. */
export abstract class EvictionCost {
  /**
   * Estimates the cost of an eviction.
   *
   * @param replica - an idle replica.
   * @param account - account of the target that holds it.
   * @param nowMs - clock time, in milliseconds.
   * @returns the cost; replicas of the lowest cost per byte are evicted first,
   *     and one of infinite cost is never evicted.
   */
  abstract cost(
    replica: Replica,
    account: TargetAccount,
    nowMs: number,
  ): number;
}
