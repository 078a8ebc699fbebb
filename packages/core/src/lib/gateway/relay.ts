/** Relays requests of callers to targets. @packageDocumentation */

import {Result, err, ok} from 'neverthrow';
import {
  FAILURE,
  Outcome,
  REFUSAL,
  Refusal,
  Unserved,
  fail,
  refuse,
} from '../requests/outcome.js';
import {Clock} from '../time/clock.js';
import {Random} from '../time/random.js';
import {Admission} from './admission.js';
import {AnswerHead, CallerRequest} from './caller_request.js';
import {DeploymentState} from './deployment_state.js';
import {REQUEST_KIND, RouteRule, TeamFacts} from './deployment.js';
import {Freshness} from './freshness.js';
import {ModelFinder} from './model_finder.js';
import {RelayCall} from './relay_call.js';
import {RelayJournal, RequestStory} from './relay_journal.js';
import {AnswerRelay, RELAYED} from './answer_relay.js';
import {RetryAllowance} from './retry_allowance.js';
import {chooseService, chooseTarget, quietTimeOf} from './target_choice.js';
import {
  NOT_RUN,
  NotRunReason,
  SendResult,
  TargetAnswer,
  TargetPort,
} from './target_port.js';
import {KnownTarget, TargetTable} from './target_table.js';
import {TeamQuotas} from './team_quotas.js';

/** Time reserved for sending the answer to the caller. */
const ANSWER_MARGIN_MS = 15;

/** Retry-after time of a refusal because there is no target or all are full. */
const CAPACITY_RETRY_AFTER_MS = 1_000;

/**
 * Retry-after time of a refusal because this host is stopping; the caller
 * retries at another host.
 */
const STOPPING_RETRY_AFTER_MS = 50;

/** Pause before a request is sent again to targets that have all refused it. */
const REFUSED_PAUSE_MS = 60;

/** Time between checks for an open target of a service that has none. */
const NO_TARGET_PAUSE_MS = 50;

/**
 * Time between checks of an exhausted retry budget, and the time limit for them
 * in latency objectives.
 */
const BUDGET_PAUSE_MS = 150;
const BUDGET_WAIT_OBJECTIVES = 3;

/** Maximum number of sends of one request, whatever their results. */
const MAX_SENDS = 8;

/**
 * Time limit for the head of an answer, in latency objectives, if the request
 * can be sent to another target.
 */
const HEAD_LIMIT_OBJECTIVES = 4;

/** Minimum of that time limit. */
const MIN_HEAD_LIMIT_MS = 1_000;

/** Reasons for which no byte of a request has reached a target. */
const STAYED_HERE: ReadonlySet<NotRunReason> = new Set([
  NOT_RUN.unreachable,
  NOT_RUN.noConnection,
  NOT_RUN.withdrawn,
]);

const OK = 200;
const SERVER_ERROR = 500;
const LEAST_URGENT = 9;

/**
 * Latency objective above which a generation yields to other requests of the
 * same priority.
 */
const PATIENT_OBJECTIVE_MS = 1_000;

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
  journal: RelayJournal;
  /** Zone of this host. */
  zone: string;
}

/**
 * Handles each request from admission to its single answer. Only this class
 * decides whether an answer may say "not run": this is correct only as long as
 * no target may have started to work on the request.
 */
export class Relay<Req extends CallerRequest<Head>, Head extends AnswerHead> {
  private readonly admission: Admission;
  private readonly answers: AnswerRelay<Req, Head>;
  private readonly calls = new Set<RelayCall<Req>>();
  private isClosing = false;

  /** @param parts - the dependencies, see {@link RelayParts}. */
  constructor(private readonly parts: RelayParts<Req, Head>) {
    this.admission = new Admission(parts);
    this.answers = new AnswerRelay(parts.clock);
  }

  /**
   * Handles a request; it is answered once the promise resolves.
   *
   * @param req - the request.
   */
  async handle(req: Req): Promise<void> {
    const {clock, journal} = this.parts;
    const admitted = await this.admission.admit(req);
    if (admitted.isErr()) {
      const {refusal, route, team} = admitted.error;
      req.refuse(refusal);
      const story = this.story(req, undefined, refusal);
      journal.ended({...story, ...namesOf(route, team)});
      return;
    }
    const {route, team, tokens} = admitted.value;
    const patienceMs = Math.min(req.patienceMs ?? Infinity, route.timeoutMs);
    const deadlineMs = req.arrivedMs + patienceMs - ANSWER_MARGIN_MS;
    const call = new RelayCall(clock, req, route, team, deadlineMs);
    this.calls.add(call);
    try {
      const outcome = this.isClosing ? stopping() : await this.run(req, call);
      this.answer(req, call, outcome);
      if (team !== undefined && outcome.type === 'refused') {
        this.parts.quotas.giveBack(team, tokens);
      }
      journal.ended(this.story(req, call, outcome));
    } finally {
      this.calls.delete(call);
      call.dispose();
    }
  }

