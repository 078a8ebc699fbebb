/** Work of the hosts at a target. @packageDocumentation */

import {Clock} from '../time/clock.js';
import {Pace} from './pace.js';

/** Time for which the published work of all hosts is used. */
const PUBLISHED_LIFETIME_MS = 1_000;

/** Work at a target. */
export interface WorkSums {
  /** Requests without a first event. */
  waiting: number;
  /** Requests that have had one. */
  running: number;
  /** Prompt tokens of the waiting requests. */
  prefillTokens: number;
  /** Tokens of all requests in the memory of the target. */
  memoryTokens: number;
}

/** Returns no work. */
export function noWork(): WorkSums {
  return {waiting: 0, running: 0, prefillTokens: 0, memoryTokens: 0};
}

/** Adds work to other work, or subtracts it if `sign` is -1. */
export function addWork(to: WorkSums, work: WorkSums, sign: 1 | -1 = 1): void {
  to.waiting += sign * work.waiting;
  to.running += sign * work.running;
  to.prefillTokens += sign * work.prefillTokens;
  to.memoryTokens += sign * work.memoryTokens;
}

/**
 * Counts the work of this host at one process of a target, and that of all
 * hosts as last published.
 */
export class TargetWork {
  /** Work of this host. */
  readonly own = noWork();
  readonly pace: Pace;
  /** Work of this host in its last report, which publications contain. */
  private readonly reported = noWork();
  private readonly others = noWork();
  private publishedMs = -Infinity;
  private ownLimit = Infinity;

  /** @param clock - measures the age of the publication. */
  constructor(private readonly clock: Clock) {
    this.pace = new Pace(clock);
  }

  /** Whether the work of all hosts was published lately. */
  get isCurrent(): boolean {
    return this.clock.now() - this.publishedMs < PUBLISHED_LIFETIME_MS;
  }

  /** Number of requests of this host. */
  get ownRequests(): number {
    return this.own.waiting + this.own.running;
  }

  /** Number of requests of all hosts, as far as they are known. */
  get requests(): number {
    const others = this.others.waiting + this.others.running;
    return this.ownRequests + (this.isCurrent ? others : 0);
  }

  /** Prompt tokens of all hosts that wait to be prefilled. */
  get prefillTokens(): number {
    const {own, others} = this;
    return own.prefillTokens + (this.isCurrent ? others.prefillTokens : 0);
  }

  /** Tokens of all hosts in the target's memory. */
  get memoryTokens(): number {
    const {own, others} = this;
    return own.memoryTokens + (this.isCurrent ? others.memoryTokens : 0);
  }

  /**
   * Whether this host has used its part of the room that was free when the work
   * was published. Requests of this host that end free their room again.
   */
  get isPartUsed(): boolean {
    return this.isCurrent && this.ownRequests >= this.ownLimit;
  }

  /** Whether this host has more requests there than its part allows. */
  get isPartExceeded(): boolean {
    return this.isCurrent && this.ownRequests > this.ownLimit;
  }

  /** Number of requests of this host in its last report. */
  get reportedRequests(): number {
    return this.reported.waiting + this.reported.running;
  }

  /** Records that the present work of this host is reported. */
  recordReported(): void {
    Object.assign(this.reported, this.own);
  }

  /** Whether the work of this host differs from its last report. */
  get hasChanged(): boolean {
    const {own, reported} = this;
    return (
      own.waiting !== reported.waiting ||
      own.running !== reported.running ||
      own.memoryTokens !== reported.memoryTokens
    );
  }

  /**
   * Stores the work of all hosts.
   *
   * @param sums - the work, which includes this host's last report.
   * @param ownLimit - number of requests that this host may have there until
   *     the next publication.
   */
  setPublished(sums: WorkSums, ownLimit: number): void {
    const {others, reported} = this;
    Object.assign(others, sums);
    addWork(others, reported, -1);
    others.waiting = Math.max(0, others.waiting);
    others.running = Math.max(0, others.running);
    others.prefillTokens = Math.max(0, others.prefillTokens);
    others.memoryTokens = Math.max(0, others.memoryTokens);
    this.publishedMs = this.clock.now();
    this.ownLimit = ownLimit;
  }
}
