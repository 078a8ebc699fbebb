/** Follows a stream of the log and appends to it. @packageDocumentation */

import {Result, err, ok} from 'neverthrow';
import {Clock} from '../time/clock.js';
import {withTimeout} from '../time/timeout.js';
import {Logger} from '../telemetry/logger.js';
import {LogPage, PlatformLog, StoredRecord} from './platform_log.js';
import {RecordWaiters} from './record_waiters.js';
import {SnapshotScheduler, SnapshotOptions} from './snapshot_scheduler.js';
import {StreamReader} from './stream_reader.js';

const POLL_WAIT_MS = 10_000;
const RETRY_DELAY_MS = 200;
const APPEND_RETRY_DELAY_MS = 250;
const SNAPSHOT_CHECK_INTERVAL_MS = 250;
const SNAPSHOT_TIMEOUT_MS = 10_000;

/** Error of an append whose outcome is unknown. */
export interface AppendUnknown {
  type: 'append-unknown';
  /** Id of the record, which can be looked up later. */
  id: string;
  message: string;
}

/** Generates unique ids for the records of this host. */
export class RecordIdGenerator {
  private nextNumber = 0;

  /** @param incarnation - unique for each start of each host. */
  constructor(private readonly incarnation: string) {}

  /** Returns a new unique id. */
  generate(): string {
    return `${this.incarnation}.${this.nextNumber++}`;
  }
}

/** Options of {@link StreamTail}. */
export interface StreamTailOptions {
  log: PlatformLog;
  stream: string;
  clock: Clock;
  logger: Logger;
  ids: RecordIdGenerator;
  /**
   * Called once for each record, in the order of offsets; see
   * `StreamReaderOptions.onRecord`.
   */
  onRecord: (record: StoredRecord, settled: boolean) => void;
  /**
   * Called when records between the last one read and `first` have expired.
   */
  onGap?: (first: number) => void;
  /** Called after each page; the state may have changed. */
  onApplied?: () => void;
  /** Makes the stream outlive the log's retention; see `SnapshotState`. */
  snapshots?: SnapshotOptions;
  /** Maximum wait of a read for a new record, in milliseconds. */
  pollWaitMs?: number;
}

/**
 * Follows a stream and applies each record once, by its id.
 *
 * A record appended by {@link StreamTail.appendAndReadBack} counts as appended only
 * once this tail has read it, because the response to an append may be lost.
 */
export class StreamTail {
  /** Applies the records, including those received from peers. */
  readonly reader: StreamReader;
  private readonly snapshotScheduler: SnapshotScheduler | undefined;
  private firstOffset = 0;
  private isReachable = true;
  private caughtUpAtMs: number | undefined;
  private readonly waiters = new RecordWaiters();
  private readonly caughtUpListeners: Array<() => void> = [];

  constructor(private readonly options: StreamTailOptions) {
    const {snapshots, clock} = options;
    this.reader = new StreamReader({
      state: snapshots?.state,
      retentionMs: snapshots?.retentionMs ?? Infinity,
      onGap: options.onGap,
      onRecord: (record, settled) => {
        options.onRecord(record, settled);
        this.waiters.notify(record);
      },
    });
    if (snapshots === undefined) return;
    this.snapshotScheduler = new SnapshotScheduler(
      this.reader,
      clock,
      snapshots,
    );
  }

  /** Offset of the next record to read. */
  get position(): number {
    return this.reader.position;
  }

  /** Whether the last read of the log succeeded. */
  get isLogReachable(): boolean {
    return this.isReachable;
  }

  /**
   * Clock time at which the tail last held the complete stream, in
   * milliseconds; undefined if it never did.
   */
  get lastCaughtUpAtMs(): number | undefined {
    return this.caughtUpAtMs;
  }

  /**
   * Follows the stream until the signal aborts, and keeps retrying during
   * outages of the log.
   *
   * @param signal - stops the tail.
   */
  async run(signal: AbortSignal): Promise<void> {
    const {log, stream, clock, pollWaitMs = POLL_WAIT_MS} = this.options;
    if (this.snapshotScheduler !== undefined)
      void this.appendDueSnapshots(signal);
    while (!signal.aborted) {
      // Reads at startup and after an outage must not wait for new records, so
      // that the host learns without delay that it holds the complete stream.
      const isFirst = this.caughtUpAtMs === undefined || !this.isReachable;
      const waitMs = isFirst ? 0 : pollWaitMs;
      const sentMs = clock.now();
      const page = await log.read(stream, this.position, {waitMs, signal});
      if (signal.aborted) return;
      this.recordReachability(
        page.isOk(),
        page.isErr() ? page.error.message : '',
      );
      if (page.isErr()) {
        await clock.sleep(RETRY_DELAY_MS, signal);
        continue;
      }
      this.firstOffset = page.value.first;
      this.applyPage(page.value);
      const {records} = page.value;
      // The log may have compiled the page right after the request was sent and
      // received more records since, so read again before counting as caught
      // up.
      if (records.length > 0 && waitMs === 0) continue;
      this.recordCaughtUp(sentMs);
      if (!this.reader.hasBase) await clock.sleep(RETRY_DELAY_MS, signal);
    }
  }