  /**
   * Refuses requests that wait to be sent, and all new ones. Requests that
   * targets work on are not affected.
   */
  refuseWaiting(): void {
    this.isClosing = true;
    for (const call of this.calls) call.stopWaiting();
  }

  /** Aborts all requests. */
  endAll(): void {
    for (const call of this.calls) call.stop();
  }

  /** Sends a request until it is answered or must not be sent again. */
  private async run(req: Req, call: RelayCall<Req>): Promise<Outcome> {
    const {random} = this.parts;
    const service = chooseService(call.route.shares, random.float());
    if (service === undefined) {
      return refuse(REFUSAL.noCapacity, 'the route has no service');
    }
    call.service = service;
    this.parts.retries.noteRequest(service);
    if (req.demand !== undefined) {
      const {objectiveMs} = call.route;
      this.parts.models.noteArrival(service, req.demand, objectiveMs);
    }
    for (;;) {
      if (call.signal.aborted) return this.ended(req, call);
      const target = await this.findTarget(req, call);
      if (call.signal.aborted) return this.ended(req, call);
      if (target.isErr()) {
        const isStopped = call.waitSignal.aborted;
        const refusal = isStopped ? stopping() : target.error;
        return this.unserved(call, refusal);
      }
      const barred = this.barred(req, call);
      if (barred !== undefined) return this.unserved(call, barred);
      if (!this.maySend(call)) {
        if (call.runs > 0 || !this.mayWait(req, call)) {
          const refusal = noCapacity('the retry budget is used up');
          return this.unserved(call, refusal);
        }
        await this.parts.clock.sleep(BUDGET_PAUSE_MS, call.waitSignal);
        continue;
      }
      const outcome = await this.sendTo(target.value, req, call);
      if (outcome !== undefined) return outcome;
    }
  }

  /**
   * Checks whether a request may be sent now.
   *
   * @returns the refusal, or undefined if it may be sent.
   */
  private barred(req: Req, call: RelayCall<Req>): Refusal | undefined {
    if (call.sends >= MAX_SENDS) {
      return noCapacity('every target that was tried refused');
    }
    return this.admission.recheck(req, call.team);
  }

  /**
   * Takes a retry from the budget unless no send has reached a target yet.
   *
   * @returns whether the request may be sent.
   */
  private maySend(call: RelayCall<Req>): boolean {
    if (call.arrivals === 0) return true;
    return this.parts.retries.tryRetry(call.service);
  }

  /**
   * Checks whether a request that did not run may wait for the retry budget.
   *
   * @returns whether it may wait.
   */
  private mayWait(req: Req, call: RelayCall<Req>): boolean {
    if (call.waitSignal.aborted) return false;
    const waitMs = call.route.objectiveMs * BUDGET_WAIT_OBJECTIVES;
    return this.parts.clock.now() < req.arrivedMs + waitMs;
  }

  private async findTarget(
    req: Req,
    call: RelayCall<Req>,
  ): Promise<Result<KnownTarget, Refusal>> {
    const {clock, models, targets} = this.parts;
    const giveUpMs = req.arrivedMs + call.route.objectiveMs / 2;
    const engine = this.engineOf(call);
    for (;;) {
      const options = {
        zone: this.parts.zone,
        tried: call.tried,
        draw: this.parts.random.float(),
      };
      const all = targets.ofService(call.service);
      const {demand} = req;
      const isModel = engine && demand !== undefined;
      const able = isModel
        ? all.filter(target => target.holds(demand.model, demand.adapter))
        : all;
      const target = chooseTarget(able, options);
      if (target !== undefined && !target.health.isAvoided) return ok(target);
      const quietMs = quietTimeOf(able);
      if (quietMs !== undefined) return err(quiet(quietMs));
      if (isModel) {
        const found = await models.find(
          this.search(req, call),
          call.waitSignal,
        );
        if (found.isOk() || target === undefined) return found;
      }
      if (target !== undefined) return ok(target);
      if (call.tried.size > 0) {
        call.tried.clear();
        await clock.sleep(REFUSED_PAUSE_MS, call.waitSignal);
      } else if (clock.now() < giveUpMs) {
        await clock.sleep(NO_TARGET_PAUSE_MS, call.waitSignal);
      } else {
        return err(noCapacity('no target of the service is open'));
      }
      if (call.waitSignal.aborted) return err(noCapacity('the time is over'));
    }
  }

