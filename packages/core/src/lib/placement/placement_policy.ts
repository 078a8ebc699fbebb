/** The choices in which placement policies differ. @packageDocumentation */

import {WaitingWork} from './demand_book.js';
import {Place} from './load_times.js';
import {Replica, TargetAccount} from './target_account.js';

/** A way to load a replica. */
export interface LoadOption {
  account: TargetAccount;
  place: Place;
  /** Expected duration of the load, in milliseconds. */
  loadMs: number;
  /** Replicas that must go first. */
  victims: Replica[];
  /** Expected cost of loading the victims again, see {@link EvictionCost}. */
  evictionCost: number;
}

/** Decides which waiting work gets the next load. */
export abstract class LoadOrder {
  /**
   * @param work - what waits.
   * @param loadMs - expected duration of its load.
   * @param nowMs - clock time.
   * @returns a rank; the lowest is loaded first.
   */
  abstract rank(work: WaitingWork, loadMs: number, nowMs: number): number;
}

/** Decides which target gets a load. */
export abstract class TargetChoice {
  /**
   * @param options - at least one.
   * @returns the best of them.
   */
  abstract choose(options: readonly LoadOption[]): LoadOption;
}

/** Weighs what is lost when a replica is evicted. */
export abstract class EvictionCost {
  /**
   * @param replica - an idle replica.
   * @param account - the target that holds it.
   * @param nowMs - clock time.
   * @returns the cost; replicas of low cost per byte go first, and one of
   *     infinite cost stays.
   */
  abstract cost(
    replica: Replica,
    account: TargetAccount,
    nowMs: number,
  ): number;
}
