/** Interface of the platform's append-only log. @packageDocumentation */

import {Result} from 'neverthrow';

/**
 * A record to append. Its id is unique, so that a repeated append is detected.
 */
export interface LogRecord {
  id: string;
  body: unknown;
}

/** A record in the log. */
export interface StoredRecord extends LogRecord {
  /** Position in the stream, which determines the order of records. */
  offset: number;
  /** Time at which the log accepted the record, in epoch milliseconds. */
  atMs: number;
}

/** Consecutive records of a stream. */
export interface LogPage {
  records: StoredRecord[];
  /** Offset from which to continue reading. */
  next: number;
  /** Lowest offset that the log still retains. */
  first: number;
}

/** A failed call to the log. The operation may still have taken effect. */
export interface LogError {
  type: 'log-unavailable';
  message: string;
}

/** Options of {@link PlatformLog.read}. */
export interface ReadOptions {
  /** Maximum wait for a record if there is none yet, in milliseconds. */
  waitMs: number;
  signal: AbortSignal;
}

/**
 * The platform's log service.
 *
 * It keeps each record that it has acknowledged until its retention is over, and
 * gives no offset out twice. Readers rely on both: offsets decide races and serve
 * as fencing numbers. A log that may come back from an older copy does not meet
 * this; an implementation on top of one has to hide it, or to make a new log of
 * each era.
 */
export abstract class PlatformLog {
  /**
   * Appends records to a stream atomically.
   *
   * @param stream - name of the stream.
   * @param records - the records, in order.
   * @param signal - stops waiting for the response.
   * @returns the offset of each record. After an error it is unknown whether
   *     the records were appended.
   */
  abstract append(
    stream: string,
    records: readonly LogRecord[],
    signal: AbortSignal,
  ): Promise<Result<number[], LogError>>;

  /**
   * Reads records of a stream.
   *
   * @param stream - name of the stream.
   * @param from - lowest offset to return.
   * @param options - see {@link ReadOptions}.
   * @returns records starting at the first retained offset that is at least
   *     `from`.
   */
  abstract read(
    stream: string,
    from: number,
    options: ReadOptions,
  ): Promise<Result<LogPage, LogError>>;
}