  private search(req: Req, call: RelayCall<Req>) {
    return {
      id: req.id,
      service: call.service,
      demand: req.demand!,
      objectiveEndMs: req.arrivedMs + call.route.objectiveMs,
      deadlineMs: call.deadlineMs,
      tried: this.triedOrQuiet(call),
    };
  }

  /** Returns the ids of the targets that were tried or are backing off. */
  private triedOrQuiet(call: RelayCall<Req>): ReadonlySet<string> {
    const left = new Set(call.tried);
    for (const target of this.parts.targets.ofService(call.service)) {
      if (target.quietLeftMs > 0) left.add(target.notice.id);
    }
    return left;
  }

  private engineOf(call: RelayCall<Req>): boolean {
    const {deployment} = this.parts.state.current!;
    return deployment.services.get(call.service)?.engine !== undefined;
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
    const {clock, journal} = this.parts;
    const {notice} = target;
    const attempt = call.beginAttempt(this.headLimitMs(call));
    call.noteSend(notice.id);
    target.began(req.demand);
    try {
      const sent = await this.parts.port.send(target, req, {
        remainingMs: Math.max(1, Math.floor(call.deadlineMs - clock.now())),
        team: call.team?.name,
        urgency: urgencyOf(call),
        lastEventId: call.lastEventId,
        needsSafeConnection: !call.isRepeatable,
        mayLeave: () => this.mayLeave(target, req, call),
        signal: attempt.signal,
      });
      attempt.headCame();
      this.noteSigns(target, sent);
      if (sent.type === 'answered') {
        call.runs += 1;
        journal.sendAnswered(notice.id);
        return await this.relay(target, req, call, sent.answer);
      }
      const detail = sent.reason;
      journal.sendEnded(req.id, notice.id, sent.type, detail);
      return this.afterSend(target, req, call, sent);
    } finally {
      attempt.dispose();
      target.ended(req.demand);
    }
  }

  /**
   * Checks again, once a connection is established, that a request may be sent.
   *
   * @returns whether it may.
   */
  private mayLeave(
    target: KnownTarget,
    req: Req,
    call: RelayCall<Req>,
  ): boolean {
    if (!target.takesRequests) return false;
    return this.admission.recheck(req, call.team) === undefined;
  }

  /** Records the signals of a target, whatever the result of the send. */
  private noteSigns(target: KnownTarget, sent: SendResult<Head>): void {
    const signs = sent.type === 'answered' ? sent.answer.signs : undefined;
    const said = sent.type === 'not-run' ? sent.signs : signs;
    if (said === undefined) return;
    this.parts.targets.noteSigns(target, said);
    if (said.quietMs === undefined) return;
    this.parts.journal.targetQuiet(target.notice.id, said.quietMs);
  }

  private afterSend(
    target: KnownTarget,
    req: Req,
    call: RelayCall<Req>,
    sent: Exclude<SendResult<Head>, {type: 'answered'}>,
  ): Outcome | undefined {
    if (sent.type === 'not-run') {
      this.noteNotRun(target, req, call, sent.reason);
      return undefined;
    }
    if (call.signal.aborted) {
      call.runs += 1;
      return this.ended(req, call);
    }
    this.noteFailure(target);
    call.runs += 1;
    call.arrivals += 1;
    call.tried.add(target.notice.id);
    if (call.mayRunAgain) return undefined;
    return fail(FAILURE.targetLost, 'the target gave no answer');
  }

  private noteFailure({health, notice}: KnownTarget): void {
    this.parts.journal.targetAvoided(notice.id, health.failed());
  }

  private noteNotRun(
    target: KnownTarget,
    req: Req,
    call: RelayCall<Req>,
    reason: NotRunReason,
  ): void {
    const {id} = target.notice;
    if (!STAYED_HERE.has(reason)) call.arrivals += 1;
    call.tried.add(id);
    if (reason === NOT_RUN.unreachable) this.noteFailure(target);
    if (reason === NOT_RUN.otherProcess) target.isGone = true;
    if (req.demand === undefined) return;
    this.parts.models.noteNotRun(target, req.demand, reason);
    const isThere =
      reason === NOT_RUN.refused || reason === NOT_RUN.modelAbsent;
    // The finder looks up the models of the target again, so it may be retried.
    if (isThere) call.tried.delete(id);
  }

