/** Replication of a state from the records of a stream. @packageDocumentation */

import {LogPage, StoredRecord} from './platform_log.js';
import {RecentIds} from './recent_ids.js';
import {
  SNAPSHOT_TYPE,
  SnapshotState,
  StreamSnapshot,
  parseSnapshot,
} from './stream_snapshot.js';

/** Number of record ids that are kept to detect repeated records. */
export const RECENT_ID_COUNT = 2_000;

/** Period after a loss of records in which hosts may restore newer states. */
export const SETTLE_PERIOD_MS = 10_000;

const MAX_RECENT_RECORDS = 256;

/** Options of {@link StreamReader}. */
export interface StreamReaderOptions {
  /**
   * State that results from the records; without it, lost records are skipped.
   */
  state?: SnapshotState;
  /** Retention of the log, in milliseconds. */
  retentionMs: number;
  /**
   * Called once for each record, in the order of offsets.
   *
   * @param record - the record.
   * @param settled - false shortly after records were lost, while hosts may
   *     still restore a newer state than this one.
   */
  onRecord: (record: StoredRecord, settled: boolean) => void;
  /** Called when records expired before they were read. */
  onGap?: (first: number) => void;
}

/**
 * Applies the records of a stream to a state. Performs no I/O.
 *
 * The state at an offset is determined by the log alone: the records are
 * applied in order, each id once. A reader that may have missed records has no
 * base. It buffers records until it reads a snapshot that covers the missed
 * ones, and continues from that snapshot.
 *
 * Expired records leave no trace in the log. Every reader, including one that
 * read the earlier records, therefore discards its base after a gap between
 * records that is longer than the retention, and the first snapshot after the
 * gap becomes the base of all readers. A snapshot with a higher version than
 * the state replaces it, so that the newest state of any host survives. A
 * reader whose state is newer than the state in the log keeps its own until the
 * log has caught up.
 */
export class StreamReader {
  private next = 0;
  private isBased = true;
  private baseLostAtOffset = 0;
  private bufferedRecords: StoredRecord[] = [];
  private ids = new RecentIds(RECENT_ID_COUNT);
  private settlesAtMs = 0;
  private latestRecordAtMs: number | undefined;
  private latestSnapshotAtMs: number | undefined;
  private latestSnapshotOffset = 0;
  private recentRecords: StoredRecord[] = [];

  constructor(private readonly options: StreamReaderOptions) {}

  /** Offset of the next record to read. */
  get position(): number {
    return this.next;
  }

  /** Whether the state is the one that results from the records of the log. */
  get hasBase(): boolean {
    return this.isBased;
  }

  /**
   * Whether the reader has a base or has read a snapshot that can become one.
   */
  get hasFoundBase(): boolean {
    return this.isBased || this.baseIndex() >= 0;
  }

  /**
   * Returns whether a record was applied recently.
   *
   * @param id - id of the record.
   * @returns whether the id is among the latest applied ones.
   */
  hasApplied(id: string): boolean {
    return this.ids.has(id);
  }

  /** Log time of the latest record read, in epoch milliseconds. */
  get lastRecordAtMs(): number | undefined {
    return this.latestRecordAtMs;
  }

  /**
   * Log time of the latest snapshot, or of the first record if there was no
   * snapshot, in epoch milliseconds.
   */
  get lastSnapshotAtMs(): number | undefined {
    return this.latestSnapshotAtMs;
  }

  /**
   * Offset of the latest snapshot, or 0 if there was none. Once the record at
   * this offset expires, new readers find no base.
   */
  get lastSnapshotOffset(): number {
    return this.latestSnapshotOffset;
  }

  /**
   * Applies a page that was read from the log or received from a peer.
   *
   * @param page - the records; those before this reader's position are skipped.
   */
  applyPage({records, next, first}: LogPage): void {
    if (first > this.next) this.skipTo(first);
    for (const record of records) {
      if (record.offset >= this.next) this.readRecord(record);
    }
    this.next = Math.max(this.next, next, first);
  }

  /**
   * Creates a snapshot of the state.
   *
   * @param resettles - whether to start a new period in which hosts may restore
   *     newer states.
   * @param first - lowest offset that the log still retains.
   */
  snapshot(resettles: boolean, first: number): StreamSnapshot {
    const {state} = this.options;
    if (state === undefined) throw new Error('the stream has no state');
    return {
      type: SNAPSHOT_TYPE,
      through: this.isBased
        ? this.next
        : Math.max(this.baseLostAtOffset, first),
      version: state.version,
      ids: this.ids.all(),
      resettles,
      settlesAtMs: this.settlesAtMs,
      lastRecordAtMs: this.isBased ? (this.latestRecordAtMs ?? null) : null,
      state: state.capture(),
    };
  }

  /**
   * Returns recent records for another reader.
   *
   * @param from - position of the other reader.
   * @returns all records from that position on, or undefined if some of them
   *     are no longer kept.
   */
  recordsFrom(from: number): StoredRecord[] | undefined {
    if (!this.isBased || from > this.next) return undefined;
    const oldest = this.recentRecords[0]?.offset ?? this.next;
    if (from < oldest) return undefined;
    return this.recentRecords.filter(record => record.offset >= from);
  }

