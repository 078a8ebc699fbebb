/** Keeps the sends of this host within the limits of targets. @packageDocumentation */

import {KnownTarget, TargetTable} from '../gateway/target_table.js';
import {Clock} from '../time/clock.js';
import {
  ALONE_INTERVAL_MS,
  COLD_PERMIT_MS,
  ColdBounds,
  DEFAULT_COLD_BOUNDS,
  maySendAlone,
} from '../warming/cold_pace.js';
import {COLD_SOURCE, ColdReport} from '../warming/target_warming.js';
import {
  MAX_RESERVED_WAIT_MS,
  SendGrant,
  SendLoans,
  SendRequest,
} from './send_loans.js';
import {SendPermit} from './send_permit.js';
import {PACE, SendSchedule} from './send_schedule.js';

/** Shortest wait up to which a send is reserved in advance. */
const MIN_RESERVED_WAIT_MS = 300;

/** Shortest time between two requests to the lender that it turns down. */
const MIN_THROTTLE_MS = 25;

/** Time until a host without a lender asks again. */
const NO_LENDER_WAIT_MS = 500;

/**
 * Excess over the limit that the platform allows, for all hosts together: hosts
 * without a lender use equal parts of a limit only if they could send one
 * request each at the same moment within it.
 */
const EXCESS_REQUESTS = 4;
const EXCESS_S = 2;

/** Most schedules that are kept; dropped ones start anew. */
const MAX_SCHEDULES = 1_000;

const MS_PER_SECOND = 1_000;

/** What a host without a lender has to know about cold targets. */
export interface ColdSends {
  targets: TargetTable;
  bounds: ColdBounds;
  /** Requests per second that a cold target of a service takes. */
  perSecond: (service: string) => number | undefined;
}

/** Options of {@link TargetSends.acquire}. */
export interface AcquireOptions {
  /** Latency objective of the request, in milliseconds. */
  objectiveMs: number;
  /**
   * Whether another target could take the request now. Then it does not wait
   * for a cold one.
   */
  hasOther: () => boolean;
}

/** Asks for each send to a limited target. */
export class TargetSends {
  /** Own schedules, for the time without a lender, by process. */
  private readonly schedules = new Map<string, SendSchedule>();

  /**
   * @param clock - measures waits.
   * @param loans - the shared limits.
   * @param cold - cold targets; left out if no target is ever cold.
   */
  constructor(
    private readonly clock: Clock,
    private readonly loans: SendLoans,
    private readonly cold?: ColdSends,
  ) {}

  /**
   * Waits until a request may be sent to a target.
   *
   * @param target - the target.
   * @param options - see {@link AcquireOptions}.
   * @param signal - ends the wait.
   * @returns the permission, if it may be sent now. If not, the target is
   *     marked as throttled.
   */
  async acquire(
    target: KnownTarget,
    options: AcquireOptions,
    signal: AbortSignal,
  ): Promise<SendPermit | undefined> {
    const perSecond = target.requestsPerSecond;
    if (perSecond === undefined)
      return new SendPermit(this.clock, target, undefined);
    if (target.throttledLeftMs > 0) return undefined;
    const isCold = target.coldLeftMs > 0;
    const request = this.requestFor(target, perSecond, isCold, options);
    const askedMs = this.clock.now();
    const lent = await this.loans.requestSend(request, signal);
    if (signal.aborted) return undefined;
    if (lent?.cold !== undefined) this.learn(target, lent.cold, askedMs);
    const grant = lent ?? this.grantAlone(target, request);
    if (grant.isGranted) {
      await this.clock.sleep(grant.waitMs, signal);
      const isColdGrant = isCold || (lent?.cold?.leftMs ?? 0) > 0;
      const dueMs = isColdGrant ? askedMs + grant.waitMs : undefined;
      const permit = new SendPermit(this.clock, target, dueMs);
      return !signal.aborted && permit.isValid ? permit : undefined;
    }
    const leftMs = grant.waitMs - request.maxWaitMs;
    target.throttle(Math.max(MIN_THROTTLE_MS, leftMs));
    return undefined;
  }

  private requestFor(
    target: KnownTarget,
    perSecond: number,
    isCold: boolean,
    {hasOther, objectiveMs}: AcquireOptions,
  ): SendRequest {
    const {id, startedMs} = target.registration;
    const reservedMs = Math.min(
      MAX_RESERVED_WAIT_MS,
      Math.max(MIN_RESERVED_WAIT_MS, objectiveMs),
    );
    if (!isCold)
      return {target: id, startedMs, perSecond, maxWaitMs: reservedMs};
    const maxWaitMs = hasOther() ? 0 : Math.min(reservedMs, objectiveMs);
    const {ageMs, leftMs} = target.coldReport!;
    // The request may take this long, which makes the report look newer.
    const cold = {leftMs, ageMs: ageMs + COLD_PERMIT_MS};
    return {target: id, startedMs, perSecond, maxWaitMs, cold};
  }

  private learn(target: KnownTarget, report: ColdReport, askedMs: number) {
    const ageMs = report.ageMs + this.clock.now() - askedMs;
    const {leftMs} = report;
    this.cold?.targets.recordCold(target, {leftMs, ageMs}, COLD_SOURCE.lender);
  }

  /** Uses an equal part of the limit, if the parts of all hosts fit into it. */
  private grantAlone(target: KnownTarget, request: SendRequest): SendGrant {
    const {hostCount} = this.loans;
    const {maxWaitMs, perSecond} = request;
    const isCold = target.coldLeftMs > 0;
    const isShared = isCold
      ? this.sharesCold(target, hostCount)
      : hostCount <= EXCESS_REQUESTS + EXCESS_S * perSecond;
    if (!isShared)
      return {isGranted: false, waitMs: NO_LENDER_WAIT_MS + maxWaitMs};
    const equalPart = perSecond / hostCount;
    const ownPart = isCold
      ? Math.min(equalPart, MS_PER_SECOND / ALONE_INTERVAL_MS)
      : equalPart;
    const pace = isCold ? PACE.strict : PACE.bursts;
    const nowMs = this.clock.now();
    const key = `${request.target} ${request.startedMs} ${pace}`;
    let schedule = this.schedules.get(key);
    if (schedule === undefined) {
      if (this.schedules.size >= MAX_SCHEDULES) this.schedules.clear();
      schedule = new SendSchedule(nowMs, ownPart, pace);
      this.schedules.set(key, schedule);
    }
    schedule.setRate(nowMs, ownPart);
    return schedule.reserve(nowMs, maxWaitMs);
  }

  private sharesCold({registration}: KnownTarget, hostCount: number): boolean {
    const perSecond = this.cold?.perSecond(registration.service);
    if (perSecond === undefined) return false;
    const bounds = this.cold?.bounds ?? DEFAULT_COLD_BOUNDS;
    return maySendAlone(perSecond, bounds, hostCount);
  }
}
