/** Records what sends of requests show about their targets. @packageDocumentation */

import {PATH_VERDICT, PathVerdict, PathView} from '../paths/path_view.js';
import {PromptGuard} from '../quarantine/prompt_guard.js';
import {TaskSupervisor} from '../tasks/task_supervisor.js';
import {ENDED_BY, EndedBy} from './answer_end.js';
import {END_DOUBT, EndFinding, isFailure} from './end_evidence.js';
import {FRAMING} from './answer_framing.js';
import {AnswerHead, CallerRequest} from './caller_request.js';
import {ModelFinder} from './model_finder.js';
import {RelayCall} from './relay_call.js';
import {RelayObserver} from './relay_observer.js';
import {
  NOT_RUN,
  NotRunReason,
  NotRunSend,
  SendResult,
  TargetAnswer,
} from './target_port.js';
import {KnownTarget, TargetTable} from './target_table.js';

/** Reasons for which no byte of a request has reached a target. */
const NOT_DELIVERED: ReadonlySet<NotRunReason> = new Set([
  NOT_RUN.unreachable,
  NOT_RUN.noPath,
  NOT_RUN.noConnection,
  NOT_RUN.withdrawn,
]);

/** Ends of sends that the end of the target's process may have caused. */
const TARGET_ENDS: ReadonlySet<EndedBy> = new Set([
  ENDED_BY.target,
  ENDED_BY.targetEnded,
]);

const OK = 200;

/**
 * Unreachable targets after which a request waits for the reason: it is likely to
 * meet the same at the next ones.
 */
const MAX_UNEXPLAINED = 2;

/** Dependencies of a {@link RunRecorder}. */
export interface RunRecorderParts {
  targets: TargetTable;
  models: ModelFinder;
  prompts: PromptGuard;
  observer: RelayObserver;
  tasks: TaskSupervisor;
  paths: PathView;
}

/** Records the results of sends and runs, for all who have to know them. */
export class RunRecorder<
  Req extends CallerRequest<Head>,
  Head extends AnswerHead,