  /**
   * Replaces the state with a snapshot of another reader that has a base.
   *
   * @param snapshot - the other reader's snapshot.
   * @returns whether the snapshot was adopted; false if it is not ahead of this
   *     reader or is malformed.
   */
  adopt(snapshot: StreamSnapshot): boolean {
    const {state} = this.options;
    if (state === undefined || snapshot.version < state.version) return false;
    const isAhead = this.isBased
      ? snapshot.through > this.next
      : snapshot.through >= this.next;
    if (!isAhead || !this.startFrom(snapshot)) return false;
    this.next = snapshot.through;
    this.bufferedRecords = [];
    this.recentRecords = [];
    this.latestRecordAtMs = snapshot.lastRecordAtMs ?? undefined;
    return true;
  }

  private skipTo(first: number): void {
    this.options.onGap?.(first);
    this.next = first;
    this.discardBase(first);
  }

  private discardBase(offset: number): void {
    if (this.options.state === undefined) return;
    this.isBased = false;
    this.baseLostAtOffset = offset;
    this.bufferedRecords = [];
    this.recentRecords = [];
  }

  private readRecord(record: StoredRecord): void {
    if (this.isAfterSilence(record)) this.discardBase(record.offset);
    this.latestRecordAtMs = record.atMs;
    this.next = record.offset + 1;
    if (this.isBased) {
      this.apply(record);
      return;
    }
    this.bufferedRecords.push(record);
    if (this.baseIndex() >= 0) this.replayFromBase();
  }

  private isAfterSilence({atMs}: StoredRecord): boolean {
    const lastMs = this.latestRecordAtMs;
    return lastMs !== undefined && atMs - lastMs > this.options.retentionMs;
  }

  private baseIndex(): number {
    return this.bufferedRecords.findIndex(({body}) => {
      const through = parseSnapshot(body)?.through ?? -1;
      return through >= this.baseLostAtOffset;
    });
  }

  /**
   * Replays the buffered records on top of the snapshot that covers the missed
   * ones. Keeps the previous state if it is newer than the result.
   */
  private replayFromBase(): void {
    const {state} = this.options;
    const snapshot = parseSnapshot(
      this.bufferedRecords[this.baseIndex()].body,
    )!;
    const own = {version: state!.version, state: state!.capture()};
    const ownIds = this.ids;
    if (!this.startFrom(snapshot)) return;
    const records = this.bufferedRecords.filter(
      record => record.offset >= snapshot.through,
    );
    if (this.isAfterLoss(snapshot, records[0])) this.settlesAtMs = Infinity;
    for (const record of records) this.apply(record);
    if (state!.version >= own.version) {
      this.bufferedRecords = [];
      // The restored state may depend on records that are about to expire, so
      // a new snapshot is made due soon.
      if (snapshot.resettles)
        this.latestSnapshotAtMs = Number.NEGATIVE_INFINITY;
      return;
    }
    state!.restore(own.state);
    this.ids = ownIds;
    this.isBased = false;
  }

  /**
   * Whether records were lost before a snapshot. Other hosts may then hold
   * newer states, and no change may be accepted until they had time to restore
   * them.
   */
  private isAfterLoss(
    {resettles, lastRecordAtMs}: StreamSnapshot,
    next: StoredRecord,
  ): boolean {
    if (!resettles || lastRecordAtMs === null) return resettles;
    return next.atMs - lastRecordAtMs > this.options.retentionMs;
  }

  private startFrom(snapshot: StreamSnapshot): boolean {
    if (!this.options.state!.restore(snapshot.state)) return false;
    this.ids = new RecentIds(RECENT_ID_COUNT, snapshot.ids);
    this.settlesAtMs = snapshot.settlesAtMs;
    this.isBased = true;
    return true;
  }

  private apply(record: StoredRecord): void {
    this.keepRecent(record);
    this.latestSnapshotAtMs ??= record.atMs;
    if (!this.ids.add(record.id)) return;
    const snapshot = parseSnapshot(record.body);
    if (snapshot === undefined) {
      this.options.onRecord(record, record.atMs >= this.settlesAtMs);
      return;
    }
    this.latestSnapshotAtMs = record.atMs;
    this.latestSnapshotOffset = record.offset;
    if (snapshot.resettles) this.settlesAtMs = record.atMs + SETTLE_PERIOD_MS;
    if (snapshot.resettles && snapshot.version < this.version) {
      // The host that appended the snapshot has lost a state that this host
      // still holds, so a new snapshot is made due.
      this.latestSnapshotAtMs = Number.NEGATIVE_INFINITY;
    }
    this.replaceOlderState(snapshot);
  }

  private get version(): number {
    return this.options.state?.version ?? 0;
  }

  private replaceOlderState(snapshot: StreamSnapshot): void {
    const {state} = this.options;
    if (state === undefined || snapshot.version <= state.version) return;
    if (state.restore(snapshot.state)) this.ids.addOlder(snapshot.ids);
  }

  private keepRecent(record: StoredRecord): void {
    this.recentRecords.push(record);
    if (this.recentRecords.length > 2 * MAX_RECENT_RECORDS) {
      this.recentRecords = this.recentRecords.slice(-MAX_RECENT_RECORDS);
    }
  }
}
