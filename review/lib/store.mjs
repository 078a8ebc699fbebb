/** Stand-in of the platform's store: a log with topics. */

import {createServer} from 'node:http';

export const ANSWER_MS = 4;
const POLL_MS = 5;

/** A store that follows the users' protocol page and loses nothing. */
export class Store {
  constructor() {
    this.topics = new Map();
    /** Time until an answer, in milliseconds. */
    this.answerMs = ANSWER_MS;
    this.server = createServer((req, res) => void this.handle(req, res));
    this.server.keepAliveTimeout = 0;
  }

  async start() {
    await new Promise(resolve => this.server.listen(0, '127.0.0.1', resolve));
    this.address = `127.0.0.1:${this.server.address().port}`;
  }

  stop() {
    this.server.close();
    this.server.closeAllConnections();
  }

  /** Appends a keyed record, as the operator or a worker does. */
  put(topic, key, value) {
    const name = Buffer.from(key);
    const text = value === undefined ? '' : JSON.stringify(value);
    const parts = [Buffer.from([name.length]), name, Buffer.from(text)];
    this.topic(topic).push(Buffer.concat(parts));
  }

  topic(name) {
    if (!this.topics.has(name)) this.topics.set(name, []);
    return this.topics.get(name);
  }

  async handle(req, res) {
    const chunks = [];
    for await (const chunk of req) chunks.push(chunk);
    const body = Buffer.concat(chunks);
    const url = new URL(req.url, 'http://store');
    // Half of the time passes before the call takes effect.
    await pause(this.answerMs / 2);
    const end = res.end.bind(res);
    res.end = (...args) => setTimeout(() => end(...args), this.answerMs / 2);
    if (url.pathname === '/log-read') await this.read(url.searchParams, res);
    else if (url.pathname === '/log-newest') this.newest(url.searchParams, res);
    else if (url.pathname === '/log-append')
      this.append(url.searchParams, body, res);
    else res.writeHead(404).end();
  }

  async read(query, res) {
    const records = this.topic(query.get('Topic'));
    const from = Number(query.get('From') ?? 0);
    const endMs = performance.now() + Number(query.get('WaitMs') ?? 0);
    while (records.length <= from && performance.now() < endMs)
      await pause(POLL_MS);
    const head = Buffer.alloc(16);
    head.writeBigUInt64BE(BigInt(records.length), 0);
    const framed = records.slice(from).flatMap(record => {
      const length = Buffer.alloc(4);
      length.writeUInt32BE(record.length, 0);
      return [length, record];
    });
    res.writeHead(200).end(Buffer.concat([head, ...framed]));
  }

  newest(query, res) {
    const records = this.topic(query.get('Topic'));
    const newest = new Map();
    records.forEach((record, offset) => {
      const valueAt = 1 + record[0];
      const key = record.toString('utf8', 1, valueAt);
      const value = record.subarray(valueAt);
      if (value.length === 0) newest.delete(key);
      else newest.set(key, {value, offset});
    });
    const items = [...newest].map(([Key, {value, offset}]) => ({
      Key,
      Value: value.toString('base64'),
      Offset: offset,
    }));
    answerJson(res, 200, {items, HasMore: false, End: records.length});
  }

  append(query, body, res) {
    const records = this.topic(query.get('Topic'));
    const expected = query.get('At');
    const end = records.length;
    if (expected !== null && Number(expected) !== end) {
      answerJson(res, 412, {End: end});
      return;
    }
    for (let i = 0; i < body.length;) {
      const length = body.readUInt32BE(i);
      records.push(body.subarray(i + 4, i + 4 + length));
      i += 4 + length;
    }
    answerJson(res, 200, {Offset: end, End: records.length});
  }
}

export function answerJson(res, status, body) {
  res.writeHead(status, {'content-type': 'application/json'});
  res.end(JSON.stringify(body));
}

export function pause(ms) {
  return new Promise(resolve => setTimeout(resolve, ms));
}