> {
  /** @param parts - see {@link RunRecorderParts}. */
  constructor(private readonly parts: RunRecorderParts) {}

  /** Ends the trial that the current send is, if it is one. */
  endTrial(call: RelayCall<Req>): void {
    if (call.trial !== undefined) this.parts.prompts.endTrial(call.trial);
    call.trial = undefined;
  }

  /**
   * Records a run that broke off. Before the request is sent again, the
   * evidence of other hosts is awaited if it may have ended the target.
   */
  private async recordBrokenRun(
    target: KnownTarget,
    call: RelayCall<Req>,
  ): Promise<void> {
    const checked = this.reportBrokenRun(target, call);
    if (!call.canRunAgain || !(await checked)) return;
    call.endedTargets += 1;
    await this.parts.prompts.awaitEvidence(call.signal);
  }

  /**
   * Reports a run that may have ended its target.
   *
   * @returns whether the target's process has ended.
   */
  private async reportBrokenRun(
    target: KnownTarget,
    call: RelayCall<Req>,
  ): Promise<boolean> {
    const {prompts, tasks} = this.parts;
    const tried = call.trial?.tried ?? [];
    const run = call.run!;
    let hasEnded = false;
    const report = async () => {
      hasEnded = await prompts.recordBrokenRun(target, call, run, tried);
    };
    const subject = {id: call.id, target: target.registration.id};
    await tasks.run('broken_run_report', report, subject);
    return hasEnded;
  }

  /** Records the signals of a target, whatever the result of the send. */
  recordSignals(target: KnownTarget, sent: SendResult<Head>): void {
    const answerSignals =
      sent.type === 'answered' ? sent.answer.signals : undefined;
    const signals = sent.type === 'not-run' ? sent.signals : answerSignals;
    if (signals === undefined) return;
    this.parts.targets.recordSignals(target, signals);
    this.parts.targets.recordLimit(target, signals.requestsPerSecond);
    if (signals.backOffMs === undefined) return;
    this.parts.observer.targetBackingOff(
      target.registration.id,
      signals.backOffMs,
    );
  }

  /** Reports an answer whose head was passed on. */
  recordBegunAnswer(
    call: RelayCall<Req>,
    {connection, head: {framing}}: TargetAnswer<Head>,
  ): void {
    this.parts.observer.answerBegun({
      id: call.id,
      target: call.sentTo.at(-1)!,
      connection,
      framing,
      callerFraming: call.answer.framing!,
    });
  }

  /** Reports the end of an answer that only its connection delimits. */
  recordEnd(
    call: RelayCall<Req>,
    {connection}: TargetAnswer<Head>,
    finding: EndFinding,
  ): void {
    const {id, receivedBytes, sendAgeMs: ageMs, tailMs = 0} = call;
    const target = call.sentTo.at(-1)!;
    this.parts.observer.answerEnded({
      id,
      target,
      connection,
      finding,
      ageMs,
      receivedBytes,
      tailMs,
    });
  }

  /** Records a run whose answer looks complete. */
  recordWholeRun(
    target: KnownTarget,
    call: RelayCall<Req>,
    {framing, status}: Head,
  ): void {
    target.recordRun(call.sendAgeMs);
    // A target that leaves may have ended with an answer without a length.
    const isTold = framing !== FRAMING.close;
    if (isTold && status === OK) call.run?.recordComplete();
  }

  /** Records a run that brought no complete answer. */
  async recordLostRun(
    target: KnownTarget,
    call: RelayCall<Req>,
  ): Promise<void> {
    // Where a helper host is between, the connection may have ended there.
    const {endFinding = END_DOUBT.brokenOff} = call;
    const mayHaveFailed = !this.parts.paths.isLost(target);
    if (mayHaveFailed && isFailure(endFinding)) this.recordFailure(target);
    if (TARGET_ENDS.has(call.endedBy)) await this.recordBrokenRun(target, call);
  }

  private recordFailure({health, registration}: KnownTarget): void {
    this.parts.observer.targetAvoided(registration.id, health.recordFailure());
  }

  /**
   * Records a send whose target did not run the request.
   *
   * @returns once the request may be sent again.
   */
  async recordNotRun(
    target: KnownTarget,
    req: Req,
    call: RelayCall<Req>,
    sent: NotRunSend,
  ): Promise<void> {
    const {reason} = sent;
    if (reason === NOT_RUN.unreachable) {
      await this.recordUnreachable(target, req, call, sent);
      return;
    }
    const {id} = target.registration;
    if (reason === NOT_RUN.noPath) {
      if (!this.parts.paths.isLost(target)) call.tried.add(id);
      return;
    }
    if (!NOT_DELIVERED.has(reason)) call.deliveredSends += 1;
    call.tried.add(id);
    if (reason === NOT_RUN.otherProcess) target.isRemoved = true;
    if (req.demand === undefined) return;
    if (reason === NOT_RUN.modelAbsent && call.work !== undefined)
      call.lacking.add(target, req.demand);
    this.parts.models.recordNotRun(target, req.demand, reason);
    const isReachable =
      reason === NOT_RUN.refused || reason === NOT_RUN.modelAbsent;
    // The finder looks up the models of the target again, so it may be retried.
    if (isReachable) call.tried.delete(id);
  }

  /** Records a target that could not be reached, unless its path is the cause. */
  private async recordUnreachable(
    target: KnownTarget,
    req: Req,
    call: RelayCall<Req>,
    sent: NotRunSend,
  ): Promise<void> {
    const {paths, tasks} = this.parts;
    const {id} = target.registration;
    const isPathLost = !sent.isTunneled && paths.isLost(target);
    if (isPathLost) return;
    call.tried.add(id);
    this.recordFailure(target);
    // Either the helper or the target may have been silent.
    if (sent.isTunneled && !sent.isRefused) return;
    call.unexplainedSends += 1;
    const explain = async () => {
      const verdict = sent.isTunneled
        ? PATH_VERDICT.targetEnded
        : await paths.judge(target);
      if (verdict === PATH_VERDICT.lost) call.tried.delete(id);
      else await this.reportUnreachable(target, req, sent, verdict);
    };
    const subject = {id: call.id, target: id};
    const explained = tasks.run('unreachable_target', explain, subject);
    if (call.unexplainedSends >= MAX_UNEXPLAINED) await explained;
  }

  private async reportUnreachable(
    target: KnownTarget,
    {demand}: Req,
    {isRefused = false}: NotRunSend,
    verdict: PathVerdict,
  ): Promise<void> {
    const {models, paths, targets} = this.parts;
    targets.recordUnreachable(target);
    if (demand !== undefined)
      models.recordNotRun(target, demand, NOT_RUN.unreachable);
    if (!isRefused || verdict === PATH_VERDICT.sound) return;
    const hasEnded =
      verdict === PATH_VERDICT.targetEnded ||
      (await paths.confirmEnded(target));
    if (hasEnded) this.recordRefusedConnection(target);
  }

  private recordRefusedConnection(target: KnownTarget): void {
    // A process that has sent nothing yet may not listen yet.
    if (!target.hasBeenHeard) return;
    const {id, startedMs} = target.registration;
    this.parts.observer.targetRefusedConnection(id, startedMs);
    this.parts.targets.markEnded(id, startedMs);
  }

  /** Reports a send that has led to no complete answer. */
  reportSendEnd(
    target: KnownTarget,
    req: Req,
    call: RelayCall<Req>,
    end: string,
    detail: string,
    connection?: string,
  ): void {
    this.parts.observer.sendEnded({
      id: req.id,
      target: target.registration.id,
      end,
      endedBy: call.endedBy,
      detail,
      ageMs: call.sendAgeMs,
      receivedBytes: call.receivedBytes,
      parts: call.parts,
      connection,
    });
  }
}
