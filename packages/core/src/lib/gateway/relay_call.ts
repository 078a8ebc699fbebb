/** State of a request while it is relayed. @packageDocumentation */

import {Clock, Timer} from '../time/clock.js';
import {GuardedRun} from '../quarantine/guarded_run.js';
import {GrantedTrial} from '../quarantine/trial.js';
import type {SendPermit} from '../target_limits/send_permit.js';
import {ENDED_BY, EndedBy, connectionEndOf} from './answer_end.js';
import {Framing} from './answer_framing.js';
import {EndFinding} from './end_evidence.js';
import {CallerRequest} from './caller_request.js';
import {REQUEST_KIND, RouteRule, TeamConfig} from './deployment.js';
import {EventSplitter} from './event_splitter.js';
import {PassedAnswer} from './passed_answer.js';
import {TargetAnswer} from './target_port.js';
import {LackingTargets} from './lacking_targets.js';
import {KnownTarget} from './target_table.js';
import {SentWork} from '../work/sent_work.js';

/**
 * A single send of a request, with the time limit for the head of its answer.
 */
export interface SendAttempt {
  /**
   * Aborts with the request, or when the time limit for the head is reached.
   */
  signal: AbortSignal;
  /** Whether this host has withdrawn the request. */
  readonly isWithdrawn: boolean;
  /** Cancels the time limit for the head. */
  cancelHeadTimeout(): void;
  /** Cancels the send. */
  withdraw(): void;
  /** Cancels the timer and removes the listener. */
  dispose(): void;
}

/**
 * Time between checks whether a send without an answer can be ended, once its
 * time limit is reached.
 */
const HEAD_RECHECK_INTERVAL_MS = 150;

/**
 * Delay after the time limit for the head. A host that was busy runs its timers
 * before it reads what its connections have received meanwhile.
 */
const HEAD_CONFIRM_MS = 10;

/**
 * Time before the limit of a request that is reserved for sending an answer of
 * this host's own to the caller.
 */
const ANSWER_MARGIN_MS = 15;

/** Time after the limit of a request at which an answer under way is ended. */
const END_MARGIN_MS = 10;

/**
 * Delay from which a timer counts as late. A host that was held up runs its
 * timers before it reads what its connections have received meanwhile.
 */
const MIN_LATE_MS = 50;

/** Decisions about a request, and its progress. */
export class RelayCall<Req extends CallerRequest> {
  /** Name of the service; empty until it is chosen. */
  service = '';
  /**
   * Software version that the stream has begun at, if it has begun and the
   * version is known.
   */
  softwareVersion: string | undefined;
  /** Whether only targets of that version may go on with the stream. */
  isVersionFixed = false;
  /** Targets that refused the request or failed to answer it. */
  readonly tried = new Set<string>();
  /** Targets that have said that they lack the model. */
  readonly lacking = new LackingTargets();
  /** Targets that the request was sent to, in order. */
  readonly sentTo: string[] = [];
  /** Software versions of these targets. */
  readonly softwareVersions = new Set<string>();
  /** Number of sends that reached a target. */
  deliveredSends = 0;
  /** Number of sends to targets that could not be reached. */
  unexplainedSends = 0;
  /** Whether a send has got an answer and the run may go on. */
  isAnswered = false;
  /** Whether this host ended a run that its target may have completed. */
  wasGivenUp = false;
  /** Whether a retry was taken from the budget for the next send. */
  holdsRetry = false;
  /** Number of sends whose target may have started to work on the request. */
  possibleRuns = 0;
  /** Digests of the shared parts of the prompt, and of the whole request. */
  parts: readonly string[] = [];
  /** Number of processes that ended while they may have run the request. */
  endedTargets = 0;
  /** The trial of suspect parts of the prompt that the next send is. */
  trial: GrantedTrial | undefined;
  /** Permission for the current send. */
  permit: SendPermit | undefined;
  /** The work of the latest send, if its service has a model of work. */
  work: SentWork | undefined;
  /** Progress of the current send. */
  run: GuardedRun | undefined;
  /** Bytes of the body that the target of the current send has returned. */
  receivedBytes = 0;
  /**
   * Time from the last bytes of the current send's answer to its end, and from its
   * head if it has no body; undefined before its end.
   */
  tailMs: number | undefined;
  /** What is known of that end. */
  endFinding: EndFinding | undefined;
  /** What ended the current send, once its end is known; see {@link ENDED_BY}. */
  endedBy: EndedBy = ENDED_BY.target;
  /** What the caller has of an answer. */
  readonly answer: PassedAnswer;
  /** Connection of the latest send that was answered, and its framing. */
  connection: string | undefined;
  framing: Framing | undefined;
  /**
   * Time from arrival to the first send, and to the first byte of the answer.
   */
  firstSendMs: number | undefined;
  firstByteMs: number | undefined;
  /** Event splitter; set for resumable streams only. */
  readonly splitter: EventSplitter | undefined;
  private readonly requestController = new AbortController();
  private readonly waitController = new AbortController();
  /** Clock time at which an answer of this host's own has to be sent. */
  readonly deadlineMs: number;
  private timer!: Timer;
  private target: KnownTarget | undefined;
  private sendStartMs = 0;
  private receivedMs = 0;
  private currentAttempt: SendAttempt | undefined;

