/** Detects runs that make no progress and looks for the reason. @packageDocumentation */

import {Clock} from '../time/clock.js';
import {EndedBy} from './answer_end.js';
import {LossEvidence} from './loss_evidence.js';
import {TARGET_STATE, TargetState} from './target_port.js';

/** Time between checks of a target while a run of it makes no progress. */
const CHECK_INTERVAL_MS = 250;

/** Decides what happens to a run that makes no progress. */
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
  private blockedWrites = 0;

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
  }

  /** Records that the run made progress. */
  recordProgress(): void {
    this.progressMs = this.clock.now();
  }

  /**
   * Records that the caller has to accept a write before more is read; this
   * time is no stall of the target.
   *
   * @param written - resolves once the write is accepted.
   */
  recordBlocked(written: Promise<void>): void {
    this.blockedWrites += 1;
    void written.then(() => {
      this.blockedWrites -= 1;
      this.recordProgress();
    });
  }

  /**
   * Watches the run until it is ended.
   *
   * @param signal - ends the task.
   */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (this.blockedWrites > 0) this.recordProgress();
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
    const evidence = new LossEvidence();
    for (;;) {
      const state = await this.handler.check();
      if (signal.aborted || this.progressMs !== stalledSinceMs) return false;
      const endedBy = evidence.record(state);
      if (endedBy !== undefined && this.handler.tryEnd(endedBy)) return true;
      const isRepeatedAtOnce =
        state === TARGET_STATE.unreachable && endedBy === undefined;
      // A check without any reply has taken its whole time limit already.
      if (!isRepeatedAtOnce) await this.clock.sleep(CHECK_INTERVAL_MS, signal);
    }
  }
}
