/** The wait for the head of an answer. @packageDocumentation */

import {TaskSupervisor} from '../tasks/task_supervisor.js';
import {Clock} from '../time/clock.js';
import {CallerRequest} from './caller_request.js';
import {LossEvidence, isTargetLoss} from './loss_evidence.js';
import {RelayCall} from './relay_call.js';
import {RunReplacement} from './run_replacement.js';
import {TargetProber} from './target_prober.js';
import {KnownTarget} from './target_table.js';

/** Minimum time after which a target without an answer is checked. */
const MIN_CHECK_AFTER_MS = 1_000;

/**
 * Time after which a request is sent to another target that can take it, in
 * latency objectives, and at least.
 */
const HEAD_TIMEOUT_OBJECTIVES = 4;
const MIN_HEAD_TIMEOUT_MS = 1_000;

/** Dependencies of a {@link HeadWait}. */
export interface HeadWaitParts {
  prober: TargetProber;
  replacement: RunReplacement;
  tasks: TaskSupervisor;
}

/** A request that was sent to a target. */
export interface SentRequest {
  target: KnownTarget;
  req: CallerRequest;
  call: RelayCall<CallerRequest>;
}

/** Decides whether a request that has no answer yet is sent elsewhere. */
export class HeadWait {
  private readonly startMs: number;
  private readonly evidence = new LossEvidence();
  private isTargetLost = false;

  /**
   * @param clock - measures the wait.
   * @param parts - see {@link HeadWaitParts}.
   * @param sent - the request.
   */
  constructor(
    private readonly clock: Clock,
    private readonly parts: HeadWaitParts,
    private readonly sent: SentRequest,
  ) {
    this.startMs = clock.now();
  }

  /**
   * Time after which the target is checked, in milliseconds; undefined if the
   * request may not run elsewhere.
   */
  get checkAfterMs(): number | undefined {
    const {call} = this.sent;
    if (!call.canRunElsewhere) return undefined;
    return Math.max(MIN_CHECK_AFTER_MS, call.route.objectiveMs);
  }

  /**
   * Checks whether the send may be ended, as its target is lost or has had its
   * time, and secures the next send.
   */
  canEnd(): boolean {
    const {call, req, target} = this.sent;
    const objectivesMs = call.route.objectiveMs * HEAD_TIMEOUT_OBJECTIVES;
    const timeoutMs = Math.max(MIN_HEAD_TIMEOUT_MS, objectivesMs);
    const hasHadTime = this.clock.now() - this.startMs >= timeoutMs;
    const {replacement} = this.parts;
    const mayEnd = hasHadTime || this.isTargetLost;
    if (mayEnd && replacement.trySecure(target, req, call, this.isTargetLost))
      return true;
    const subject = {id: call.id, target: target.registration.id};
    void this.parts.tasks.run(
      'target_check',
      () => this.checkTarget(),
      subject,
    );
    return false;
  }

  private async checkTarget(): Promise<void> {
    const state = await this.parts.prober.check(this.sent.target);
    this.isTargetLost = isTargetLoss(this.evidence.record(state));
  }
}
