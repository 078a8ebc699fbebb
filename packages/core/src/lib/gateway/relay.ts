/** Relays requests of callers to targets. @packageDocumentation */

import {
  FAILURE,
  Outcome,
  REFUSAL,
  Refusal,
  UnservedOutcome,
  fail,
  refuse,
} from '../requests/outcome.js';
import {PathView, UncheckedPaths} from '../paths/path_view.js';
import {TaskSupervisor} from '../tasks/task_supervisor.js';
import {Clock} from '../time/clock.js';
import {Random} from '../time/random.js';
import {Admission, Rejected} from './admission.js';
import {ENDED_BY} from './answer_end.js';
import {AnswerHead, CallerRequest} from './caller_request.js';
import {StreamContinuity} from '../continuation/stream_continuity.js';
import {digestParts} from '../quarantine/part_digest.js';
import {digestRequest} from '../quarantine/request_digest.js';
import {DeploymentState} from './deployment_state.js';
import {REQUEST_KIND, RouteRule, TeamConfig} from './deployment.js';
import {Freshness} from './freshness.js';
import {HeadWait} from './head_wait.js';
import {ModelFinder} from './model_finder.js';
import {PromptGuard} from '../quarantine/prompt_guard.js';
import {RelayCall, SendAttempt} from './relay_call.js';
import {RelayObserver, RequestTrace} from './relay_observer.js';
import {traceRequest} from './relay_trace.js';
import {AnswerRelay, RELAY_RESULT} from './answer_relay.js';
import {RetryAllowance} from './retry_allowance.js';
import {RunRecorder} from './run_recorder.js';
import {RunReplacement} from './run_replacement.js';
import {RunStallHandler, RunStallHandlerParts} from './run_stall_handler.js';
import {noCapacityRefusal, stoppingRefusal} from './capacity_refusal.js';
import {StreamResumption} from './stream_resumption.js';
import {chooseService} from './target_choice.js';
import {TargetProber} from './target_prober.js';
import {TargetSearch} from './target_search.js';
import {TargetAnswer, TargetPort, UnansweredSend} from './target_port.js';
import {TargetSends} from '../target_limits/target_sends.js';
import {KnownTarget, TargetTable} from './target_table.js';
import {WorkModel} from '../work/work_model.js';
import {TeamQuotas} from './team_quotas.js';
import {urgencyOf} from './urgency.js';

/** Retry-after time of a refusal to continue a stream of unknown origin. */
const UNKNOWN_ORIGIN_RETRY_AFTER_MS = 1_000;

/**
 * Time between checks of an exhausted retry budget, and the time limit for them
 * in latency objectives.
 */
const BUDGET_POLL_MS = 150;
const MAX_BUDGET_WAIT_OBJECTIVES = 3;

/** Maximum number of sends of one request, whatever their results. */
const MAX_SENDS = 8;

/** Number of targets that may end while they run the same request. */
const MAX_ENDED_TARGETS = 2;

const SERVER_ERROR = 500;

/** Dependencies of a {@link Relay}. */
export interface RelayParts<
  Req extends CallerRequest<Head>,
  Head extends AnswerHead,
> {
  clock: Clock;
  random: Random;
  state: DeploymentState;
  freshness: Freshness;
  targets: TargetTable;
  port: TargetPort<Req, Head>;
  quotas: TeamQuotas;
  retries: RetryAllowance;
  models: ModelFinder;
  prompts: PromptGuard;
  sends: TargetSends;
  work: WorkModel;
  continuity: StreamContinuity;
  observer: RelayObserver;
  tasks: TaskSupervisor;
  /** Zone of this host. */
  zone: string;
  /** Tells lost paths from failed targets; by default no path is checked. */
  paths?: PathView;
}

/**
 * Handles each request from admission to its single answer. Only this class
 * decides whether an answer may say "not run": this is correct only as long as
 * no target may have started to work on the request.
 */
