/** Lease log with faults that tests can inject. @packageDocumentation */

import {Result, err, ok} from 'neverthrow';
import {
  LEASE_ERROR,
  LeaseError,
  LeaseLog,
  LeaseReadError,
  LeaseRecord,
  LeaseTail,
} from '../../lib/residency/lease_log.js';
import {ManualClock} from '../../lib/time/manual_clock.js';

/** Poll interval of a read that waits for a record, in milliseconds. */
export const LOG_POLL_MS = 25;

/** Faults of the calls of one host. */
export interface LeaseLogFaults {
  /** Whether calls get no answer and have no effect. */
  isCut: boolean;
  /** Whether appends take effect, but their answers are lost. */
  losesAnswers: boolean;
  /** Delay after which appends take effect, without an answer; 0 for none. */
  lateMs: number;
  /** Time that an append takes; it takes effect halfway. */
  slowMs: number;
}

/** In-memory log that all hosts share. */
export class SharedLog {
  readonly records: LeaseRecord[] = [];
  /** Number of calls of all hosts. */
  calls = 0;

  /** Comes back from an older copy without the newest records. */
  restore(lostRecords: number): void {
    this.records.splice(Math.max(0, this.records.length - lostRecords));
  }

  append(record: LeaseRecord, expectedEnd: number): Result<number, LeaseError> {
    if (this.records.length !== expectedEnd) return err(LEASE_ERROR.conflict);
    this.records.push(record);
    return ok(expectedEnd);
  }
}

/** One host's connection to the shared log, with its faults. */
export class FaultyLeaseLog extends LeaseLog {
  readonly faults: LeaseLogFaults = {
    isCut: false,
    losesAnswers: false,
    lateMs: 0,
    slowMs: 0,
  };

  constructor(
    private readonly clock: ManualClock,
    private readonly log: SharedLog,
  ) {
    super();
  }

  override async read(
    from: number,
    waitMs: number,
  ): Promise<Result<LeaseTail, LeaseReadError>> {
    this.log.calls += 1;
    const {records} = this.log;
    const untilMs = this.clock.now() + waitMs;
    while (records.length === from && this.clock.now() < untilMs) {
      await this.clock.sleep(LOG_POLL_MS);
    }
    if (this.faults.isCut) return err('unavailable');
    if (from > records.length) return err('gone');
    const newest = from < records.length ? records.at(-1) : undefined;
    return ok({newest, end: records.length});
  }

  override async append(
    record: LeaseRecord,
    expectedEnd: number,
  ): Promise<Result<number, LeaseError>> {
    this.log.calls += 1;
    const {isCut, losesAnswers, lateMs, slowMs} = this.faults;
    if (isCut) return err(LEASE_ERROR.unknown);
    if (slowMs > 0) {
      await this.clock.sleep(slowMs / 2);
      const appended = this.log.append(record, expectedEnd);
      await this.clock.sleep(slowMs / 2);
      return appended;
    }
    if (lateMs > 0) {
      this.clock.after(lateMs, () => this.log.append(record, expectedEnd));
      return err(LEASE_ERROR.unknown);
    }
    const appended = this.log.append(record, expectedEnd);
    return losesAnswers ? err(LEASE_ERROR.unknown) : appended;
  }
}
