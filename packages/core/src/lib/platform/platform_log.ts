/** The platform's append-only log, as the system uses it. @packageDocumentation */

import {Result} from 'neverthrow';

/** A record to append. The id is unique, so that appending twice is safe. */
export interface LogRecord {
  id: string;
  body: unknown;
}

/** A record that the log holds. */
export interface StoredRecord extends LogRecord {
  /** Position in the stream; decides every race. */
  offset: number;
  /** When the log took the record, in epoch milliseconds. */
  atMs: number;
}

/** A part of a stream. */
export interface LogPage {
  records: StoredRecord[];
  /** Offset from which to read on. */
  next: number;
  /** Lowest offset that the log still holds. */
  first: number;
}

/** Why the log did not answer. The action may have taken effect. */
export interface LogError {
  type: 'log-unavailable';
  message: string;
}

/** Options of {@link PlatformLog.read}. */
export interface ReadOptions {
  /** How long to wait for a record if there is none, in milliseconds. */
  waitMs: number;
  signal: AbortSignal;
}

/** The platform's log service. */
export abstract class PlatformLog {
  /**
   * Appends records to a stream, all or none.
   *
   * @param stream - name of the stream.
   * @param records - in the order in which they shall stand.
   * @param signal - gives up waiting for the answer.
   * @returns the offset of each record; an error leaves it unknown whether
   *     the records were appended.
   */
  abstract append(
    stream: string,
    records: readonly LogRecord[],
    signal: AbortSignal,
  ): Promise<Result<number[], LogError>>;

  /**
   * Reads a stream.
   *
   * @param stream - name of the stream.
   * @param from - lowest offset wanted.
   * @param options - see {@link ReadOptions}.
   * @returns records from the first offset still held that is at least `from`.
   */
  abstract read(
    stream: string,
    from: number,
    options: ReadOptions,
  ): Promise<Result<LogPage, LogError>>;
}
