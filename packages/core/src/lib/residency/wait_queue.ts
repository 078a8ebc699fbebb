/** Queue of requests that wait for a model to be loaded. @packageDocumentation */

import {Result, err} from 'neverthrow';
import {Clock} from '../time/clock.js';
import {NotResident, ResidencyRequest} from './residency_request.js';

/** Rank of late requests, after every request that can still be on time. */
const LATE_RANK = 1e12;

/** A waiting request. */
export interface Waiter {
  request: ResidencyRequest;
  /** Clock time at which the request was added. */
  sinceMs: number;
  /** Answers the request; called once, after its removal. */
  resolve: (result: Result<string, NotResident>) => void;
}

/** Holds waiting requests and orders them by when they are due. */
export class WaitQueue {
  private readonly waiters = new Set<Waiter>();

  /** @param clock - clock for deadlines. */
  constructor(private readonly clock: Clock) {}

  /** Adds a request. */
  add(request: ResidencyRequest, resolve: Waiter['resolve']): Waiter {
    const waiter = {request, resolve, sinceMs: this.clock.now()};
    this.waiters.add(waiter);
    return waiter;
  }

  /** Removes a request. */
  remove(waiter: Waiter): void {
    this.waiters.delete(waiter);
  }

  /** Returns the number of requests that wait for each model of a service. */
  countByModel(service: string): Map<string, number> {
    const counts = new Map<string, number>();
    for (const {request} of this.waiters) {
      if (request.service !== service) continue;
      const {model} = request;
      counts.set(model, (counts.get(model) ?? 0) + 1);
    }
    return counts;
  }

  /**
   * Returns the requests of a service: those that can still be on time, the
   * earliest due first, then the late ones, the least late first.
   */
  byUrgency(service: string): Waiter[] {
    const nowMs = this.clock.now();
    const rank = ({request}: Waiter) => {
      const lateMs = nowMs - request.objectiveEndMs;
      return lateMs > 0 ? LATE_RANK + lateMs : -lateMs;
    };
    return [...this.waiters]
      .filter(({request}) => request.service === service)
      .sort((a, b) => rank(a) - rank(b));
  }

  /** Refuses requests whose callers no longer wait. */
  refuseExpired(retryAfterMs: number): void {
    const nowMs = this.clock.now();
    for (const waiter of this.waiters) {
      if (waiter.request.giveUpMs > nowMs) continue;
      this.refuse(waiter, {retryAfterMs, isFinal: true});
    }
  }

  /** Refuses every request; another host may be able to answer them. */
  refuseAll(retryAfterMs: number): void {
    for (const waiter of this.waiters) {
      this.refuse(waiter, {retryAfterMs, isFinal: false});
    }
  }

  /** Removes a request and refuses it. */
  refuse(waiter: Waiter, refusal: NotResident): void {
    this.waiters.delete(waiter);
    waiter.resolve(err(refusal));
  }
}