export class Relay<Req extends CallerRequest<Head>, Head extends AnswerHead> {
  private readonly admission: Admission;
  private readonly answers: AnswerRelay<Req, Head>;
  private readonly search: TargetSearch;
  private readonly runs: RunRecorder<Req, Head>;
  private readonly resumption: StreamResumption<Req>;
  private readonly stallParts: RunStallHandlerParts;
  private readonly calls = new Set<RelayCall<Req>>();
  private isClosing = false;

  /** @param parts - the dependencies, see {@link RelayParts}. */
  constructor(private readonly parts: RelayParts<Req, Head>) {
    const {paths = new UncheckedPaths()} = parts;
    this.admission = new Admission(parts);
    const {clock, observer, port, retries, tasks} = parts;
    this.answers = new AnswerRelay({
      clock,
      tasks,
      onBegun: (call, answer) => this.runs.recordBegunAnswer(call, answer),
      onEvents: call => this.resumption.recordEvents(call),
      onEnd: (call, answer, finding) =>
        this.runs.recordEnd(call, answer, finding),
      watch: target => port.watch(target),
    });
    this.search = new TargetSearch({...parts, paths});
    this.runs = new RunRecorder({...parts, paths});
    this.resumption = new StreamResumption(parts.continuity);
    this.stallParts = {
      prober: new TargetProber(clock, target => port.probe(target), paths),
      replacement: new RunReplacement(this.admission, this.search, retries),
      observer,
      tasks,
    };
    parts.prompts.onQuarantined(part => this.withdrawSends(part));
  }

  /**
   * Handles a request; it is answered once the promise resolves.
   *
   * @param req - the request.
   */
  async handle(req: Req): Promise<void> {
    const {clock, observer} = this.parts;
    const admitted = await this.admission.admit(req);
    if (admitted.isErr()) {
      this.reject(req, admitted.error);
      return;
    }
    const {route, team, tokens} = admitted.value;
    const timeoutMs = Math.min(req.timeoutMs ?? Infinity, route.timeoutMs);
    const limitMs = req.arrivedMs + timeoutMs;
    const call = new RelayCall(clock, req, route, team, limitMs);
    this.calls.add(call);
    try {
      const outcome = this.isClosing
        ? stoppingRefusal()
        : await this.run(req, call);
      this.answer(req, call, outcome);
      if (team !== undefined && outcome.type === 'refused') {
        this.parts.quotas.refund(team, tokens);
      }
      observer.requestEnded(traceRequest(this.parts, req, call, outcome));
    } finally {
      this.calls.delete(call);
      call.dispose();
    }
  }

  /**
   * Refuses a request if its head decides that; it is answered then.
   *
   * @param req - the request, whose body has not been read.
   * @returns whether it was refused.
   */
  refuseFromHead(req: Req): boolean {
    const checked = this.admission.checkHead(req);
    if (checked.isErr()) this.reject(req, checked.error);
    return checked.isErr();
  }

  /** Refuses a request that was not admitted, and records it. */
  reject(req: Req, {refusal, route, team}: Rejected): void {
    req.refuse(refusal);
    const outcome: Outcome = req.signal.aborted ? {type: 'cancelled'} : refusal;
    const trace = traceRequest(this.parts, req, undefined, outcome);
    this.parts.observer.requestEnded({...trace, ...routeAndTeam(route, team)});
  }

  /**
   * Refuses requests that wait to be sent, and all new ones. Requests that
   * targets work on are not affected.
   */
  refuseWaiting(): void {
    this.isClosing = true;
    this.parts.quotas.stopWaiting();
    for (const call of this.calls) call.stopWaiting();
  }

  /** Number of requests that wait at this host for room at a target. */
  get waitingForRoom(): number {
    return this.search.waiting.size;
  }

  /** Aborts all requests. */
  abortAll(): void {
    for (const call of this.calls) call.abort(ENDED_BY.stop);
  }

  /** Cancels the sends of requests with a part that no target has answered. */
  private withdrawSends(part: string): void {
    for (const call of this.calls) {
      if (call.parts.includes(part)) call.withdrawSend();
    }
  }

