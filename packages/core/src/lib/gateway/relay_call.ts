/** State of a request while it is relayed. @packageDocumentation */

import {Clock, Timer} from '../time/clock.js';
import {CallerRequest} from './caller_request.js';
import {REQUEST_KIND, RouteRule, TeamFacts} from './deployment.js';
import {EventSplitter} from './event_splitter.js';

/**
 * A single send of a request, with the time limit for the head of its answer.
 */
export interface Attempt {
  /**
   * Aborts with the request, or when the time limit for the head is reached.
   */
  signal: AbortSignal;
  /** Cancels the time limit for the head. */
  headCame(): void;
  /** Cancels the timer and removes the listener. */
  dispose(): void;
}

/** Decisions about a request, and its progress. */
export class RelayCall<Req extends CallerRequest> {
  /** Name of the service; empty until it is chosen. */
  service = '';
  /** Targets that refused the request or failed to answer it. */
  readonly tried = new Set<string>();
  /** Targets that the request was sent to, in order. */
  readonly sentTo: string[] = [];
  /** Number of sends that reached a target. */
  arrivals = 0;
  /** Number of sends whose target may have started to work on the request. */
  runs = 0;
  /** Whether the head of an answer was sent to the caller. */
  hasBegun = false;
  status: number | undefined;
  /**
   * Time from arrival to the first send, and to the first byte of the answer.
   */
  firstSendMs: number | undefined;
  firstByteMs: number | undefined;
  /** Event splitter; set for resumable streams only. */
  readonly splitter: EventSplitter | undefined;
  private readonly limit = new AbortController();
  private readonly waiting = new AbortController();
  private readonly timer: Timer;

  /**
   * @param clock - measures the remaining time.
   * @param req - the request.
   * @param route - the route that matches the request.
   * @param team - the team that owns the API key of the request.
   * @param deadlineMs - clock time at which the answer is due.
   */
  constructor(
    private readonly clock: Clock,
    private readonly req: Req,
    readonly route: RouteRule,
    readonly team: TeamFacts | undefined,
    readonly deadlineMs: number,
  ) {
    const isResumable = route.kind === REQUEST_KIND.stream && route.isResumable;
    this.splitter = isResumable ? new EventSplitter() : undefined;
    this.timer = clock.after(deadlineMs - clock.now(), this.stop);
    req.signal.addEventListener('abort', this.stop);
    if (req.signal.aborted) this.stop();
  }

  /** Aborts at the deadline, or when the caller disconnects. */
  get signal(): AbortSignal {
    return this.limit.signal;
  }

  /** Aborts when the request must not wait to be sent any longer. */
  get waitSignal(): AbortSignal {
    return this.waiting.signal;
  }

  /** Ends the wait of a request to be sent. */
  stopWaiting(): void {
    this.waiting.abort();
  }

  /** Aborts the request in any state. */
  readonly stop = (): void => {
    this.limit.abort();
    this.waiting.abort();
  };

  /** Whether the request may run more than once. */
  get isRepeatable(): boolean {
    if (this.route.kind === REQUEST_KIND.repeatable) return true;
    return this.splitter !== undefined;
  }

  /** Whether the request may be sent again although it may have run already. */
  get mayRunAgain(): boolean {
    if (!this.isRepeatable || this.signal.aborted) return false;
    return this.runs < this.route.maxTargets;
  }

  /** Number of sends. */
  get sends(): number {
    return this.sentTo.length;
  }

  /** Id of the last event of this answer that was relayed to the caller. */
  get lastEventId(): string | undefined {
    return this.splitter?.lastId;
  }

  /** Records a send. */
  noteSend(target: string): void {
    this.firstSendMs ??= this.elapsedMs();
    this.sentTo.push(target);
  }

  /** Records that bytes of the answer were relayed. */
  noteBytes(): void {
    this.firstByteMs ??= this.elapsedMs();
  }

  /**
   * Starts a send.
   *
   * @param headLimitMs - time limit for the head of the answer; undefined if
   *     only the deadline of the request applies.
   * @returns the attempt; the caller of this method has to dispose of it.
   */
  beginAttempt(headLimitMs: number | undefined): Attempt {
    const {signal: whole} = this;
    const own = new AbortController();
    const abort = () => own.abort();
    whole.addEventListener('abort', abort);
    if (whole.aborted) abort();
    const timer =
      headLimitMs === undefined
        ? undefined
        : this.clock.after(headLimitMs, abort);
    return {
      signal: own.signal,
      headCame: () => timer?.cancel(),
      dispose: () => {
        timer?.cancel();
        whole.removeEventListener('abort', abort);
      },
    };
  }

  /** Cancels the timer and removes the listener. */
  dispose(): void {
    this.timer.cancel();
    this.req.signal.removeEventListener('abort', this.stop);
  }

  private elapsedMs(): number {
    return Math.round(this.clock.now() - this.req.arrivedMs);
  }
}
