/** Lease log with faults that tests can inject. @packageDocumentation */

import {Result, err, ok} from 'neverthrow';
import {
  LEASE_ERROR,
  LeaseError,
  LeaseLog,
  LeaseRecord,
  LeaseTail,
} from '../../lib/residency/lease_log.js';
import {LogPosition} from '../../lib/platform/log_position.js';
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
  era = 1;
  /** Number of calls of all hosts. */
  calls = 0;

  /** Comes back from an older copy without the newest records. */
  restore(lostRecords: number): void {
    this.records.splice(Math.max(0, this.records.length - lostRecords));
    this.era += 1;
  }

  append(
    record: LeaseRecord,
    expectedEnd: number,
  ): Result<LogPosition, LeaseError> {
    if (this.records.length !== expectedEnd) return err(LEASE_ERROR.conflict);
    this.records.push(record);
    return ok({era: this.era, offset: expectedEnd});
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
    from: LogPosition,
    waitMs: number,
  ): Promise<Result<LeaseTail, 'unavailable'>> {
    this.log.calls += 1;
    const {log} = this;
    const untilMs = this.clock.now() + waitMs;
    const isAtEnd = () =>
      log.era === from.era && log.records.length === from.offset;
    while (isAtEnd() && this.clock.now() < untilMs) {
      await this.clock.sleep(LOG_POLL_MS);
    }
    if (this.faults.isCut) return err('unavailable');
    const {era, records} = log;
    const isRestored = from.offset > 0 && from.era !== era;
    const first = isRestored ? 0 : from.offset;
    const entries = records
      .slice(first)
      .map((record, i) => ({record, offset: first + i}));
    return ok({era, end: records.length, entries, isRestored});
  }

  override async append(
    record: LeaseRecord,
    expectedEnd: number,
  ): Promise<Result<LogPosition, LeaseError>> {
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
