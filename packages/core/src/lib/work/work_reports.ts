/** Reports of this host's work at targets. @packageDocumentation */

import type {TargetTable} from '../gateway/target_table.js';
import {Clock} from '../time/clock.js';
import {WorkEntry, encodeWork} from './work_messages.js';

/** Time between reports of all targets, which repair what a link lost. */
const FULL_REPORT_INTERVAL_MS = 2_000;

/** Work of a host, for the lease holder. */
export interface HostWork {
  /** Targets whose work has changed, or all with any work. */
  entries: WorkEntry[];
  /** Whether targets that are left out have no work. */
  isFull: boolean;
}

/** Collects what has changed since the last report. */
export class WorkReports {
  private fullMs = -Infinity;
  /** Start times of the processes whose last report was not empty, by id. */
  private readonly reported = new Map<string, number>();

  /**
   * @param clock - schedules full reports.
   * @param targets - the targets.
   */
  constructor(
    private readonly clock: Clock,
    private readonly targets: TargetTable,
  ) {}

  /**
   * Returns the work to report, and counts it as reported.
   *
   * @param needsAll - whether the receiver may have no earlier report.
   */
  take(needsAll: boolean): HostWork | undefined {
    const nowMs = this.clock.now();
    const isDue = nowMs - this.fullMs >= FULL_REPORT_INTERVAL_MS;
    const isFull = needsAll || isDue;
    if (isFull) this.fullMs = nowMs;
    const entries: WorkEntry[] = [];
    let hasWork = false;
    for (const target of this.targets.all()) {
      const {id, startedMs} = target.registration;
      const {work} = target;
      const pace = work.pace.own;
      const isIdle = work.ownRequests === 0 && pace.count === 0;
      const reportedMs = this.reported.get(id);
      const isOutdated =
        reportedMs !== undefined && (isIdle || reportedMs !== startedMs);
      const isChanged = work.hasChanged || pace.count > 0 || isOutdated;
      if (isFull ? !isIdle : isChanged)
        entries.push(encodeWork(id, {sums: work.own, pace}));
      if (isIdle) this.reported.delete(id);
      else this.reported.set(id, startedMs);
      hasWork ||= isChanged || !isIdle;
      work.recordReported();
    }
    return hasWork || needsAll ? {entries, isFull} : undefined;
  }

  /** Makes the next report a full one, as the last one was not sent. */
  recordLost(): void {
    this.fullMs = -Infinity;
  }
}