  /**
   * @param clock - measures the remaining time.
   * @param req - the request.
   * @param route - the route that matches the request.
   * @param team - the team that owns the API key of the request.
   * @param limitMs - clock time at which the caller's time is over.
   */
  constructor(
    private readonly clock: Clock,
    private readonly req: Req,
    readonly route: RouteRule,
    readonly team: TeamConfig | undefined,
    private readonly limitMs: number,
  ) {
    this.deadlineMs = limitMs - ANSWER_MARGIN_MS;
    const isResumable = route.kind === REQUEST_KIND.stream && route.isResumable;
    this.splitter = isResumable ? new EventSplitter() : undefined;
    this.answer = new PassedAnswer(req, isResumable);
    this.endAt(this.deadlineMs);
    req.signal.addEventListener('abort', this.abortForConnection);
    if (req.signal.aborted) this.abortForConnection();
  }

  /** Id of the request. */
  get id(): string {
    return this.req.id;
  }

  /** Whether the head of an answer was sent to the caller. */
  get isHeadSent(): boolean {
    return this.answer.head !== undefined;
  }

  /** Time that a target has for the request, in milliseconds. */
  get remainingMs(): number {
    const nowMs = this.clock.now();
    // What ends a stream early is seen by its caller, who has its head.
    const isStream = this.route.kind === REQUEST_KIND.stream;
    const leftMs = isStream
      ? Math.ceil(this.limitMs - nowMs)
      : Math.floor(this.deadlineMs - nowMs);
    return Math.max(1, leftMs);
  }

  /**
   * Aborts at the deadline, or at the limit if an answer is under way, or when
   * the caller's connection ends.
   */
  get signal(): AbortSignal {
    return this.requestController.signal;
  }

  /**
   * Aborts when the request must not wait to be sent any longer. A request that
   * a target has begun to run may wait to be sent again until its deadline.
   */
  get waitSignal(): AbortSignal {
    return this.possibleRuns > 0 ? this.signal : this.waitController.signal;
  }

  /** Ends the wait of a request that no target has begun to run. */
  stopWaiting(): void {
    this.waitController.abort();
  }

  /**
   * Aborts the request in any state.
   *
   * @param endedBy - the reason.
   */
  abort(endedBy: EndedBy): void {
    this.recordEnd(endedBy);
    this.requestController.abort();
    this.waitController.abort();
  }

  /** Aborts the request if its time is over. */
  endIfLate(): void {
    if (this.clock.now() >= this.deadlineMs) this.abort(ENDED_BY.deadline);
  }

  /**
   * Records what ends the current send; the first reason counts.
   *
   * @param endedBy - the reason.
   */
  recordEnd(endedBy: EndedBy): void {
    if (this.endedBy === ENDED_BY.target) this.endedBy = endedBy;
  }

  /** Whether the request may run more than once. */
  get isRepeatable(): boolean {
    if (this.route.kind === REQUEST_KIND.repeatable) return true;
    return this.splitter !== undefined;
  }

  /** Whether the request may be sent again although it may have run already. */
  get canRunAgain(): boolean {
    if (!this.isRepeatable || this.signal.aborted) return false;
    if (!this.answer.canContinue) return false;
    return this.possibleRuns < this.route.maxTargets;
  }

  /** Whether the request may run at another target than the current one. */
  get canRunElsewhere(): boolean {
    if (!this.isRepeatable || this.signal.aborted) return false;
    if (!this.answer.canContinue) return false;
    const currentRuns = this.isAnswered ? 0 : 1;
    return this.possibleRuns + currentRuns < this.route.maxTargets;
  }

  /**
   * Whether the caller has a part of the answer that a target might have
   * completed if this host had not given its run up.
   */
  get mustContinue(): boolean {
    if (!this.isHeadSent || !this.answer.canContinue) return false;
    return this.wasGivenUp && !this.signal.aborted;
  }

  /** Number of sends. */
  get sends(): number {
    return this.sentTo.length;
  }

  /** Id of the last event of this answer that was relayed to the caller. */
  get lastEventId(): string | undefined {
    return this.splitter?.lastId;
  }

  /** Whether a target has to go on after an event that the caller has. */
  get isResumed(): boolean {
    return this.lastEventId !== undefined || this.req.lastEventId !== undefined;
  }

  /** Records a send. */
  recordSend(target: KnownTarget): void {
    this.firstSendMs ??= this.elapsedMs();
    this.target = target;
    const {softwareVersion} = target;
    this.sentTo.push(target.registration.id);
    if (softwareVersion !== undefined)
      this.softwareVersions.add(softwareVersion);
    this.sendStartMs = this.clock.now();
    this.receivedBytes = 0;
    this.tailMs = undefined;
    this.endFinding = undefined;
    this.endedBy = ENDED_BY.target;
    this.isAnswered = false;
  }