  /** Relays an answer, or discards one that cannot be used. */
  private async relay(
    target: KnownTarget,
    req: Req,
    call: RelayCall<Req>,
    answer: TargetAnswer<Head>,
  ): Promise<Outcome | undefined> {
    const {journal} = this.parts;
    const {status} = answer.head;
    call.arrivals += 1;
    const isFailure = status >= SERVER_ERROR;
    if (isFailure) target.health.answeredFailure();
    else target.health.succeeded();
    const isUnfit = call.hasBegun ? status !== OK : isFailure;
    if (isUnfit && (call.hasBegun || call.mayRunAgain)) {
      answer.discard();
      call.tried.add(target.notice.id);
      journal.sendEnded(req.id, target.notice.id, 'error', `status ${status}`);
      return call.mayRunAgain ? undefined : this.ended(req, call);
    }
    const end = await this.answers.relay(req, call, answer);
    if (end === RELAYED.whole) return {type: 'served'};
    if (call.signal.aborted) return this.ended(req, call);
    journal.sendEnded(req.id, target.notice.id, 'broken', `status ${status}`);
    this.noteFailure(target);
    call.tried.add(target.notice.id);
    if (call.mayRunAgain) return undefined;
    return fail(FAILURE.targetLost, 'the target broke its answer off');
  }

  /**
   * Returns the outcome of a request whose caller disconnected or whose
   * deadline has passed.
   */
  private ended(req: Req, call: RelayCall<Req>): Outcome {
    if (req.signal.aborted) return {type: 'cancelled'};
    if (call.runs > 0) return fail(FAILURE.deadline, 'the time is over');
    return refuse(REFUSAL.deadline, 'the time is over');
  }

  /**
   * Returns the outcome of a request that is not sent again: the refusal, or a
   * failure if a target may have run it.
   */
  private unserved(call: RelayCall<Req>, refusal: Refusal): Unserved {
    if (call.runs === 0) return refusal;
    return fail(FAILURE.targetLost, refusal.message);
  }

  private answer(req: Req, call: RelayCall<Req>, outcome: Outcome): void {
    if (outcome.type === 'served') return;
    if (call.hasBegun) req.cut();
    else if (outcome.type === 'refused') req.refuse(outcome);
    else req.fail(outcome);
  }

  private headLimitMs(call: RelayCall<Req>): number | undefined {
    if (!call.isRepeatable) return undefined;
    const limitMs = call.route.objectiveMs * HEAD_LIMIT_OBJECTIVES;
    return Math.max(MIN_HEAD_LIMIT_MS, limitMs);
  }

  private story(req: Req, call: RelayCall<Req> | undefined, outcome: Outcome) {
    const {clock, freshness, state} = this.parts;
    return {
      id: req.id,
      route: call?.route.name,
      kind: call?.route.kind,
      team: call?.team?.name,
      service: call?.service,
      model: req.demand?.model,
      targets: call?.sentTo ?? [],
      configVersion: state.current?.deployment.version,
      configAgeMs: Math.round(freshness.ageMs),
      waitedMs: call?.firstSendMs,
      firstByteMs: call?.firstByteMs,
      totalMs: Math.round(clock.now() - req.arrivedMs),
      status: call?.status,
      outcome,
    };
  }
}

function namesOf(
  route: RouteRule | undefined,
  team: TeamFacts | undefined,
): Partial<RequestStory> {
  return {route: route?.name, kind: route?.kind, team: team?.name};
}

function urgencyOf<Req extends CallerRequest>(call: RelayCall<Req>): number {
  const {route, team} = call;
  const priority = team?.priority ?? route.priority;
  const isPatient = route.objectiveMs > PATIENT_OBJECTIVE_MS ? 1 : 0;
  const isGeneration = route.kind === REQUEST_KIND.stream ? 1 : 0;
  const rank = 2 * priority + isPatient * isGeneration;
  return Math.min(LEAST_URGENT, rank);
}

function stopping(): Refusal {
  const message = 'this host is stopping';
  return refuse(REFUSAL.stopping, message, STOPPING_RETRY_AFTER_MS);
}

function quiet(forMs: number): Refusal {
  const message = 'every target has named a time to come back';
  return refuse(REFUSAL.noCapacity, message, Math.ceil(forMs));
}

function noCapacity(message: string): Refusal {
  return refuse(REFUSAL.noCapacity, message, CAPACITY_RETRY_AFTER_MS);
}
