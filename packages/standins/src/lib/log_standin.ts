/** Fake log of the platform. @packageDocumentation */

import {z} from 'zod';
import {StandinOptions, StandinServer} from './standin_server.js';

const DEFAULT_RETENTION_MS = 24 * 3_600_000;
const MAX_PAGE_RECORDS = 1_000;

const appendSchema = z.object({
  records: z.array(z.object({id: z.string(), body: z.unknown()})).min(1),
});

interface RetainedRecord {
  offset: number;
  id: string;
  atMs: number;
  body: unknown;
}

interface RecordStream {
  records: RetainedRecord[];
  nextOffset: number;
  waiters: Set<() => void>;
}

/** Options of a {@link LogStandin}. */
export interface LogStandinOptions extends StandinOptions {
  /** Retention time of records, in milliseconds. */
  retentionMs?: number;
}

/** Append-only log with offsets, limited retention and long polling. */
export class LogStandin extends StandinServer {
  /** Number of append calls that took effect; a batch counts once. */
  appendCalls = 0;
  private retentionMs: number;
  private readonly streams = new Map<string, RecordStream>();

  constructor(options: LogStandinOptions = {}) {
    super(options);
    this.retentionMs = options.retentionMs ?? DEFAULT_RETENTION_MS;
    this.app.post('/streams/:name/records', async c => {
      const parsed = appendSchema.safeParse(await c.req.json());
      if (!parsed.success) return c.json({message: 'malformed records'}, 400);
      const stream = this.stream(c.req.param('name'));
      return c.json({offsets: this.append(stream, parsed.data.records)});
    });
    this.app.get('/streams/:name/records', async c => {
      const stream = this.stream(c.req.param('name'));
      const from = Number(c.req.query('from') ?? 0);
      const waitMs = Number(c.req.query('wait_ms') ?? 0);
      if (stream.nextOffset <= from) {
        await this.waitForRecord(stream, waitMs, c.req.raw.signal);
      }
      return c.json(this.page(stream, from));
    });
  }

  /** @returns the retained records of a stream. */
  records(name: string): readonly RetainedRecord[] {
    this.expire(this.stream(name));
    return this.stream(name).records;
  }

  /** @returns the names of all streams. */
  streamNames(): string[] {
    return [...this.streams.keys()];
  }

  /**
   * Changes the retention time.
   *
   * @param retentionMs - the new retention time, in milliseconds.
   */
  setRetention(retentionMs: number): void {
    this.retentionMs = retentionMs;
  }

  private stream(name: string): RecordStream {
    let stream = this.streams.get(name);
    if (stream === undefined) {
      stream = {records: [], nextOffset: 0, waiters: new Set()};
      this.streams.set(name, stream);
    }
    return stream;
  }

  private append(
    stream: RecordStream,
    records: ReadonlyArray<{id: string; body?: unknown}>,
  ): number[] {
    this.appendCalls += 1;
    const atMs = this.clock.epochNow();
    const offsets = records.map(({id, body}) => {
      const offset = stream.nextOffset++;
      stream.records.push({offset, id, atMs, body});
      return offset;
    });
    for (const wake of stream.waiters) wake();
    stream.waiters.clear();
    return offsets;
  }

  private page(stream: RecordStream, from: number) {
    this.expire(stream);
    const first = stream.records[0]?.offset ?? stream.nextOffset;
    const start = Math.max(0, from - first);
    const records = stream.records.slice(start, start + MAX_PAGE_RECORDS);
    const last = records.at(-1)?.offset;
    const next = last === undefined ? Math.max(from, first) : last + 1;
    return {records, next, first};
  }

  private expire(stream: RecordStream): void {
    const oldestMs = this.clock.epochNow() - this.retentionMs;
    const kept = stream.records.findIndex(record => record.atMs >= oldestMs);
    stream.records.splice(0, kept === -1 ? stream.records.length : kept);
  }

  private waitForRecord(
    stream: RecordStream,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<void> {
    return new Promise(resolve => {
      const finish = () => {
        timer.cancel();
        stream.waiters.delete(finish);
        resolve();
      };
      const timer = this.clock.after(waitMs, finish);
      stream.waiters.add(finish);
      signal.addEventListener('abort', finish);
    });
  }
}
