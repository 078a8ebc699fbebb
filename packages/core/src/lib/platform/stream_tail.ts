/** A reader of one stream of the log that can also append to it. @packageDocumentation */

import {Result, err, ok} from 'neverthrow';
import {Clock} from '../time/clock.js';
import {withTimeLimit} from '../time/time_limit.js';
import {Logger} from '../telemetry/logger.js';
import {LogPage, PlatformLog, StoredRecord} from './platform_log.js';
import {RecordWaiters} from './record_waiters.js';
import {SnapshotKeeper, SnapshotOptions} from './snapshot_keeper.js';
import {StreamReader} from './stream_reader.js';

const POLL_WAIT_MS = 10_000;
const RETRY_DELAY_MS = 200;
const APPEND_RETRY_DELAY_MS = 250;
const SNAPSHOT_CHECK_INTERVAL_MS = 250;
const SNAPSHOT_BOUND_MS = 10_000;

/** It is not known whether a record was appended. */
export interface AppendUnknown {
  type: 'append-unknown';
  /** Id of the record, to look for later. */
  id: string;
  message: string;
}

/** Makes the ids of this host's records. */
export class RecordIds {
  private next = 0;

  /** @param incarnation - differs for every start of every host. */
  constructor(private readonly incarnation: string) {}

  /** @returns an id that no other record has. */
  take(): string {
    return `${this.incarnation}.${this.next++}`;
  }
}

/** What a {@link StreamTail} works with. */
export interface StreamTailOptions {
  log: PlatformLog;
  stream: string;
  clock: Clock;
  logger: Logger;
  ids: RecordIds;
  /**
   * Takes each record once, in the order of offsets; see
   * `StreamReaderOptions.onRecord`.
   */
  onRecord: (record: StoredRecord, settled: boolean) => void;
  /**
   * Called when records between the last one read and `first` have expired.
   */
  onGap?: (first: number) => void;
  /** Called after each page, when the state may have changed. */
  onApplied?: () => void;
  /** Makes the stream outlive the log's retention; see `SnapshotState`. */
  snapshots?: SnapshotOptions;
  /** Longest wait of a read for a new record, in milliseconds. */
  pollWaitMs?: number;
}

/**
 * Follows a stream and applies each record once, by its id.
 *
 * A record appended by {@link StreamTail.appendAndSee} counts as appended only
 * once this tail has read it, since the answer to an append may be lost.
 */
