/** Fake store of the users' platform: a log with topics. @packageDocumentation */

import {Context} from 'hono';
import {StandinOptions, StandinServer} from '../standin_server.js';

const LENGTH_BYTES = 4;
const OFFSET_BYTES = 8;
const POLL_MS = 5;

/** Records of the only partition of a topic. */
interface Topic {
  /** Offset of the first retained record. */
  firstOffset: number;
  records: Buffer[];
}

/** The topics of a store at some time. */
export interface StoreCopy {
  readonly topics: ReadonlyMap<string, Topic>;
  /** Newest values of the keys in compacted topics, by topic and key. */
  readonly snapshots: ReadonlyMap<string, Map<string, Buffer>>;
}

/**
 * Store that keeps its topics in memory. In addition to the common faults it
 * can delay appends, compact topics and come back from an older copy.
 */
export class PlatformStoreStandin extends StandinServer {
  /**
   * Delay in milliseconds after which appends take effect. If it is over 0,
   * appends get no response.
   */
  appendDelayMs = 0;
  /** URLs of calls that the platform would reject. */
  readonly malformedCalls: string[] = [];
  /** Number of calls by path. */
  readonly callCounts = new Map<string, number>();
  private readonly topics = new Map<string, Topic>();
  private era = 1;

  constructor(options: StandinOptions = {}) {
    super(options);
    this.app.use('*', async (c, next) => {
      this.callCounts.set(
        c.req.path,
        (this.callCounts.get(c.req.path) ?? 0) + 1,
      );
      await next();
      c.header('store-era', String(this.era));
    });
    this.app.get('/log-read', c => this.read(c));
    this.app.get('/log-newest', c => this.newest(c));
    this.app.post('/log-append', c => this.append(c));
  }

  /**
   * Appends a keyed record, as an operator or a worker does.
   *
   * @param topic - name of the topic.
   * @param key - key of the record.
   * @param value - value to encode as JSON; undefined deletes the key.
   */
  put(topic: string, key: string, value: unknown): void {
    const name = Buffer.from(key);
    const body =
      value === undefined
        ? Buffer.alloc(0)
        : Buffer.from(JSON.stringify(value));
    const record = Buffer.concat([Buffer.from([name.length]), name, body]);
    this.topic(topic).records.push(record);
  }

  /** Returns the keys of a keyed topic that have a value. */
  keysOf(topic: string): string[] {
    return [...this.newestValues(topic).keys()];
  }

  /** Drops all records of a topic, but keeps the newest value of each key. */
  compact(topic: string): void {
    const state = this.topic(topic);
    const end = state.firstOffset + state.records.length;
    this.snapshots.set(topic, this.newestValues(topic));
    state.firstOffset = end;
    state.records = [];
  }

  /**
   * Loses the newest records of topics, as a store does that comes back from an
   * older copy.
   *
   * @param names - the topics.
   * @param count - number of records that each of them loses.
   */
  forget(names: readonly string[], count: number): void {
    for (const name of names) this.topic(name).records.splice(-count);
    this.era += 1;
  }

  /** Copies all topics, for {@link restore}. */
  copy(): StoreCopy {
    const topics = new Map<string, Topic>();
    for (const [name, {firstOffset, records}] of this.topics)
      topics.set(name, {firstOffset, records: [...records]});
    return {topics, snapshots: new Map(this.snapshots)};
  }

  /**
   * Comes back from an older copy: what was appended since is lost, and its
   * offsets are given out again.
   *
   * @param copy - the copy, which can be used again.
   */
  restore({topics, snapshots}: StoreCopy): void {
    this.topics.clear();
    for (const [name, {firstOffset, records}] of topics)
      this.topics.set(name, {firstOffset, records: [...records]});
    this.snapshots.clear();
    for (const [name, values] of snapshots) this.snapshots.set(name, values);
    this.era += 1;
  }

  /** Newest values of the keys in compacted topics, by topic and key. */
  private readonly snapshots = new Map<string, Map<string, Buffer>>();

  private topic(name: string): Topic {
    let topic = this.topics.get(name);
    if (topic === undefined) {
      topic = {firstOffset: 0, records: []};
      this.topics.set(name, topic);
    }
    return topic;
  }

  private async read(c: Context): Promise<Response> {
    const numbers = ['part', 'From', 'MaxKb', 'WaitMs'];
    const isInteger = (name: string) => /^\d+$/.test(c.req.query(name) ?? '0');
    if (!numbers.every(isInteger)) {
      this.malformedCalls.push(c.req.url);
      return c.json({}, 400);
    }
    const name = c.req.query('Topic') ?? '';
    const from = Number(c.req.query('From') ?? 0);
    const endMs = this.clock.now() + Number(c.req.query('WaitMs') ?? 0);
    while (endOf(this.topic(name)) === from && this.clock.now() < endMs)
      await this.clock.sleep(POLL_MS);
    // A copy that the store came back from may have replaced the topic.
    const topic = this.topic(name);
    if (from < topic.firstOffset || from > endOf(topic))
      return c.json({First: topic.firstOffset}, 410);
    const head = Buffer.alloc(2 * OFFSET_BYTES);
    head.writeBigUInt64BE(BigInt(endOf(topic)), 0);
    head.writeBigUInt64BE(BigInt(topic.firstOffset), OFFSET_BYTES);
    const framed = topic.records.slice(from - topic.firstOffset).flatMap(frame);
    return c.body(new Uint8Array(Buffer.concat([head, ...framed])));
  }

  private newest(c: Context): Response {
    const name = c.req.query('Topic') ?? '';
    const topic = this.topic(name);
    const items = [...this.newestValues(name)].map(([key, value]) => ({
      Key: key,
      Value: value.toString('base64'),
      Offset: topic.firstOffset,
    }));
    return c.json({items, HasMore: false, End: endOf(topic)});
  }

  private newestValues(name: string): Map<string, Buffer> {
    const newest = new Map(this.snapshots.get(name));
    for (const record of this.topic(name).records) {
      const valueAt = 1 + record[0];
      const key = record.toString('utf8', 1, valueAt);
      const value = record.subarray(valueAt);
      if (value.length === 0) newest.delete(key);
      else newest.set(key, value);
    }
    return newest;
  }

  private async append(c: Context): Promise<Response> {
    const name = c.req.query('Topic') ?? '';
    const expectedOffset = c.req.query('At');
    const body = Buffer.from(await c.req.arrayBuffer());
    if (this.appendDelayMs > 0) {
      this.clock.after(this.appendDelayMs, () =>
        appendAt(this.topic(name), expectedOffset, body),
      );
      return new Promise(() => {});
    }
    const topic = this.topic(name);
    const offset = appendAt(topic, expectedOffset, body);
    if (offset === undefined) return c.json({End: endOf(topic)}, 412);
    return c.json({Offset: offset, End: endOf(topic)});
  }
}

/** Returns the offset after the newest record. */
function endOf({firstOffset, records}: Topic): number {
  return firstOffset + records.length;
}

function appendAt(
  topic: Topic,
  expectedEnd: string | undefined,
  body: Buffer,
): number | undefined {
  const end = endOf(topic);
  if (expectedEnd !== undefined && Number(expectedEnd) !== end)
    return undefined;
  for (let i = 0; i < body.length;) {
    const length = body.readUInt32BE(i);
    i += LENGTH_BYTES;
    topic.records.push(body.subarray(i, i + length));
    i += length;
  }
  return end;
}

function frame(record: Buffer): Buffer[] {
  const length = Buffer.alloc(LENGTH_BYTES);
  length.writeUInt32BE(record.length, 0);
  return [length, record];
}
