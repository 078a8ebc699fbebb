/** Detects runs that make no progress and looks for the reason. @packageDocumentation */

import {Clock} from '../time/clock.js';
import {ENDED_BY, EndedBy} from './answer_end.js';
import {TARGET_STATE, TargetState} from './target_port.js';

/** Time between checks of a target while a run of it makes no progress. */
const CHECK_INTERVAL_MS = 250;

/** Consecutive checks without any reply after which a target is cut off. */
const MAX_UNREACHABLE_CHECKS = 3;

/**
 * Decides what happens to a run that makes no progress.
 *
 * Silence alone is no evidence: a sound target may send nothing for seconds and
 * go on.
 */
export abstract class StallHandler {
  /** Checks the target of the run. */
  abstract check(): Promise<TargetState>;

  /**
   * Called with evidence that the run will not go on.
   *
   * @param endedBy - the evidence.
   * @returns whether the run has been ended; otherwise checks continue.
   */
  abstract tryEnd(endedBy: EndedBy): boolean;
}

/** Watches the progress of one run. */
export class StallMonitor {
  private progressMs: number;
  private bytesMs: number;

  /**
   * @param clock - measures the time without progress.
   * @param maxStallMs - time without progress after which the target is
   *     checked, in milliseconds.
   * @param handler - checks the target and ends the run.
   */
  constructor(
    private readonly clock: Clock,
    private readonly maxStallMs: number,
    private readonly handler: StallHandler,
  ) {
    this.progressMs = clock.now();
    this.bytesMs = this.progressMs;
  }

  /** Records that bytes arrived. */
  recordBytes(): void {
    this.bytesMs = this.clock.now();
  }

  /** Records that the run made progress. */
  recordProgress(): void {
    this.progressMs = this.clock.now();
  }

  /**
   * Watches the run until it is ended.
   *
   * @param signal - ends the task.
   */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const leftMs = this.progressMs + this.maxStallMs - this.clock.now();
      if (leftMs > 0) await this.clock.sleep(leftMs, signal);
      else if (await this.examineStall(signal)) return;
    }
  }

  /**
   * Checks the target until the run makes progress or is ended.
   *
   * @returns whether the run was ended.
   */
  private async examineStall(signal: AbortSignal): Promise<boolean> {
    const stalledSinceMs = this.progressMs;
    let unreachableChecks = 0;
    for (;;) {
      const state = await this.currentState();
      if (signal.aborted || this.progressMs !== stalledSinceMs) return false;
      unreachableChecks =
        state === TARGET_STATE.unreachable ? unreachableChecks + 1 : 0;
      const endedBy = evidenceOf(state, unreachableChecks);
      if (endedBy !== undefined && this.handler.tryEnd(endedBy)) return true;
      await this.clock.sleep(CHECK_INTERVAL_MS, signal);
    }
  }

  private async currentState(): Promise<TargetState> {
    // A target that sends comments or parts of an event is not silent.
    const silentMs = this.clock.now() - this.bytesMs;
    if (silentMs < this.maxStallMs / 2) return TARGET_STATE.responsive;
    return this.handler.check();
  }
}

/** Returns what shows that a run will not go on; undefined for no evidence. */
function evidenceOf(
  state: TargetState,
  unreachableChecks: number,
): EndedBy | undefined {
  switch (state) {
    case TARGET_STATE.ended:
      return ENDED_BY.targetEnded;
    case TARGET_STATE.responsive:
      return ENDED_BY.stall;
    case TARGET_STATE.unreachable:
      return unreachableChecks < MAX_UNREACHABLE_CHECKS
        ? undefined
        : ENDED_BY.targetUnreachable;
    default:
      return undefined;
  }
}
