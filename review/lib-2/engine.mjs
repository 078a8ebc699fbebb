/** A small stand-in of a model worker: requests, orders and reports. */

import {createServer} from 'node:http';

const PREFIX = 'x-fuchsiacleat-';
const ADAPTER_MS = 5;
const EVENT_MS = 10;
const BEAT_MS = 1_200;

/** A worker that holds one model, and adapters of it as it is ordered. */
export class Engine {
  #seq = 0;
  #adapters = new Map();
  #born = Date.now();

  constructor({id, service, zone, model, slots, adapterSlots, onOrder, onRun}) {
    Object.assign(this, {id, service, zone, model, slots, adapterSlots});
    this.onOrder = onOrder;
    this.onRun = onRun;
  }

  async start(store) {
    this.server = createServer((req, res) => void this.#handle(req, res));
    await new Promise(resolve => this.server.listen(0, '127.0.0.1', resolve));
    this.port = this.server.address().port;
    const beat = () => store.put('keyed.servers', this.id, this.#entry());
    beat();
    this.timer = setInterval(beat, BEAT_MS);
  }

  stop() {
    clearInterval(this.timer);
    this.server.closeAllConnections();
    this.server.close();
  }

  #models() {
    const nowMs = performance.now();
    const ready = [...this.#adapters].filter(([, atMs]) => atMs <= nowMs);
    const Adapters = ready.map(([name]) => name);
    return [{Name: this.model, Version: 1, Adapters}];
  }

  #entry() {
    return {
      Service: this.service,
      Addr: `127.0.0.1:${this.port}`,
      Zone: this.zone,
      Version: 'v1',
      Slots: this.slots,
      State: 'ready',
      ColdLeftMs: 0,
      Stage: 'both',
      Models: this.#models(),
      Seq: this.#seq,
      born: this.#born,
    };
  }

  async #handle(req, res) {
    const chunks = [];
    for await (const chunk of req) chunks.push(chunk);
    const expected = req.headers[`${PREFIX}expect-instance`];
    if (expected !== undefined && expected !== this.id) {
      res.writeHead(421, {[`${PREFIX}instance-id`]: this.id}).end();
    } else if (req.url === '/report') {
      const Models = this.#models();
      const report = {Stage: 'both', Models, Busy: false, Seq: this.#seq};
      const load = {Waiting: 0, Running: 0, KvUsed: 0, KvTotal: 90_000};
      this.#json(res, 200, {...report, ...load, Handles: 0});
    } else if (req.url === '/order') {
      this.#order(JSON.parse(Buffer.concat(chunks).toString()), res);
    } else this.#run(req, res);
  }

  #order(order, res) {
    const {Op, Model, Adapter, Precondition, Holder, Fence} = order;
    const answer = status => {
      this.onOrder({worker: this.id, Op, Adapter, Holder, Fence, status});
      res.writeHead(status, {'content-length': 0}).end();
    };
    if (Precondition !== undefined && Precondition !== this.#seq) answer(409);
    else if (Model !== this.model || Adapter === undefined) answer(400);
    else if (Op === 'load' && this.#adapters.has(Adapter)) answer(200);
    else if (Op === 'unload' && !this.#adapters.has(Adapter)) answer(200);
    else if (Op === 'unload') {
      this.#seq += 1;
      this.#adapters.delete(Adapter);
      answer(200);
    } else if (this.#adapters.size >= this.adapterSlots) answer(409);
    else {
      this.#seq += 1;
      this.#adapters.set(Adapter, performance.now() + ADAPTER_MS);
      answer(202);
    }
  }

  #run(req, res) {
    const id = req.headers[`${PREFIX}attempt-id`];
    const [model, adapter] = (req.headers[`${PREFIX}model`] ?? '').split('/');
    const readyMs = this.#adapters.get(adapter) ?? Infinity;
    const isHeld = adapter === undefined || readyMs <= performance.now();
    if (model !== this.model || !isHeld) {
      const headers = {[`${PREFIX}attempt-id`]: id};
      res.writeHead(421, {...headers, [`${PREFIX}instance-id`]: this.id}).end();
      return;
    }
    this.onRun({worker: this.id, id});
    res.writeHead(200, {
      [`${PREFIX}attempt-id`]: id,
      [`${PREFIX}server-stamp`]: `${this.id}.${id}`,
      [`${PREFIX}weight-versions`]: '1',
      'content-type': 'text/event-stream',
    });
    let event = 0;
    const timer = setInterval(() => {
      event += 1;
      res.write(`id: ${event}\ndata: piece\n\n`);
      if (event < 3) return;
      clearInterval(timer);
      res.end();
    }, EVENT_MS);
    res.on('close', () => clearInterval(timer));
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
