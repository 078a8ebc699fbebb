/** The rule by which every reader of a stream comes to the same state. @packageDocumentation */

import {LogPage, StoredRecord} from './platform_log.js';
import {RecentIds} from './recent_ids.js';
import {
  SNAPSHOT_TYPE,
  SnapshotState,
  StreamSnapshot,
  parseSnapshot,
} from './stream_snapshot.js';

/** How many record ids are remembered to detect repeats. */
export const REMEMBERED_IDS = 2_000;

/** How long hosts may put states back after a loss, in milliseconds. */
export const SETTLE_MS = 10_000;

const MAX_RECENT_RECORDS = 256;

/** What a {@link StreamReader} works with. */
export interface StreamReaderOptions {
  /** What the records add up to; without it, lost records are skipped. */
  state?: SnapshotState;
  /** How long the log keeps records, in milliseconds. */
  retentionMs: number;
  /**
   * Takes each record once, in the order of offsets.
   *
   * @param record - the record.
   * @param settled - false shortly after records were lost, while hosts may
   *     still put back a newer state than this one.
   */
  onRecord: (record: StoredRecord, settled: boolean) => void;
  /** Called when records that were not read have expired. */
  onGap?: (first: number) => void;
}

/**
 * Applies a stream's records, without any input or output of its own.
 *
 * The state at an offset depends on the log alone: on its records, in their
 * order, each applied once by its id. A reader that may have missed records
 * has no base: it holds records back until it reads a snapshot that covers
 * what it missed. Because expired records leave no trace, a silence longer
 * than the retention takes the base from every reader, also from those that
 * saw the records before it; the first snapshot after the silence is the base
 * for all. A snapshot with a higher version than the state replaces it, so
 * that no host's newer state is lost. A reader whose own state is newer than
 * the log's keeps its own until the log has caught up.
 */
export class StreamReader {
  private next = 0;
  private based = true;
  private baseLostAt = 0;
  private heldBack: StoredRecord[] = [];
  private ids = new RecentIds(REMEMBERED_IDS);
  private settlesAtMs = 0;
  private latestRecordAtMs: number | undefined;
  private snapshotAtMs: number | undefined;
  private snapshotOffset = 0;
  private recent: StoredRecord[] = [];

  constructor(private readonly options: StreamReaderOptions) {}

  /** Offset of the next record to read. */
  get position(): number {
    return this.next;
  }

  /** Whether the state is the one that the log's records lead to. */
  get hasBase(): boolean {
    return this.based;
  }

  /** Whether a snapshot from which to start was read, if one is needed. */
  get hasFoundBase(): boolean {
    return this.based || this.baseIndex() >= 0;
  }

  /**
   * @param id - id of a record.
   * @returns whether the record was applied lately.
   */
  hasRead(id: string): boolean {
    return this.ids.has(id);
  }

  /** Log time of the latest record read, in epoch milliseconds. */
  get lastRecordAtMs(): number | undefined {
    return this.latestRecordAtMs;
  }

  /** Log time of the latest snapshot or else of the first record. */
  get lastSnapshotAtMs(): number | undefined {
    return this.snapshotAtMs;
  }

  /**
   * Offset of the latest snapshot, or 0; without the record that stands there
   * a new reader finds no base.
   */
  get lastSnapshotOffset(): number {
    return this.snapshotOffset;
  }

  /**
   * Takes a page of the log or of a peer that has read it.
   *
   * @param page - records at or after this reader's position.
   */
  take({records, next, first}: LogPage): void {
    if (first > this.next) this.skipTo(first);
    for (const record of records) {
      if (record.offset >= this.next) this.takeRecord(record);
    }
    this.next = Math.max(this.next, next, first);
  }

  /**
   * Captures the state.
   *
   * @param resettles - whether hosts get time again to put states back.
   * @param first - lowest offset that the log still holds.
   */
  snapshot(resettles: boolean, first: number): StreamSnapshot {
    const {state} = this.options;
    if (state === undefined) throw new Error('the stream has no state');
    return {
      type: SNAPSHOT_TYPE,
      through: this.based ? this.next : Math.max(this.baseLostAt, first),
      version: state.version,
      ids: this.ids.all(),
      resettles,
      settlesAtMs: this.settlesAtMs,
      lastRecordAtMs: this.based ? (this.latestRecordAtMs ?? null) : null,
      state: state.capture(),
    };
  }

  /**
   * @param from - position of another reader.
   * @returns all records from there on, or undefined if some are not held.
   */
  recordsFrom(from: number): StoredRecord[] | undefined {
    if (!this.based || from > this.next) return undefined;
    const oldest = this.recent[0]?.offset ?? this.next;
    if (from < oldest) return undefined;
    return this.recent.filter(record => record.offset >= from);
  }

