/** Stand-in of a worker: a plain service or a model engine. */

import {createServer} from 'node:http';
import {answerJson, pause} from './store.mjs';

const PREFIX = 'x-fuchsiacleat-';
const HEARTBEAT_MS = 1_200;

/** Headers by which a worker marks that it did not run a request. */
const NOT_RUN_STATUS = 503;

/**
 * A sound worker. Faults are added by the options:
 *
 * - `duplicates(id)`: whether a late second copy of the answer to this request
 *   follows at the point where the next answer is expected.
 * - `answerFault(id, afterEvent)`: undefined, or `{unframed, cutAfter}` for a
 *   stream without a length, and one that ends early after so many events.
 * - `plainFault(id)`: undefined, or the number of bytes of a plain body after
 *   which the answer breaks off.
 */
export class Worker {
  constructor(store, options) {
    this.store = store;
    this.options = {slots: 6, queue: 3, models: [], version: 'v1', ...options};
    this.models = new Set(this.options.models);
    this.orderCount = 0;
    this.running = 0;
    this.waiting = [];
    /** Runs in the order in which they began. */
    this.runs = [];
    this.runningByModel = new Map();
    this.isBusy = false;
    /** Orders in the order of their arrival. */
    this.orders = [];
    /** Requests that were not run, with their statuses. */
    this.refusals = [];
    this.answers = 0;
    this.born = Date.now();
    this.server = createServer((req, res) => void this.handle(req, res));
    this.server.keepAliveTimeout = 20_000;
  }

  async start() {
    await new Promise(resolve => this.server.listen(0, '127.0.0.1', resolve));
    this.address = `127.0.0.1:${this.server.address().port}`;
    this.register();
    this.timer = setInterval(() => this.register(), HEARTBEAT_MS);
  }

  stop() {
    clearInterval(this.timer);
    this.server.close();
    this.server.closeAllConnections();
  }

  register(state = 'ready') {
    const {id, service, slots, version, zone} = this.options;
    const Models = [...this.models].map(toEntry);
    this.store.put('keyed.servers', id, {
      Service: service,
      Addr: this.address,
      Zone: zone,
      Version: version,
      Slots: slots,
      State: state,
      ColdLeftMs: 0,
      Seq: this.orderCount,
      Models,
      AtHand: {InMemory: this.options.atHand ?? [...this.models]},
      born: this.born,
    });
  }

  async handle(req, res) {
    const chunks = [];
    try {
      for await (const chunk of req) chunks.push(chunk);
    } catch {
      return;
    }
    const {id: name} = this.options;
    const expected = req.headers[`${PREFIX}expect-instance`];
    this.sendLateCopy(req.socket);
    if (expected !== undefined && expected !== name) {
      res.writeHead(421, {[`${PREFIX}instance-id`]: name}).end();
    } else if (req.url === '/report') this.report(res);
    else if (req.url === '/healthz')
      res.writeHead(200, {[`${PREFIX}instance-id`]: name}).end();
    else if (req.url === '/order')
      this.order(JSON.parse(Buffer.concat(chunks)), res);
    else await this.request(req, res);
  }

  /** Sends the second copy that is due on a connection, if there is one. */
  sendLateCopy(socket) {
    const copy = socket.lateCopy;
    if (copy === undefined) return;
    socket.lateCopy = undefined;
    socket.write(copy);
  }

  report(res) {
    answerJson(res, 200, {
      Stage: 'both',
      Models: [...this.models].map(toEntry),
      Busy: this.isBusy,
      Seq: this.orderCount,
      Waiting: this.waiting.length,
      Running: this.running,
      KvUsed: 0,
      KvTotal: 100_000,
      Handles: 0,
    });
  }

  /** Carries out one order for a model at a time. */
  order({Fence, Holder, Model, Op, Precondition}, res) {
    const atMs = Math.round(performance.now());
    const isConflict = this.isBusy || Precondition !== this.orderCount;
    const status = isConflict ? 409 : 202;
    this.orders.push({atMs, Fence, Holder, Model, Op, status});
    if (!isConflict) {
      this.orderCount += 1;
      void this.carryOut(Op, Model);
    }
    res.writeHead(status).end();
  }

  async carryOut(op, model) {
    this.isBusy = true;
    if (op === 'load') {
      await pause(this.options.loadMs ?? 0);
      this.models.add(model);
    } else {
      this.models.delete(model);
      while ((this.runningByModel.get(model) ?? 0) > 0) await pause(10);
    }
    this.isBusy = false;
    this.register();
  }