  /**
   * Applies records that were read from the log or received from a peer.
   *
   * @param page - the records; those before the position of this tail are
   *     skipped.
   */
  applyPage(page: LogPage): void {
    this.reader.applyPage(page);
    this.options.onApplied?.();
  }

  /** Returns a promise that resolves once the complete stream was read. */
  whenCaughtUp(): Promise<void> {
    if (this.caughtUpAtMs !== undefined) return Promise.resolve();
    return new Promise(resolve => this.caughtUpListeners.push(resolve));
  }

  /**
   * Appends a record and waits until this tail has read it. Retries failed
   * appends.
   *
   * @param body - body of the record.
   * @param timeoutMs - timeout in milliseconds.
   * @param signal - stops the attempt early.
   * @param id - id of the record; generated by default. No record with this id
   *     may have been read before.
   * @returns the stored record, or an error if it is unknown whether the record
   *     was appended.
   */
  async appendAndReadBack(
    body: unknown,
    timeoutMs: number,
    signal: AbortSignal,
    id = this.options.ids.generate(),
  ): Promise<Result<StoredRecord, AppendUnknown>> {
    const {log, stream, clock} = this.options;
    const done = new AbortController();
    const stopSignal = AbortSignal.any([signal, done.signal]);
    let readBack: StoredRecord | undefined;
    let message = 'the record was not read back before the timeout';
    const waiter = (record: StoredRecord) => {
      readBack = record;
      done.abort();
    };
    this.waiters.add(id, waiter);
    const timer = clock.after(timeoutMs, () => done.abort());
    while (!stopSignal.aborted) {
      const answer = await log.append(stream, [{id, body}], stopSignal);
      if (answer.isOk()) {
        await waitForAbort(stopSignal);
      } else {
        message = answer.error.message;
        await clock.sleep(APPEND_RETRY_DELAY_MS, stopSignal);
      }
    }
    timer.cancel();
    this.waiters.remove(id, waiter);
    if (readBack !== undefined) return ok(readBack);
    return err({type: 'append-unknown', id, message});
  }

  private async appendDueSnapshots(signal: AbortSignal): Promise<void> {
    const {clock, log, stream, ids, logger} = this.options;
    const scheduler = this.snapshotScheduler!;
    await clock.every(SNAPSHOT_CHECK_INTERVAL_MS, signal, async () => {
      const isWhole = this.caughtUpAtMs !== undefined || !this.reader.hasBase;
      if (!this.isReachable) scheduler.reset();
      if (!this.isReachable || !isWhole || !scheduler.isDue(this.firstOffset))
        return;
      const body = this.reader.snapshot(
        scheduler.needsSettling(),
        this.firstOffset,
      );
      const {through, version} = body;
      // A lost response is harmless: a snapshot that is still missing becomes
      // due again, and an additional snapshot does no damage.
      const record = {id: ids.generate(), body};
      const answer = await withTimeout(SNAPSHOT_TIMEOUT_MS, signal, limited =>
        log.append(stream, [record], limited),
      );
      const appended = answer.isOk();
      logger.info('snapshot_appended', {stream, through, version, appended});
    });
  }

  private recordReachability(succeeded: boolean, reason: string): void {
    const {logger, stream} = this.options;
    if (succeeded && !this.isReachable) logger.info('log_reachable', {stream});
    if (!succeeded && this.isReachable) {
      logger.warn('log_read_failed', {stream, reason});
    }
    this.isReachable = succeeded;
  }

  private recordCaughtUp(atMs: number): void {
    if (!this.reader.hasBase && !this.reader.hasFoundBase) return;
    this.caughtUpAtMs = Math.max(this.caughtUpAtMs ?? atMs, atMs);
    for (const listener of this.caughtUpListeners.splice(0)) listener();
  }
}

function waitForAbort(signal: AbortSignal): Promise<void> {
  if (signal.aborted) return Promise.resolve();
  return new Promise(resolve =>
    signal.addEventListener('abort', () => resolve(), {once: true}),
  );
}