  /** Sends a request until it is answered or must not be sent again. */
  private async run(req: Req, call: RelayCall<Req>): Promise<Outcome> {
    const {random} = this.parts;
    const service = chooseService(call.route.shares, random.float());
    if (service === undefined) {
      return refuse(REFUSAL.noCapacity, 'the route has no service');
    }
    call.service = service;
    if (!this.resumption.tryResume(req, call)) {
      const message = 'the software version of the stream is not known';
      return refuse(REFUSAL.noCapacity, message, UNKNOWN_ORIGIN_RETRY_AFTER_MS);
    }
    const sharedParts = digestParts(call.service, req.sharedParts);
    call.parts = [...sharedParts, digestRequest(req.content, call.team?.name)];
    const refusal = this.parts.prompts.check(call.parts);
    if (refusal !== undefined) return refusal;
    this.parts.retries.countRequest(call.service);
    if (req.demand !== undefined) {
      const {objectiveMs} = call.route;
      this.parts.models.countRequest(call.service, req.demand, objectiveMs);
    }
    for (;;) {
      if (call.signal.aborted) return this.abortedOutcome(req, call);
      const target = await this.search.find(req, call);
      if (call.signal.aborted) return this.abortedOutcome(req, call);
      if (target.isErr()) {
        if (await this.waitToContinue(call)) continue;
        const isStopped = call.waitSignal.aborted;
        const refusal = isStopped ? stoppingRefusal() : target.error;
        return this.unservedOutcome(call, refusal);
      }
      const refusal = this.checkSend(req, call);
      if (refusal !== undefined) {
        const isPassing = refusal.reason === REFUSAL.configTooOld;
        if (isPassing && (await this.waitToContinue(call))) continue;
        return this.unservedOutcome(call, refusal);
      }
      if (!this.tryTakeSend(call)) {
        if (await this.waitToContinue(call)) continue;
        if (call.possibleRuns > 0 || !this.canWaitForBudget(req, call)) {
          const refusal = noCapacityRefusal('the retry budget is used up');
          return this.unservedOutcome(call, refusal);
        }
        await this.parts.clock.sleep(BUDGET_POLL_MS, call.waitSignal);
        continue;
      }
      call.permit = await this.parts.sends.acquire(
        target.value,
        {
          objectiveMs: call.route.objectiveMs,
          hasOther: () => this.search.hasOther(target.value, req, call),
        },
        call.waitSignal,
      );
      if (call.permit === undefined) {
        this.parts.observer.sendThrottled(target.value.registration.id);
        if (call.waitSignal.aborted && !call.signal.aborted)
          return this.unservedOutcome(call, stoppingRefusal());
        continue;
      }
      // Its zone may have been evacuated while the request waited.
      if (target.value.isEvacuated) continue;
      const outcome =
        (await this.checkPrompt(target.value, req, call)) ??
        (await this.sendTo(target.value, req, call));
      if (outcome !== undefined) return outcome;
    }
  }

  /**
   * Checks whether a request may be sent now.
   *
   * @returns the refusal, or undefined if it may be sent.
   */
  private checkSend(req: Req, call: RelayCall<Req>): Refusal | undefined {
    if (call.sends >= MAX_SENDS && !call.mustContinue) {
      return noCapacityRefusal('every target that was tried refused');
    }
    if (call.endedTargets >= MAX_ENDED_TARGETS) {
      return noCapacityRefusal('every target that ran it ended');
    }
    return this.admission.recheck(req, call.team);
  }

  /**
   * Waits until the parts of the prompt may be sent to a target.
   *
   * @returns the outcome, or undefined if they may.
   */
  private async checkPrompt(
    target: KnownTarget,
    req: Req,
    call: RelayCall<Req>,
  ): Promise<Outcome | undefined> {
    const {prompts} = this.parts;
    const {id} = target.registration;
    const admitted = await prompts.admit(call, id, call.waitSignal);
    if (admitted.isErr()) {
      if (call.signal.aborted) return this.abortedOutcome(req, call);
      const isStopped = call.waitSignal.aborted;
      const refusal = isStopped ? stoppingRefusal() : admitted.error;
      return this.unservedOutcome(call, refusal);
    }
    call.trial = admitted.value;
    if (!call.signal.aborted) return undefined;
    this.runs.endTrial(call);
    return this.abortedOutcome(req, call);
  }

