/** Handles runs of targets that make no progress. @packageDocumentation */

import {EndedBy} from './answer_end.js';
import {CallerRequest} from './caller_request.js';
import {isTargetLoss} from './loss_evidence.js';
import {RelayCall} from './relay_call.js';
import {RelayObserver} from './relay_observer.js';
import {RunReplacement} from './run_replacement.js';
import {TaskSupervisor} from '../tasks/task_supervisor.js';
import {StallHandler} from './stall_monitor.js';
import {TARGET_STATE, TargetAnswer, TargetState} from './target_port.js';
import {TargetProber} from './target_prober.js';
import {KnownTarget} from './target_table.js';

/** Time for which a target that does not answer a check is avoided. */
const SILENT_AVOID_MS = 500;

/** Dependencies of a {@link RunStallHandler}. */
export interface RunStallHandlerParts {
  prober: TargetProber;
  replacement: RunReplacement;
  observer: RelayObserver;
  tasks: TaskSupervisor;
}

/** A run of a request at a target that has begun its answer. */
export interface AnsweredRun {
  target: KnownTarget;
  req: CallerRequest;
  call: RelayCall<CallerRequest>;
  answer: TargetAnswer;
}

/** Gives a run up on evidence, once its replacement is secured. */
export class RunStallHandler extends StallHandler {
  private lastState: TargetState | undefined;

  /**
   * @param parts - see {@link RunStallHandlerParts}.
   * @param run - the run.
   */
  constructor(
    private readonly parts: RunStallHandlerParts,
    private readonly run: AnsweredRun,
  ) {
    super();
  }

  override async check(): Promise<TargetState> {
    const {call, target} = this.run;
    const state = await this.parts.prober.check(target);
    if (state !== TARGET_STATE.responsive && !target.health.isAvoided)
      target.health.avoid(SILENT_AVOID_MS);
    if (state !== this.lastState) {
      this.parts.observer.runStalled({
        id: call.id,
        target: target.registration.id,
        state,
        ageMs: call.sendAgeMs,
        receivedBytes: call.receivedBytes,
      });
    }
    this.lastState = state;
    return state;
  }

  override tryEnd(endedBy: EndedBy): boolean {
    const {answer, call, req, target} = this.run;
    const {replacement} = this.parts;
    if (!replacement.trySecure(target, req, call, isTargetLoss(endedBy)))
      return false;
    call.recordEnd(endedBy);
    call.wasGivenUp = true;
    answer.discard();
    return true;
  }
}
