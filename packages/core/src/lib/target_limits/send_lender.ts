/** Shares the limits of targets among all hosts. @packageDocumentation */

import {Clock} from '../time/clock.js';
import {SendGrant, SendRequest} from './send_loans.js';
import {SendSchedule} from './send_schedule.js';

/** Time after which the schedule of an unused target is dropped. */
const SCHEDULE_LIFETIME_MS = 60_000;

interface LentTarget {
  readonly schedule: SendSchedule;
  usedMs: number;
}

/** Keeps one schedule for each process of a limited target, over all hosts. */
export class SendLender {
  private readonly targets = new Map<string, LentTarget>();

  /** @param clock - measures the schedules. */
  constructor(private readonly clock: Clock) {}

  /**
   * Grants a send, or returns when to ask again.
   *
   * @param request - see {@link SendRequest}.
   * @param perSecond - the newest limit known here.
   */
  lend(
    {target, startedMs, maxWaitMs}: SendRequest,
    perSecond: number,
  ): SendGrant {
    const nowMs = this.clock.now();
    const key = `${target} ${startedMs}`;
    let lent = this.targets.get(key);
    if (lent === undefined) {
      this.prune(nowMs);
      lent = {schedule: new SendSchedule(nowMs, perSecond), usedMs: nowMs};
      this.targets.set(key, lent);
    }
    lent.usedMs = nowMs;
    lent.schedule.setRate(nowMs, perSecond);
    return lent.schedule.reserve(nowMs, maxWaitMs);
  }

  /** Forgets all schedules; another lender may have granted sends since. */
  restart(): void {
    this.targets.clear();
  }

  private prune(nowMs: number): void {
    for (const [key, {usedMs}] of this.targets) {
      if (nowMs - usedMs > SCHEDULE_LIFETIME_MS) this.targets.delete(key);
    }
  }
}
