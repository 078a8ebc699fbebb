/** Shares the limits of targets among all hosts. @packageDocumentation */

import {Clock} from '../time/clock.js';
import {MAX_RESERVED_WAIT_MS, SendGrant, SendRequest} from './send_loans.js';
import {PACE, Pace, SendSchedule} from './send_schedule.js';

/** Time after which the schedule of an unused target is dropped. */
const SCHEDULE_LIFETIME_MS = 60_000;

/**
 * Longest reservation that another lender can have granted before this one took
 * over; requests to cold targets are granted only after it.
 */
const TAKEOVER_DELAY_MS = MAX_RESERVED_WAIT_MS;

interface LentTarget {
  readonly schedule: SendSchedule;
  usedMs: number;
}

/** Keeps one schedule for each process of a limited target, over all hosts. */
export class SendLender {
  private readonly targets = new Map<string, LentTarget>();
  private startedMs: number;

  /** @param clock - measures the schedules. */
  constructor(private readonly clock: Clock) {
    this.startedMs = clock.now();
  }

  /**
   * Grants a send, or returns when to ask again.
   *
   * @param request - see {@link SendRequest}.
   * @param perSecond - the newest limit known here.
   * @param isCold - whether that is the rate of a cold target.
   */
  lend(
    {target, startedMs, maxWaitMs}: SendRequest,
    perSecond: number,
    isCold = false,
  ): SendGrant {
    const nowMs = this.clock.now();
    const pace = isCold ? PACE.strict : PACE.bursts;
    const key = `${target} ${startedMs} ${pace}`;
    let lent = this.targets.get(key);
    if (lent === undefined) {
      this.prune(nowMs);
      const schedule = this.startSchedule(nowMs, perSecond, pace);
      lent = {schedule, usedMs: nowMs};
      this.targets.set(key, lent);
    }
    lent.usedMs = nowMs;
    lent.schedule.setRate(nowMs, perSecond);
    return lent.schedule.reserve(nowMs, maxWaitMs);
  }

  /** Forgets all schedules; another lender may have granted sends since. */
  restart(): void {
    this.targets.clear();
    this.startedMs = this.clock.now();
  }

  private startSchedule(
    nowMs: number,
    perSecond: number,
    pace: Pace,
  ): SendSchedule {
    const earliestMs = this.startedMs + TAKEOVER_DELAY_MS;
    const startMs = pace === PACE.strict ? Math.max(nowMs, earliestMs) : nowMs;
    return new SendSchedule(startMs, perSecond, pace);
  }

  private prune(nowMs: number): void {
    for (const [key, {usedMs}] of this.targets) {
      if (nowMs - usedMs > SCHEDULE_LIFETIME_MS) this.targets.delete(key);
    }
  }
}