  async request(req, res) {
    const id = req.headers[`${PREFIX}attempt-id`];
    const model = req.headers[`${PREFIX}model`];
    if (model !== undefined && !this.models.has(model)) {
      res.writeHead(421, {[`${PREFIX}attempt-id`]: id}).end();
      return;
    }
    const {queue, slots} = this.options;
    if (this.running >= slots) {
      if (this.waiting.length >= queue) {
        this.refuse(req, res, id);
        return;
      }
      await new Promise(resolve => this.waiting.push(resolve));
    }
    if (res.destroyed) {
      this.next();
      return;
    }
    this.running += 1;
    this.countModel(model, 1);
    const run = {
      id,
      worker: this.options.id,
      beganMs: Math.round(performance.now()),
      lastEventId: req.headers['last-event-id'],
    };
    this.runs.push(run);
    this.answers += 1;
    if (model === undefined) await this.answerPlain(req, res, id);
    else await this.answerStream(req, res, id);
    this.running -= 1;
    this.countModel(model, -1);
    this.next();
  }

  countModel(model, change) {
    const count = (this.runningByModel.get(model) ?? 0) + change;
    this.runningByModel.set(model, count);
  }

  next() {
    if (this.running < this.options.slots) this.waiting.shift()?.();
  }

  /** Answers that the worker is full. */
  refuse({socket}, res, id) {
    this.refusals.push({id, worker: this.options.id, status: NOT_RUN_STATUS});
    this.answers += 1;
    const head =
      `HTTP/1.1 ${NOT_RUN_STATUS} Service Unavailable\r\n` +
      `${PREFIX}attempt-id: ${id}\r\n${PREFIX}not-executed: 1\r\n` +
      'content-length: 0\r\n\r\n';
    if (this.options.duplicates?.(id)) socket.lateCopy = head;
    res.writeHead(NOT_RUN_STATUS, {
      [`${PREFIX}attempt-id`]: id,
      [`${PREFIX}not-executed`]: '1',
      'content-length': 0,
    });
    res.end();
  }

  async answerPlain(req, res, id) {
    const workMs = Number(req.headers['x-work-ms'] ?? 80);
    await pause(workMs);
    if (res.destroyed) return;
    const {bodyBytes = 0, plainFault} = this.options;
    const body = plainBody(id, bodyBytes);
    const cutAfter = plainFault?.(id);
    res.writeHead(200, {
      [`${PREFIX}attempt-id`]: id,
      [`${PREFIX}server-stamp`]: `${this.options.id}.stamp`,
      'content-length': body.length,
    });
    if (cutAfter === undefined) {
      await new Promise(resolve => {
        res.on('close', resolve);
        res.end(body, resolve);
      });
      return;
    }
    await new Promise(resolve => {
      res.on('close', resolve);
      res.write(body.slice(0, cutAfter), resolve);
    });
    await pause(20);
    res.destroy();
  }

  /** Streams events `1` to `events`, or those after the last event's id. */
  async answerStream(req, res, id) {
    const {eventMs = 40, events = 12} = this.options;
    const after = Number(req.headers['last-event-id'] ?? 0);
    const fault = this.options.answerFault?.(id, after) ?? {};
    if (fault.unframed) {
      res.useChunkedEncodingByDefault = false;
      res.shouldKeepAlive = false;
    }
    res.writeHead(200, {
      [`${PREFIX}attempt-id`]: id,
      [`${PREFIX}server-stamp`]: `${this.options.id}.stamp`,
      [`${PREFIX}weight-versions`]: '1',
      'content-type': 'text/event-stream',
    });
    res.flushHeaders();
    for (let event = after + 1; event <= events; event++) {
      await pause(eventMs);
      if (res.destroyed) return;
      if (fault.cutAfter !== undefined && event > fault.cutAfter) {
        // Ends the connection in order, as a process does that ends.
        req.socket.end();
        return;
      }
      res.write(`id: ${event}\ndata: ${id} ${event}\n\n`);
    }
    res.end();
  }
}

/** The body of a plain answer: lines that name the request and the place. */
export function plainBody(id, minBytes) {
  const lines = [`answer to ${id}`];
  for (let bytes = lines[0].length; bytes < minBytes;) {
    const line = `\n${id} at ${bytes}`;
    lines.push(line);
    bytes += line.length;
  }
  return lines.join('');
}

function toEntry(Name) {
  return {Name, Version: 1, Adapters: []};
}
