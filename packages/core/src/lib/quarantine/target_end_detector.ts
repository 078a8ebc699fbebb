/** Detects that the process of a target has ended. @packageDocumentation */

import {KnownTarget} from '../gateway/target_table.js';
import {Logger} from '../telemetry/logger.js';
import {Clock} from '../time/clock.js';
import {RunAtEnd, TargetEnd} from './target_end.js';

/** How long a process that has ended is not checked again. */
const RESULT_LIFETIME_MS = 1_000;

/** Dependencies of a {@link TargetEndDetector}. */
export interface TargetEndDetectorParts {
  clock: Clock;
  logger: Logger;
  /**
   * Checks whether a target accepts connections.
   *
   * @returns whether it does; undefined if it did not reply in time.
   */
  isListening: (target: KnownTarget) => Promise<boolean | undefined>;
  /**
   * Confirms that a target that refuses this host has ended; by default the
   * refusal is enough.
   */
  confirmEnded?: (target: KnownTarget) => Promise<boolean>;
  /**
   * Called when a process is known to have ended.
   *
   * @param id - id of the target.
   * @param startedMs - start time of the process, Unix milliseconds.
   */
  onEnded: (id: string, startedMs: number) => void;
  /** Receives the runs that ended with a process. */
  report: (end: TargetEnd) => void;
}

interface Check {
  startedMs: number;
  hasEnded: Promise<boolean>;
  /** Runs that broke off before the result was known. */
  runs: RunAtEnd[];
}

/**
 * Distinguishes the end of a target's process from a lost connection by
 * whether the target still accepts connections. A target that does not reply
 * at all may be cut off from this host and counts as running.
 */
export class TargetEndDetector {
  private readonly checks = new Map<string, Check>();

  /** @param parts - see {@link TargetEndDetectorParts}. */
  constructor(private readonly parts: TargetEndDetectorParts) {}

  /**
   * Records a run that broke off, and reports it if its process has ended.
   *
   * @param target - the target of the run.
   * @param run - the run; undefined if the target has withstood it.
   * @returns whether the process has ended.
   */
  async recordBrokenRun(
    target: KnownTarget,
    run: RunAtEnd | undefined,
  ): Promise<boolean> {
    // A leaving target ends by itself, whatever it runs.
    if (target.isLeaving) return false;
    const {id, startedMs} = target.registration;
    const key = `${id} ${startedMs}`;
    const nowMs = this.parts.clock.now();
    let check = this.checks.get(key);
    if (check === undefined || nowMs - check.startedMs > RESULT_LIFETIME_MS) {
      this.prune(nowMs);
      check = {startedMs: nowMs, hasEnded: this.check(target, key), runs: []};
      this.checks.set(key, check);
    }
    if (run !== undefined) check.runs.push(run);
    const hasEnded = await check.hasEnded;
    // A process that still listened may end any time after.
    if (!hasEnded && this.checks.get(key) === check) this.checks.delete(key);
    const runs = check.runs.splice(0);
    if (hasEnded && runs.length > 0)
      this.parts.report({target: id, startedMs, runs});
    return hasEnded;
  }

  private async check(target: KnownTarget, key: string): Promise<boolean> {
    // Nothing is sent to an evacuated zone, so that the end stays unknown.
    const isListening = target.isEvacuated
      ? undefined
      : await this.parts.isListening(target);
    const {confirmEnded} = this.parts;
    const isConfirmed =
      isListening === false && ((await confirmEnded?.(target)) ?? true);
    const {id, startedMs} = target.registration;
    const runs = this.checks.get(key)?.runs ?? [];
    this.parts.logger.info('target_end_checked', {
      target: id,
      started: startedMs,
      ended: isConfirmed,
      replied: isListening !== undefined,
      runs: runs.length,
      begun: runs.filter(run => run.hasBegun).length,
    });
    if (!isConfirmed) return false;
    this.parts.onEnded(id, startedMs);
    return true;
  }

  private prune(nowMs: number): void {
    for (const [key, {startedMs}] of this.checks) {
      if (nowMs - startedMs > RESULT_LIFETIME_MS) this.checks.delete(key);
    }
  }
}