  /**
   * Takes a retry from the budget unless no send has reached a target yet.
   *
   * @returns whether the request may be sent.
   */
  private tryTakeSend(call: RelayCall<Req>): boolean {
    if (call.deliveredSends === 0 || call.holdsRetry) return true;
    call.holdsRetry = this.parts.retries.tryRetry(call.service);
    return call.holdsRetry;
  }

  /**
   * Checks whether a request that did not run may wait for the retry budget.
   *
   * @returns whether it may wait.
   */
  private canWaitForBudget(req: Req, call: RelayCall<Req>): boolean {
    if (call.waitSignal.aborted) return false;
    const waitMs = call.route.objectiveMs * MAX_BUDGET_WAIT_OBJECTIVES;
    return this.parts.clock.now() < req.arrivedMs + waitMs;
  }

  /**
   * Waits before the next attempt to continue a stream whose run this host has
   * given up.
   *
   * @returns whether the stream has to be continued.
   */
  private async waitToContinue(call: RelayCall<Req>): Promise<boolean> {
    if (!call.mustContinue) return false;
    await this.parts.clock.sleep(BUDGET_POLL_MS, call.signal);
    return true;
  }

  /**
   * Sends a request to a target and relays the answer.
   *
   * @returns the outcome, or undefined if the request may be sent again.
   */
  private async sendTo(
    target: KnownTarget,
    req: Req,
    call: RelayCall<Req>,
  ): Promise<Outcome | undefined> {
    const {clock, observer} = this.parts;
    const {registration} = target;
    if (target.requestsPerSecond !== undefined)
      observer.limitedSend(registration.id, call.sends > 0);
    call.recordSend(target);
    call.holdsRetry = false;
    const wait = new HeadWait(clock, this.stallParts, {target, req, call});
    const attempt = call.startAttempt(wait.checkAfterMs, () => wait.canEnd());
    call.run = this.parts.prompts.observeRun(call.parts);
    target.beginRequest(req.demand);
    this.beginWork(target, req, call);
    let isWhole = false;
    try {
      const sent = await this.parts.port.send(target, req, {
        remainingMs: call.remainingMs,
        team: call.team?.name,
        urgency: urgencyOf(call),
        lastEventId: call.lastEventId,
        needsSafeConnection: !call.isRepeatable,
        canStillSend: () => this.canStillSend(target, req, call),
        signal: attempt.signal,
      });
      attempt.cancelHeadTimeout();
      this.runs.recordSignals(target, sent);
      if (sent.type === 'answered') {
        call.recordAnswered(sent.answer);
        observer.sendAnswered(registration.id);
        const {answer} = sent;
        const outcome = await this.relay(target, req, call, answer, attempt);
        isWhole = outcome?.type === 'served';
        return outcome;
      }
      const {connection, reason, type} = sent;
      this.runs.reportSendEnd(target, req, call, type, reason, connection);
      return await this.handleUnanswered(target, req, call, sent, attempt);
    } finally {
      attempt.dispose();
      target.endRequest(req.demand);
      call.work?.end(isWhole);
      this.runs.endTrial(call);
    }
  }

  /** Counts the work of a send, if its service has a model of work. */
  private beginWork(target: KnownTarget, req: Req, call: RelayCall<Req>): void {
    const {work} = this.parts;
    const {kind, objectiveMs} = call.route;
    const requestWork = work.workOf(call.service, req, objectiveMs);
    const isStream = kind === REQUEST_KIND.stream;
    call.work = requestWork && work.begin(target, requestWork, isStream);
  }

  /**
   * Checks again, once a connection is established, that a request may be sent.
   *
   * @returns whether it may.
   */
  private canStillSend(
    target: KnownTarget,
    req: Req,
    call: RelayCall<Req>,
  ): boolean {
    if (!target.takesRequests || !call.permit?.isValid) return false;
    const isTrial = call.trial !== undefined;
    if (!this.parts.prompts.canStillSend(call.parts, isTrial)) return false;
    return this.admission.recheck(req, call.team) === undefined;
  }

