/** A small stand-in of the platform's store: a log with topics. */

import {createServer} from 'node:http';

/** Usual time of an answer, and how much longer a slow store takes. */
const ANSWER_MS = 4;
const sleep = ms => new Promise(resolve => setTimeout(resolve, ms));

/** The store. `slowness` multiplies the time of each answer. */
export class Store {
  slowness = 1;
  /** Called with each call to append as it arrives. */
  onAppend = () => {};
  /** Called with each append that took effect. */
  onAppended = () => {};
  #topics = new Map();
  #wake = new Set();

  async start() {
    this.server = createServer((req, res) => void this.#handle(req, res));
    await new Promise(resolve => this.server.listen(0, '127.0.0.1', resolve));
    this.port = this.server.address().port;
  }

  stop() {
    this.server.closeAllConnections();
    this.server.close();
  }

  /** Writes a record of a keyed topic, as the operator and the workers do. */
  put(topic, key, value) {
    const name = Buffer.from(key);
    const body =
      value === undefined
        ? Buffer.alloc(0)
        : Buffer.from(JSON.stringify(value));
    this.#add(topic, [Buffer.concat([Buffer.of(name.length), name, body])]);
  }

  #topic(name) {
    if (!this.#topics.has(name)) this.#topics.set(name, []);
    return this.#topics.get(name);
  }

  #add(name, records) {
    const topic = this.#topic(name);
    const offset = topic.length;
    topic.push(...records);
    for (const wake of this.#wake) wake();
    return offset;
  }

  async #handle(req, res) {
    const chunks = [];
    for await (const chunk of req) chunks.push(chunk);
    const url = new URL(req.url, 'http://store');
    const query = url.searchParams;
    const name = query.get('Topic');
    const answerMs = ANSWER_MS * this.slowness;
    // Half of the time passes before the call takes effect.
    if (url.pathname === '/log-append') {
      const records = split(Buffer.concat(chunks));
      this.onAppend(name, records);
      await sleep(answerMs / 2);
      const topic = this.#topic(name);
      const at = query.get('At');
      const fits = at === null || Number(at) === topic.length;
      const offset = fits ? this.#add(name, records) : undefined;
      if (fits) this.onAppended(name, records, offset);
      const end = topic.length;
      await sleep(answerMs / 2);
      if (fits) this.#json(res, 200, {Offset: offset, End: end});
      else this.#json(res, 412, {End: end});
      return;
    }
    await sleep(answerMs / 2);
    if (url.pathname === '/log-read') {
      const topic = this.#topic(name);
      const from = Number(query.get('From') ?? 0);
      const endMs = performance.now() + Number(query.get('WaitMs') ?? 0);
      while (topic.length <= from && performance.now() < endMs)
        await this.#waitForRecord(endMs - performance.now());
      const head = Buffer.alloc(16);
      head.writeBigUInt64BE(BigInt(topic.length), 0);
      const body = Buffer.concat([head, ...topic.slice(from).flatMap(frame)]);
      await sleep(answerMs / 2);
      res.writeHead(200, {'content-length': body.length}).end(body);
      return;
    }
    if (url.pathname === '/log-newest') {
      const newest = new Map();
      for (const [offset, record] of this.#topic(name).entries()) {
        const start = 1 + record[0];
        const key = record.toString('utf8', 1, start);
        const value = record.subarray(start);
        if (value.length === 0) newest.delete(key);
        else newest.set(key, {value, offset});
      }
      const items = [...newest].map(([Key, {value, offset}]) => {
        return {Key, Value: value.toString('base64'), Offset: offset};
      });
      const End = this.#topic(name).length;
      await sleep(answerMs / 2);
      this.#json(res, 200, {items, HasMore: false, End});
      return;
    }
    this.#json(res, 404, {});
  }

  #waitForRecord(maxMs) {
    return new Promise(resolve => {
      const done = () => {
        clearTimeout(timer);
        this.#wake.delete(done);
        resolve();
      };
      const timer = setTimeout(done, maxMs);
      this.#wake.add(done);
    });
  }

  #json(res, status, value) {
    const body = JSON.stringify(value);
    const headers = {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(body),
    };
    res.writeHead(status, headers).end(body);
  }
}

function split(body) {
  const records = [];
  for (let i = 0; i < body.length;) {
    const length = body.readUInt32BE(i);
    records.push(body.subarray(i + 4, i + 4 + length));
    i += 4 + length;
  }
  return records;
}

function frame(record) {
  const length = Buffer.alloc(4);
  length.writeUInt32BE(record.length, 0);
  return [length, record];
}
