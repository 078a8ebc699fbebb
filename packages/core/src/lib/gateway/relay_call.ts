/** The state of one request on its way. @packageDocumentation */

import {Clock, Timer} from '../time/clock.js';
import {CallerRequest} from './caller_request.js';
import {REQUEST_KIND, RouteRule, TeamFacts} from './deployment.js';
import {EventSplitter} from './event_splitter.js';

/** One send of a request, with the wait for its answer's head. */
export interface Attempt {
  /** Aborts with the request, or when the head takes too long. */
  signal: AbortSignal;
  /** Ends the wait for the head. */
  headCame(): void;
  /** Frees its timer. */
  dispose(): void;
}

/** What has been decided about a request and what has become of it. */
export class RelayCall<Req extends CallerRequest> {
  /** Set once the service is chosen. */
  service = '';
  /** Targets that refused the request or failed at it. */
  readonly tried = new Set<string>();
  /** Targets that it was sent to, in order. */
  readonly sentTo: string[] = [];
  /** Sends that reached a target. */
  arrivals = 0;
  /** Targets that may have begun to work on it. */
  runs = 0;
  /** Whether the head of an answer was passed on. */
  hasBegun = false;
  status: number | undefined;
  /** Time from arrival to the first send and to the answer's first byte. */
  firstSendMs: number | undefined;
  firstByteMs: number | undefined;
  /** Set on resumable streams. */
  readonly splitter: EventSplitter | undefined;
  private readonly limit = new AbortController();
  private readonly waiting = new AbortController();
  private readonly timer: Timer;

  /**
   * @param clock - measures the time that is left.
   * @param req - the request.
   * @param route - the route that takes it.
   * @param team - whose key came with it.
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

  /** Aborts at the deadline, or when the caller leaves. */
  get signal(): AbortSignal {
    return this.limit.signal;
  }

  /** Aborts when the request may not wait to be sent any longer. */
  get waitSignal(): AbortSignal {
    return this.waiting.signal;
  }

  /** Ends the wait of a request that was not sent yet. */
  stopWaiting(): void {
    this.waiting.abort();
  }

  /** Ends the request, wherever it is. */
  readonly stop = (): void => {
    this.limit.abort();
    this.waiting.abort();
  };

  /** Whether the request may run more than once. */
  get isRepeatable(): boolean {
    if (this.route.kind === REQUEST_KIND.repeatable) return true;
    return this.splitter !== undefined;
  }

  /** Whether the request may run once more after it may have run. */
  get mayRunAgain(): boolean {
    if (!this.isRepeatable || this.signal.aborted) return false;
    return this.runs < this.route.maxTargets;
  }

  /** Number of sends. */
  get sends(): number {
    return this.sentTo.length;
  }

  /** Id of the last event that the caller has of this answer. */
  get lastEventId(): string | undefined {
    return this.splitter?.lastId;
  }

  /** Notes a send. */
  noteSend(target: string): void {
    this.firstSendMs ??= this.elapsedMs();
    this.sentTo.push(target);
  }

  /** Notes that a part of the answer was passed on. */
  noteBytes(): void {
    this.firstByteMs ??= this.elapsedMs();
  }

  /**
   * @param headLimitMs - longest wait for the head of an answer; undefined for
   *     as long as the request may take.
   * @returns the attempt, to be disposed of.
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

  /** Frees the timer. */
  dispose(): void {
    this.timer.cancel();
    this.req.signal.removeEventListener('abort', this.stop);
  }

  private elapsedMs(): number {
    return Math.round(this.clock.now() - this.req.arrivedMs);
  }
}