export class StreamTail {
  /** Applies the records; also of pages that came from peers. */
  readonly reader: StreamReader;
  private readonly keeper: SnapshotKeeper | undefined;
  private first = 0;
  private reachable = true;
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
    this.keeper = new SnapshotKeeper(this.reader, clock, snapshots);
  }

  /** Offset of the next record to read. */
  get position(): number {
    return this.reader.position;
  }

  /** Whether the last read of the log succeeded. */
  get isLogReachable(): boolean {
    return this.reachable;
  }

  /**
   * Clock time at which the tail last held all of the stream, in
   * milliseconds; undefined before that.
   */
  get lastCaughtUp(): number | undefined {
    return this.caughtUpAtMs;
  }

  /**
   * Follows the stream until the signal aborts. Outages of the log are
   * waited out.
   *
   * @param signal - ends the tail.
   */
  async run(signal: AbortSignal): Promise<void> {
    const {log, stream, clock, pollWaitMs = POLL_WAIT_MS} = this.options;
    if (this.keeper !== undefined) void this.keepSnapshots(signal);
    while (!signal.aborted) {
      // The first reads, also after an outage, must not wait, so that the
      // host learns at once that it holds the whole stream.
      const isFirst = this.caughtUpAtMs === undefined || !this.reachable;
      const waitMs = isFirst ? 0 : pollWaitMs;
      const sentMs = clock.now();
      const page = await log.read(stream, this.position, {waitMs, signal});
      if (signal.aborted) return;
      this.noteReachable(page.isOk(), page.isErr() ? page.error.message : '');
      if (page.isErr()) {
        await clock.sleep(RETRY_DELAY_MS, signal);
        continue;
      }
      this.first = page.value.first;
      this.take(page.value);
      const {records} = page.value;
      // The log may have made the page right after it was asked.
      if (records.length > 0 && waitMs === 0) continue;
      this.noteCaughtUp(sentMs);
      if (!this.reader.hasBase) await clock.sleep(RETRY_DELAY_MS, signal);
    }
  }

  /**
   * Takes records of the log or of a peer.
   *
   * @param page - records at or after the position of this tail.
   */
  take(page: LogPage): void {
    this.reader.take(page);
    this.options.onApplied?.();
  }

  /** @returns a promise that resolves once the whole stream was read. */
  caughtUp(): Promise<void> {
    if (this.caughtUpAtMs !== undefined) return Promise.resolve();
    return new Promise(resolve => this.caughtUpListeners.push(resolve));
  }

  /**
   * Appends a record, again if need be, until the tail has read it.
   *
   * @param body - content of the record.
   * @param boundMs - how long to try, in milliseconds.
   * @param signal - gives up early.
   * @param id - id of the record, if it was given elsewhere; no record with
   *     this id may have been read yet.
   * @returns the record at its offset, or that its fate is unknown.
   */
  async appendAndSee(
    body: unknown,
    boundMs: number,
    signal: AbortSignal,
    id = this.options.ids.take(),
  ): Promise<Result<StoredRecord, AppendUnknown>> {
    const {log, stream, clock} = this.options;
    const done = new AbortController();
    const giveUp = AbortSignal.any([signal, done.signal]);
    let seen: StoredRecord | undefined;
    let message = 'the record was not seen in time';
    const waiter = (record: StoredRecord) => {
      seen = record;
      done.abort();
    };
    this.waiters.add(id, waiter);
    const bound = clock.after(boundMs, () => done.abort());
    while (!giveUp.aborted) {
      const answer = await log.append(stream, [{id, body}], giveUp);
      if (answer.isOk()) {
        await aborted(giveUp);
      } else {
        message = answer.error.message;
        await clock.sleep(APPEND_RETRY_DELAY_MS, giveUp);
      }
    }
    bound.cancel();
    this.waiters.remove(id, waiter);
    if (seen !== undefined) return ok(seen);
    return err({type: 'append-unknown', id, message});
  }

  private async keepSnapshots(signal: AbortSignal): Promise<void> {
    const {clock, log, stream, ids, logger} = this.options;
    const keeper = this.keeper!;
    await clock.every(SNAPSHOT_CHECK_INTERVAL_MS, signal, async () => {
      const isWhole = this.caughtUpAtMs !== undefined || !this.reader.hasBase;
      if (!this.reachable) keeper.reset();
      if (!this.reachable || !isWhole || !keeper.isDue(this.first)) return;
      const body = this.reader.snapshot(keeper.resettles(), this.first);
      const {through, version} = body;
      // A lost answer does no harm: a snapshot that is still missing will be
      // due again, and one too many is no problem.
      const record = {id: ids.take(), body};
      const answer = await withTimeLimit(SNAPSHOT_BOUND_MS, signal, limited =>
        log.append(stream, [record], limited),
      );
      const appended = answer.isOk();
      logger.info('snapshot_appended', {stream, through, version, appended});
    });
  }

  private noteReachable(reachable: boolean, reason: string): void {
    const {logger, stream} = this.options;
    if (reachable && !this.reachable) logger.info('log_reachable', {stream});
    if (!reachable && this.reachable) {
      logger.warn('log_read_failed', {stream, reason});
    }
    this.reachable = reachable;
  }

  private noteCaughtUp(atMs: number): void {
    if (!this.reader.hasBase && !this.reader.hasFoundBase) return;
    this.caughtUpAtMs = Math.max(this.caughtUpAtMs ?? atMs, atMs);
    for (const listener of this.caughtUpListeners.splice(0)) listener();
  }
}

function aborted(signal: AbortSignal): Promise<void> {
  if (signal.aborted) return Promise.resolve();
  return new Promise(resolve =>
    signal.addEventListener('abort', () => resolve(), {once: true}),
  );
}
