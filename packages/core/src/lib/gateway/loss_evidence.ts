/** Evidence that a run will not go on. @packageDocumentation */

import {ENDED_BY, EndedBy} from './answer_end.js';
import {TARGET_STATE, TargetState} from './target_port.js';

/** Consecutive checks without any reply after which a target is cut off. */
const MIN_UNREACHABLE_CHECKS = 3;

/**
 * Consecutive checks that a target answers, while its run makes no progress,
 * after which the run is lost. A silent target that has just gone on answers
 * the first one, maybe before the run's next event has been read.
 */
const MIN_RESPONSIVE_CHECKS = 2;

/** Evidence that no run of the target can go on. */
const TARGET_LOSSES: ReadonlySet<EndedBy> = new Set([
  ENDED_BY.targetEnded,
  ENDED_BY.targetUnreachable,
]);

/**
 * Checks whether evidence is about the target and not about one of its runs.
 *
 * @param evidence - what shows that a run will not go on.
 * @returns whether no run of the target can go on.
 */
export function isTargetLoss(evidence: EndedBy | undefined): boolean {
  return evidence !== undefined && TARGET_LOSSES.has(evidence);
}

/**
 * Collects the results of checks while a run makes no progress. Silence alone
 * is no evidence: a sound target may send nothing for seconds and go on.
 */
export class LossEvidence {
  private lastState: TargetState | undefined;
  private repeats = 0;

  /**
   * Records a check.
   *
   * @param state - its result.
   * @returns what shows that the run will not go on; undefined for no evidence.
   */
  record(state: TargetState): EndedBy | undefined {
    this.repeats = state === this.lastState ? this.repeats + 1 : 1;
    this.lastState = state;
    switch (state) {
      case TARGET_STATE.ended:
        return ENDED_BY.targetEnded;
      case TARGET_STATE.unreachable:
        return this.repeats < MIN_UNREACHABLE_CHECKS
          ? undefined
          : ENDED_BY.targetUnreachable;
      case TARGET_STATE.responsive:
        return this.repeats < MIN_RESPONSIVE_CHECKS
          ? undefined
          : ENDED_BY.stall;
      default:
        return undefined;
    }
  }
}
