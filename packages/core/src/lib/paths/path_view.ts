/** What a host knows about its paths to targets. @packageDocumentation */

import {KnownTarget} from '../gateway/target_table.js';

/** Why a target could not be reached. */
export const PATH_VERDICT = {
  /** The host does reach it. */
  sound: 'sound',
  /** Other hosts reach it, this one does not. */
  lost: 'lost',
  /** It refuses the connections of other hosts as well. */
  targetEnded: 'target-ended',
  /** It does not reply to other hosts either. */
  targetSilent: 'target-silent',
  /** No other host could tell. */
  unknown: 'unknown',
} as const;

/** One of {@link PATH_VERDICT}. */
export type PathVerdict = (typeof PATH_VERDICT)[keyof typeof PATH_VERDICT];

/** Tells failures of paths from failures of targets. */
export abstract class PathView {
  /** Whether the direct path to any target is lost. */
  abstract readonly hasLost: boolean;

  /** Returns whether the direct path to a target is lost. */
  abstract isLost(target: KnownTarget): boolean;

  /** Returns whether this host can reach a target, directly or by a tunnel. */
  abstract canReach(target: KnownTarget): boolean;

  /**
   * Finds out why this host could not reach a target.
   *
   * @returns the verdict, within about half a second.
   */
  abstract judge(target: KnownTarget): Promise<PathVerdict>;

  /**
   * Confirms that the process of a target, which has refused a connection of
   * this host, has ended.
   */
  abstract confirmEnded(target: KnownTarget): Promise<boolean>;
}

/** The view of a host that has no other host to compare itself with. */
export class UncheckedPaths extends PathView {
  override readonly hasLost = false;

  override isLost(): boolean {
    return false;
  }

  override canReach(): boolean {
    return true;
  }

  override judge(): Promise<PathVerdict> {
    return Promise.resolve(PATH_VERDICT.unknown);
  }

  override confirmEnded(): Promise<boolean> {
    return Promise.resolve(true);
  }
}