  /**
   * Continues from the state of another reader that has a base.
   *
   * @param snapshot - the other reader's state.
   * @returns whether it was taken, which it is not if it is older.
   */
  adopt(snapshot: StreamSnapshot): boolean {
    const {state} = this.options;
    if (state === undefined || snapshot.version < state.version) return false;
    const isAhead = this.based
      ? snapshot.through > this.next
      : snapshot.through >= this.next;
    if (!isAhead || !this.startFrom(snapshot)) return false;
    this.next = snapshot.through;
    this.heldBack = [];
    this.recent = [];
    this.latestRecordAtMs = snapshot.lastRecordAtMs ?? undefined;
    return true;
  }

  private skipTo(first: number): void {
    this.options.onGap?.(first);
    this.next = first;
    this.loseBase(first);
  }

  private loseBase(offset: number): void {
    if (this.options.state === undefined) return;
    this.based = false;
    this.baseLostAt = offset;
    this.heldBack = [];
    this.recent = [];
  }

  private takeRecord(record: StoredRecord): void {
    if (this.followsSilence(record)) this.loseBase(record.offset);
    this.latestRecordAtMs = record.atMs;
    this.next = record.offset + 1;
    if (this.based) {
      this.apply(record);
      return;
    }
    this.heldBack.push(record);
    if (this.baseIndex() >= 0) this.findBase();
  }

  private followsSilence({atMs}: StoredRecord): boolean {
    const lastMs = this.latestRecordAtMs;
    return lastMs !== undefined && atMs - lastMs > this.options.retentionMs;
  }

  private baseIndex(): number {
    return this.heldBack.findIndex(({body}) => {
      const through = parseSnapshot(body)?.through ?? -1;
      return through >= this.baseLostAt;
    });
  }

  /** Replays what was held back; a state that is newer than that stays. */
  private findBase(): void {
    const {state} = this.options;
    const snapshot = parseSnapshot(this.heldBack[this.baseIndex()].body)!;
    const own = {version: state!.version, state: state!.capture()};
    const ownIds = this.ids;
    if (!this.startFrom(snapshot)) return;
    const records = this.heldBack.filter(
      record => record.offset >= snapshot.through,
    );
    if (this.followsLoss(snapshot, records[0])) this.settlesAtMs = Infinity;
    for (const record of records) this.apply(record);
    if (state!.version >= own.version) {
      this.heldBack = [];
      // A state that was put back may stand for records that are about to
      // expire; a fresh snapshot shall follow soon.
      if (snapshot.resettles) this.snapshotAtMs = Number.NEGATIVE_INFINITY;
      return;
    }
    state!.restore(own.state);
    this.ids = ownIds;
    this.based = false;
  }

  /**
   * Whether records were lost before a snapshot, so that other hosts may hold
   * newer states and nothing may be accepted before they had time to tell.
   */
  private followsLoss(
    {resettles, lastRecordAtMs}: StreamSnapshot,
    next: StoredRecord,
  ): boolean {
    if (!resettles || lastRecordAtMs === null) return resettles;
    return next.atMs - lastRecordAtMs > this.options.retentionMs;
  }

  private startFrom(snapshot: StreamSnapshot): boolean {
    if (!this.options.state!.restore(snapshot.state)) return false;
    this.ids = new RecentIds(REMEMBERED_IDS, snapshot.ids);
    this.settlesAtMs = snapshot.settlesAtMs;
    this.based = true;
    return true;
  }

  private apply(record: StoredRecord): void {
    this.keepRecent(record);
    this.snapshotAtMs ??= record.atMs;
    if (!this.ids.add(record.id)) return;
    const snapshot = parseSnapshot(record.body);
    if (snapshot === undefined) {
      this.options.onRecord(record, record.atMs >= this.settlesAtMs);
      return;
    }
    this.snapshotAtMs = record.atMs;
    this.snapshotOffset = record.offset;
    if (snapshot.resettles) this.settlesAtMs = record.atMs + SETTLE_MS;
    if (snapshot.resettles && snapshot.version < this.version) {
      // Some host has lost a state that this one still holds.
      this.snapshotAtMs = Number.NEGATIVE_INFINITY;
    }
    this.replaceOlder(snapshot);
  }

  private get version(): number {
    return this.options.state?.version ?? 0;
  }

  private replaceOlder(snapshot: StreamSnapshot): void {
    const {state} = this.options;
    if (state === undefined || snapshot.version <= state.version) return;
    if (state.restore(snapshot.state)) this.ids.addOlder(snapshot.ids);
  }

  private keepRecent(record: StoredRecord): void {
    this.recent.push(record);
    if (this.recent.length > 2 * MAX_RECENT_RECORDS) {
      this.recent = this.recent.slice(-MAX_RECENT_RECORDS);
    }
  }
}
