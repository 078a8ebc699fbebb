/** A log of the order lease that tests can disturb. @packageDocumentation */

import {Result, err, ok} from 'neverthrow';
import {
  LEASE_ERROR,
  LeaseError,
  LeaseLog,
  LeaseRecord,
  LeaseTail,
} from '../../lib/residency/lease_log.js';
import {ManualClock} from '../../lib/time/manual_clock.js';

/** Time between looks of a read that waits, in milliseconds. */
export const LOG_STEP_MS = 25;

/** What goes wrong with the calls of one host. */
export interface Trouble {
  /** Calls get no answer and have no effect. */
  isCut: boolean;
  /** Appends take effect, but their answers are lost. */
  losesAnswers: boolean;
  /** Appends take effect after this time, without an answer. */
  lateMs: number;
}

/** A log that all hosts share. */
export class SharedLog {
  readonly records: LeaseRecord[] = [];
  /** Calls of all hosts. */
  calls = 0;

  append(record: LeaseRecord, expectedEnd: number): Result<number, LeaseError> {
    if (this.records.length !== expectedEnd) return err(LEASE_ERROR.conflict);
    this.records.push(record);
    return ok(expectedEnd);
  }
}

/** The shared log as one host reaches it. */
export class TroubledLog extends LeaseLog {
  readonly trouble: Trouble = {isCut: false, losesAnswers: false, lateMs: 0};

  constructor(
    private readonly clock: ManualClock,
    private readonly log: SharedLog,
  ) {
    super();
  }

  override async read(
    from: number,
    waitMs: number,
  ): Promise<Result<LeaseTail, 'unavailable'>> {
    this.log.calls += 1;
    const {records} = this.log;
    const untilMs = this.clock.now() + waitMs;
    while (records.length <= from && this.clock.now() < untilMs) {
      await this.clock.sleep(LOG_STEP_MS);
    }
    if (this.trouble.isCut) return err('unavailable');
    const newest = from < records.length ? records.at(-1) : undefined;
    return ok({newest, end: records.length});
  }

  override async append(
    record: LeaseRecord,
    expectedEnd: number,
  ): Promise<Result<number, LeaseError>> {
    this.log.calls += 1;
    const {isCut, losesAnswers, lateMs} = this.trouble;
    if (isCut) return err(LEASE_ERROR.unknown);
    if (lateMs > 0) {
      this.clock.after(lateMs, () => this.log.append(record, expectedEnd));
      return err(LEASE_ERROR.unknown);
    }
    const appended = this.log.append(record, expectedEnd);
    return losesAnswers ? err(LEASE_ERROR.unknown) : appended;
  }
}
