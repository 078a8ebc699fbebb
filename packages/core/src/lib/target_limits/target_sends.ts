/** Keeps the sends of this host within the limits of targets. @packageDocumentation */

import {KnownTarget} from '../gateway/target_table.js';
import {Clock} from '../time/clock.js';
import {SendGrant, SendLoans, SendRequest} from './send_loans.js';
import {SendSchedule} from './send_schedule.js';

/** Bounds of the wait for a send that is reserved in advance. */
const MIN_RESERVED_WAIT_MS = 300;
const MAX_RESERVED_WAIT_MS = 1_000;

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

/** Asks for each send to a limited target. */
export class TargetSends {
  /** Own schedules, for the time without a lender, by process. */
  private readonly schedules = new Map<string, SendSchedule>();

  /**
   * @param clock - measures waits.
   * @param loans - the shared limits.
   */
  constructor(
    private readonly clock: Clock,
    private readonly loans: SendLoans,
  ) {}

  /**
   * Waits until a request may be sent to a target.
   *
   * @param target - the target.
   * @param objectiveMs - latency objective of the request.
   * @param signal - ends the wait.
   * @returns whether it may be sent now. If not, the target is marked as
   *     throttled.
   */
  async acquire(
    target: KnownTarget,
    objectiveMs: number,
    signal: AbortSignal,
  ): Promise<boolean> {
    const perSecond = target.requestsPerSecond;
    if (perSecond === undefined) return true;
    if (target.throttledLeftMs > 0) return false;
    const {id, startedMs} = target.registration;
    const maxWaitMs = Math.min(
      MAX_RESERVED_WAIT_MS,
      Math.max(MIN_RESERVED_WAIT_MS, objectiveMs),
    );
    const request = {target: id, startedMs, perSecond, maxWaitMs};
    const lent = await this.loans.requestSend(request, signal);
    const grant = lent ?? this.grantAlone(request);
    if (grant.isGranted) {
      await this.clock.sleep(grant.waitMs, signal);
      return !signal.aborted;
    }
    const leftMs = grant.waitMs - maxWaitMs;
    target.throttle(Math.max(MIN_THROTTLE_MS, leftMs));
    return false;
  }

  /** Uses an equal part of the limit, if the parts of all hosts fit into it. */
  private grantAlone({
    target,
    startedMs,
    perSecond,
    maxWaitMs,
  }: SendRequest): SendGrant {
    const {hostCount} = this.loans;
    if (hostCount > EXCESS_REQUESTS + EXCESS_S * perSecond) {
      return {isGranted: false, waitMs: NO_LENDER_WAIT_MS + maxWaitMs};
    }
    const nowMs = this.clock.now();
    const key = `${target} ${startedMs}`;
    const ownPart = perSecond / hostCount;
    let schedule = this.schedules.get(key);
    if (schedule === undefined) {
      if (this.schedules.size >= MAX_SCHEDULES) this.schedules.clear();
      schedule = new SendSchedule(nowMs, ownPart);
      this.schedules.set(key, schedule);
    }
    schedule.setRate(nowMs, ownPart);
    return schedule.reserve(nowMs, maxWaitMs);
  }
}