  private async handleUnanswered(
    target: KnownTarget,
    req: Req,
    call: RelayCall<Req>,
    sent: UnansweredSend,
    attempt: SendAttempt,
  ): Promise<Outcome | undefined> {
    if (sent.type === 'not-run') {
      await this.runs.recordNotRun(target, req, call, sent);
      return undefined;
    }
    if (call.signal.aborted) {
      call.possibleRuns += 1;
      return this.abortedOutcome(req, call);
    }
    call.possibleRuns += 1;
    call.deliveredSends += 1;
    call.tried.add(target.registration.id);
    if (!attempt.isWithdrawn) await this.runs.recordLostRun(target, call);
    if (call.canRunAgain) return undefined;
    return fail(FAILURE.targetLost, 'the target gave no answer');
  }

  /** Relays an answer, or discards one that cannot be used. */
  private async relay(
    target: KnownTarget,
    req: Req,
    call: RelayCall<Req>,
    answer: TargetAnswer<Head>,
    attempt: SendAttempt,
  ): Promise<Outcome | undefined> {
    const {status} = answer.head;
    call.deliveredSends += 1;
    const isFailure = status >= SERVER_ERROR;
    if (isFailure) target.health.recordErrorAnswer();
    else target.health.recordSuccess();
    const isUnusable = call.isHeadSent
      ? !call.answer.canContinueWith(answer.head)
      : isFailure;
    if (isUnusable && (call.isHeadSent || call.canRunAgain)) {
      answer.discard();
      call.tried.add(target.registration.id);
      const detail = `status ${status}`;
      const {connection} = answer;
      this.runs.reportSendEnd(target, req, call, 'error', detail, connection);
      if (call.signal.aborted) return this.abortedOutcome(req, call);
      if (call.canRunAgain) return undefined;
      return fail(
        FAILURE.targetError,
        'the answer was continued with an error',
      );
    }
    const run = {target, req, call, answer};
    const stalls = new RunStallHandler(this.stallParts, run);
    const end = await this.answers.relay(call, target, answer, stalls);
    if (end === RELAY_RESULT.whole) {
      this.runs.recordWholeRun(target, call, answer.head);
      return {type: 'served'};
    }
    call.endIfLate();
    if (call.signal.aborted) return this.abortedOutcome(req, call);
    const detail = `status ${status}`;
    const {connection} = answer;
    this.runs.reportSendEnd(target, req, call, 'broken', detail, connection);
    call.tried.add(target.registration.id);
    if (!attempt.isWithdrawn) await this.runs.recordLostRun(target, call);
    if (call.canRunAgain) return undefined;
    return fail(FAILURE.targetLost, 'the target broke its answer off');
  }

  /**
   * Returns the outcome of a request whose caller disconnected or whose
   * deadline has passed.
   */
  private abortedOutcome(req: Req, call: RelayCall<Req>): Outcome {
    if (req.signal.aborted) return {type: 'cancelled'};
    if (call.possibleRuns > 0)
      return fail(FAILURE.deadline, 'the time is over');
    return refuse(REFUSAL.deadline, 'the time is over');
  }

  /**
   * Returns the outcome of a request that is not sent again: the refusal, or a
   * failure if a target may have run it.
   */
  private unservedOutcome(
    call: RelayCall<Req>,
    refusal: Refusal,
  ): UnservedOutcome {
    if (call.possibleRuns === 0) return refusal;
    return fail(FAILURE.targetLost, refusal.message);
  }

  private answer(req: Req, call: RelayCall<Req>, outcome: Outcome): void {
    if (outcome.type === 'served') return;
    if (call.isHeadSent) req.abort();
    else if (outcome.type === 'refused') req.refuse(outcome);
    else req.fail(outcome);
  }
}

function routeAndTeam(
  route: RouteRule | undefined,
  team: TeamConfig | undefined,
): Partial<RequestTrace> {
  return {route: route?.name, kind: route?.kind, team: team?.name};
}