  /** Records that the target of the current send has begun an answer. */
  recordAnswered({connection, head}: TargetAnswer): void {
    this.connection = connection;
    this.framing = head.framing;
    this.receivedMs = this.clock.now();
    this.possibleRuns += 1;
    this.target?.recordHeard();
    this.isAnswered = true;
    if (this.run !== undefined) this.run.hasBegun = true;
  }

  /**
   * Lets only targets of a software version go on with the stream.
   *
   * @param softwareVersion - the version; undefined if it is not known, and then
   *     no target may.
   */
  fixVersion(softwareVersion: string | undefined): void {
    this.isVersionFixed = true;
    this.softwareVersion = softwareVersion;
  }

  /**
   * Returns whether a target runs a version that may go on with the stream.
   *
   * @param target - the target.
   */
  canUseVersionOf(target: KnownTarget): boolean {
    if (!this.isVersionFixed) return true;
    // A version that is not known is not the same as another such.
    if (this.softwareVersion === undefined) return false;
    return target.softwareVersion === this.softwareVersion;
  }

  /**
   * Records that events are about to be passed on to the caller.
   *
   * @returns the target that has begun the stream, if these are the first
   *     events of it.
   */
  recordEvents(): KnownTarget | undefined {
    if (this.isVersionFixed || this.target === undefined) return undefined;
    this.fixVersion(this.target.softwareVersion);
    return this.target;
  }

  /** Time since the start of the current send. */
  get sendAgeMs(): number {
    return Math.round(this.clock.now() - this.sendStartMs);
  }

  /** Records bytes that the target of the current send has returned. */
  recordReceived(bytes: number): void {
    this.receivedBytes += bytes;
    this.receivedMs = this.clock.now();
    this.target?.recordHeard();
    this.work?.recordChunk();
    this.run?.recordBytes();
  }

  /** Records that the body of the current send's answer has ended. */
  recordEndOfBody(): void {
    this.tailMs = Math.round(this.clock.now() - this.receivedMs);
  }

  /** Records that bytes of the answer were relayed. */
  recordBytes(): void {
    this.firstByteMs ??= this.elapsedMs();
  }

  /** Cancels the current send unless its target has begun the answer's body. */
  withdrawSend(): void {
    if (this.receivedBytes === 0) this.currentAttempt?.withdraw();
  }

  /**
   * Starts a send.
   *
   * @param headTimeoutMs - time after which the send is ended if there is no
   *     head of an answer; undefined if only the deadline of the request applies.
   * @param canEnd - called at that time, and repeatedly after it, until it
   *     returns that the send may be ended.
   * @returns the attempt; the caller of this method has to dispose of it.
   */
  startAttempt(
    headTimeoutMs: number | undefined,
    canEnd: () => boolean,
  ): SendAttempt {
    const {signal: requestSignal} = this;
    const controller = new AbortController();
    const abort = () => controller.abort();
    const end = (endedBy: EndedBy) => {
      this.recordEnd(endedBy);
      abort();
    };
    requestSignal.addEventListener('abort', abort);
    if (requestSignal.aborted) abort();
    let timer: Timer | undefined;
    const arm = (timeoutMs: number, callback: () => void) => {
      timer = this.clock.after(timeoutMs, callback);
    };
    const tryEnd = () => {
      if (!canEnd()) {
        arm(HEAD_RECHECK_INTERVAL_MS, tryEnd);
        return;
      }
      this.wasGivenUp = true;
      end(ENDED_BY.headTimeout);
    };
    if (headTimeoutMs !== undefined)
      arm(headTimeoutMs, () => arm(HEAD_CONFIRM_MS, tryEnd));
    const attempt = {
      signal: controller.signal,
      isWithdrawn: false,
      cancelHeadTimeout: () => timer?.cancel(),
      withdraw: () => {
        attempt.isWithdrawn = true;
        end(ENDED_BY.quarantine);
      },
      dispose: () => {
        timer?.cancel();
        requestSignal.removeEventListener('abort', abort);
        this.currentAttempt = undefined;
      },
    };
    this.currentAttempt = attempt;
    return attempt;
  }

  /** Cancels the timer and removes the listener. */
  dispose(): void {
    this.timer.cancel();
    this.req.signal.removeEventListener('abort', this.abortForConnection);
  }

  /**
   * Aborts the request at a time, or later if its answer is under way then.
   *
   * @param dueMs - the clock time.
   * @param canWait - whether to wait once more if the timer is late.
   */
  private endAt(dueMs: number, canWait = true): void {
    const {clock, limitMs} = this;
    this.timer = clock.after(dueMs - clock.now(), () => {
      const nowMs = clock.now();
      if (this.isHeadSent && dueMs < limitMs)
        this.endAt(limitMs + END_MARGIN_MS);
      else if (canWait && nowMs - dueMs >= MIN_LATE_MS)
        this.endAt(nowMs + END_MARGIN_MS, false);
      else this.abort(ENDED_BY.deadline);
    });
  }

  private readonly abortForConnection = (): void =>
    this.abort(connectionEndOf(this.req.signal));

  private elapsedMs(): number {
    return Math.round(this.clock.now() - this.req.arrivedMs);
  }
}
