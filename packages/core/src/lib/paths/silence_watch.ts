/** Notices targets that send nothing. @packageDocumentation */

import {KnownTarget, TargetTable} from '../gateway/target_table.js';
import {Clock} from '../time/clock.js';
import {PathTable, isCheckable} from './path_table.js';

const SCAN_INTERVAL_MS = 100;

/** Silence of all targets, and of a single one, that is worth a check. */
const ALL_SILENT_MS = 400;
const TARGET_SILENT_MS = 800;

/**
 * Time between two checks for the silence of all targets, and of the same one.
 * Each is doubled while the checks succeed: a sound target may send nothing for
 * seconds, and each check is a connection.
 */
const ALL_CHECK_INTERVAL_MS = 500;
const MAX_ALL_CHECK_INTERVAL_MS = 4_000;
const TARGET_CHECK_INTERVAL_MS = 2_000;
const MAX_TARGET_CHECK_INTERVAL_MS = 16_000;

/** Dependencies of a {@link SilenceWatch}. */
export interface SilenceWatchParts {
  clock: Clock;
  targets: TargetTable;
  paths: PathTable;
  /** Called with a silent target whose path should be checked. */
  onSilent: (target: KnownTarget) => void;
}

/** Looks for requests in flight that nothing is received for. */
export class SilenceWatch {
  private receivedMs = -Infinity;
  private nextAllCheckMs = -Infinity;
  private allCheckIntervalMs = ALL_CHECK_INTERVAL_MS;

  /** @param parts - see {@link SilenceWatchParts}. */
  constructor(private readonly parts: SilenceWatchParts) {}

  /** Records that bytes of a target have been read from a direct connection. */
  recordReceived(target: KnownTarget): void {
    const nowMs = this.parts.clock.now();
    this.parts.paths.of(target).receivedMs = nowMs;
    this.receivedMs = nowMs;
    this.allCheckIntervalMs = ALL_CHECK_INTERVAL_MS;
  }

  /**
   * Looks for silent targets until the signal aborts.
   *
   * @param signal - stops the task.
   */
  run(signal: AbortSignal): Promise<void> {
    return this.parts.clock.every(SCAN_INTERVAL_MS, signal, () => this.scan());
  }

  private scan(): void {
    const {clock, onSilent, paths, targets} = this.parts;
    const nowMs = clock.now();
    let longest: KnownTarget | undefined;
    let longestMs = 0;
    let areAllSilent = true;
    for (const target of targets.all()) {
      if (target.inFlight === 0) {
        paths.find(target)?.recordIdle();
        continue;
      }
      const state = paths.of(target);
      if (state.waitingSinceMs === undefined) {
        state.waitingSinceMs = nowMs;
        this.expectReply(nowMs);
      }
      if (state.isLost || !isCheckable(target)) continue;
      const silentMs = nowMs - Math.max(state.waitingSinceMs, state.receivedMs);
      if (silentMs < ALL_SILENT_MS) areAllSilent = false;
      if (silentMs <= longestMs || nowMs < state.nextSilenceCheckMs) continue;
      longest = target;
      longestMs = silentMs;
    }
    if (longest === undefined || longestMs < ALL_SILENT_MS) return;
    const isAnyHeard = nowMs - this.receivedMs < ALL_SILENT_MS;
    const isAllCheckDue =
      areAllSilent && !isAnyHeard && nowMs >= this.nextAllCheckMs;
    if (longestMs < TARGET_SILENT_MS && !isAllCheckDue) return;
    if (areAllSilent && !isAllCheckDue) return;
    if (isAllCheckDue) {
      this.nextAllCheckMs = nowMs + this.allCheckIntervalMs;
      this.allCheckIntervalMs = Math.min(
        MAX_ALL_CHECK_INTERVAL_MS,
        this.allCheckIntervalMs * 2,
      );
    }
    this.postponeNext(longest, nowMs);
    onSilent(longest);
  }

  /** A new request makes silence telling again. */
  private expectReply(nowMs: number): void {
    this.allCheckIntervalMs = ALL_CHECK_INTERVAL_MS;
    this.nextAllCheckMs = Math.min(this.nextAllCheckMs, nowMs + ALL_SILENT_MS);
  }

  private postponeNext(target: KnownTarget, nowMs: number): void {
    const state = this.parts.paths.of(target);
    const doubled = TARGET_CHECK_INTERVAL_MS * 2 ** state.passedSilenceChecks;
    const intervalMs = Math.min(MAX_TARGET_CHECK_INTERVAL_MS, doubled);
    state.nextSilenceCheckMs = nowMs + intervalMs;
    state.passedSilenceChecks += 1;
  }
}
