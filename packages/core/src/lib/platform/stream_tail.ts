/** A reader of one stream of the log that can also append to it. @packageDocumentation */

import {Result, err, ok} from 'neverthrow';
import {Clock} from '../time/clock.js';
import {Logger} from '../telemetry/logger.js';
import {PlatformLog, StoredRecord} from './platform_log.js';

const POLL_WAIT_MS = 10_000;
const RETRY_DELAY_MS = 200;
const APPEND_RETRY_DELAY_MS = 250;
const MAX_REMEMBERED_IDS = 100_000;

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
  /** Takes each record once, in the order of offsets. */
  onRecord: (record: StoredRecord) => void;
  /**
   * Called when records between the last one read and `first` have expired.
   */
  onGap?: (first: number) => void;
}

/**
 * Follows a stream and applies each record once, by its id.
 *
 * A record appended by {@link StreamTail.appendAndSee} counts as appended only
 * once this tail has read it, since the answer to an append may be lost.
 */
export class StreamTail {
  private next = 0;
  private caughtUpAtMs: number | undefined;
  private readonly seen = new Set<string>();
  private readonly waiters = new Map<string, (r: StoredRecord) => void>();
  private readonly caughtUpListeners: Array<() => void> = [];

  constructor(private readonly options: StreamTailOptions) {}

  /** Offset of the next record to read. */
  get position(): number {
    return this.next;
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
    const {log, stream, clock, logger} = this.options;
    let reachable = true;
    while (!signal.aborted) {
      // The first reads must not wait, so that a new host learns at once that
      // it holds the whole stream.
      const waitMs = this.caughtUpAtMs === undefined ? 0 : POLL_WAIT_MS;
      const page = await log.read(stream, this.next, {waitMs, signal});
      if (signal.aborted) return;
      if (page.isErr()) {
        if (reachable) {
          logger.warn('log_read_failed', {stream, reason: page.error.message});
        }
        reachable = false;
        await clock.sleep(RETRY_DELAY_MS, signal);
        continue;
      }
      if (!reachable) logger.info('log_reachable', {stream});
      reachable = true;
      const {records, next, first} = page.value;
      if (first > this.next) this.options.onGap?.(first);
      for (const record of records) this.take(record);
      this.next = Math.max(next, first);
      if (records.length === 0 || waitMs > 0) this.noteCaughtUp();
    }
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
   * @returns the record at its offset, or that its fate is unknown.
   */
  async appendAndSee(
    body: unknown,
    boundMs: number,
    signal: AbortSignal,
  ): Promise<Result<StoredRecord, AppendUnknown>> {
    const {log, stream, clock, ids} = this.options;
    const id = ids.take();
    const done = new AbortController();
    const giveUp = AbortSignal.any([signal, done.signal]);
    let seen: StoredRecord | undefined;
    let message = 'the record was not seen in time';
    this.waiters.set(id, record => {
      seen = record;
      done.abort();
    });
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
    this.waiters.delete(id);
    if (seen !== undefined) return ok(seen);
    return err({type: 'append-unknown', id, message});
  }

  /**
   * Waits until a record is read, however late it comes.
   *
   * @param id - id of the record.
   * @param signal - gives up waiting.
   * @returns whether the record was read.
   */
  awaitRecord(id: string, signal: AbortSignal): Promise<boolean> {
    if (this.seen.has(id)) return Promise.resolve(true);
    if (signal.aborted) return Promise.resolve(false);
    return new Promise(resolve => {
      const finish = (appeared: boolean) => {
        this.waiters.delete(id);
        resolve(appeared);
      };
      this.waiters.set(id, () => finish(true));
      signal.addEventListener('abort', () => finish(false), {once: true});
    });
  }

  private take(record: StoredRecord): void {
    if (this.seen.has(record.id)) return;
    this.remember(record.id);
    this.options.onRecord(record);
    this.waiters.get(record.id)?.(record);
  }

  private remember(id: string): void {
    this.seen.add(id);
    if (this.seen.size <= MAX_REMEMBERED_IDS) return;
    const oldest = this.seen.values().next().value;
    if (oldest !== undefined) this.seen.delete(oldest);
  }

  private noteCaughtUp(): void {
    this.caughtUpAtMs = this.options.clock.now();
    for (const listener of this.caughtUpListeners.splice(0)) listener();
  }
}

function aborted(signal: AbortSignal): Promise<void> {
  if (signal.aborted) return Promise.resolve();
  return new Promise(resolve =>
    signal.addEventListener('abort', () => resolve(), {once: true}),
  );
}
