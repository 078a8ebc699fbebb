/** An in-memory log for tests. @packageDocumentation */

import {Result, err, ok} from 'neverthrow';
import {
  Clock,
  LogError,
  LogPage,
  LogRecord,
  PlatformLog,
  ReadOptions,
  StoredRecord,
} from '../../index.js';

/** A log with a single stream, whose records expire after the retention. */
export class MemoryLog extends PlatformLog {
  /** Number of successful append calls. */
  appendCalls = 0;
  /** Whether every call fails. */
  isDown = false;
  /** All appended records, including expired ones. */
  readonly appended: StoredRecord[] = [];
  private kept: StoredRecord[] = [];
  private next = 0;
  private wakeCallbacks: Array<() => void> = [];

  constructor(
    private readonly clock: Clock,
    private readonly retentionMs = Infinity,
  ) {
    super();
  }

  /** The records that have not expired. */
  get records(): readonly StoredRecord[] {
    const oldestMs = this.clock.epochNow() - this.retentionMs;
    this.kept = this.kept.filter(record => record.atMs >= oldestMs);
    return this.kept;
  }

  /** Appends one record. */
  add(id: string, body: unknown): void {
    const atMs = this.clock.epochNow();
    const record = {offset: this.next++, id, body, atMs};
    this.kept.push(record);
    this.appended.push(record);
    for (const callback of this.wakeCallbacks.splice(0)) callback();
  }

  /** Returns the records from an offset on that have not expired. */
  page(from: number): LogPage {
    const {records} = this;
    const first = records[0]?.offset ?? this.next;
    const wanted = records.filter(record => record.offset >= from);
    return {records: wanted, next: Math.max(from, this.next), first};
  }

  override async append(
    stream: string,
    records: readonly LogRecord[],
  ): Promise<Result<number[], LogError>> {
    if (this.isDown) return unavailable();
    this.appendCalls += 1;
    const start = this.next;
    for (const {id, body} of records) this.add(id, body);
    return ok(records.map((unused, index) => start + index));
  }

  override async read(
    stream: string,
    from: number,
    {waitMs, signal}: ReadOptions,
  ): Promise<Result<LogPage, LogError>> {
    if (this.isDown) return unavailable();
    if (this.next <= from && waitMs > 0) {
      const woken = new AbortController();
      this.wakeCallbacks.push(() => woken.abort());
      const either = AbortSignal.any([signal, woken.signal]);
      await this.clock.sleep(waitMs, either);
    }
    return this.isDown ? unavailable() : ok(this.page(from));
  }
}

function unavailable(): Result<never, LogError> {
  return err({type: 'log-unavailable', message: 'down'});
}
