/** Fake model engine. @packageDocumentation */

import {Context} from 'hono';
import {streamSSE} from 'hono/streaming';
import {request} from 'undici';
import {EngineMemory, Resident} from './engine_memory.js';
import {
  ExecutedOrder,
  EngineOrder,
  EngineRun,
  GenerateBody,
  generateSchema,
  orderSchema,
} from './engine_protocol.js';
import {CacheEvents, LoadReports} from './engine_reports.js';
import {expectedToken, inputText} from './engine_text.js';
import {StandinOptions, StandinServer} from './standin_server.js';

const CHARS_PER_TOKEN = 4;
const DISK_BYTES_PER_SECOND = 40 * 1024 ** 3;

/** Options of an {@link EngineStandin}. */
export interface EngineOptions extends StandinOptions {
  name: string;
  memoryBytes: number;
  slots?: number;
  /** Whether the engine refuses orders with an old fencing number. */
  fencing?: boolean;
  /** Base URL of the weight store. */
  weightStore: string;
  /** @returns the size of a version's weights in bytes. */
  weightBytesOf: (version: string) => number;
  /** @returns the size of an adapter in bytes. */
  adapterBytesOf: (adapter: string) => number;
  /** Time from a request to its first token, in milliseconds. */
  firstTokenMs?: number;
  /** Time between tokens, in milliseconds. */
  tokenGapMs?: number;
  /** Delay until a load change shows in reports, in milliseconds. */
  reportLagMs?: number;
}

/** Silence of a whole engine that goes on afterwards. */
export interface EngineSilence {
  /** Before the response head, the token with this offset, or the end event. */
  before: 'head' | 'end' | number;
  /** In milliseconds. */
  durationMs: number;
}

/** Model engine with continuous batching that generates predictable text. */
export class EngineStandin extends StandinServer {
  /** Every generation that was started, in order. */
  readonly runs: EngineRun[] = [];
  /** Executed orders, in order. */
  readonly orders: ExecutedOrder[] = [];
  /** Number of orders that were refused for an old fencing number. */
  fencedOrders = 0;
  /** Whether the engine reports that it is about to be removed. */
  leaving = false;
  /**
   * Silence that begins when a generation first comes to its point. Meanwhile
   * the engine accepts connections, but does no work and sends nothing.
   */
  nextSilence: EngineSilence | undefined;
  readonly memory: EngineMemory;
  private silence: Promise<void> = Promise.resolve();
  private role = 'any';
  private highestFencing = -1;
  private running = 0;
  private queued = 0;
  private readonly slotWaiters: Array<() => void> = [];
  private readonly orderResults = new Map<
    string,
    Promise<string | undefined>
  >();
  private readonly runsById = new Map<string, EngineRun>();
  private readonly connections = new Map<string, AbortController>();
  private readonly cacheEvents = new CacheEvents();
  private readonly loadReports: LoadReports;

  constructor(private readonly options: EngineOptions) {
    super(options);
    this.memory = new EngineMemory(options.memoryBytes);
    this.loadReports = new LoadReports(this.clock, options.reportLagMs);
    this.app.use('*', async (unused, next) => {
      await this.silence;
      await next();
    });
    this.app.post('/generate', c => this.generate(c));
    this.app.post('/cancel', c => this.cancel(c));
    this.app.post('/orders', c => this.handleOrder(c));
    this.app.get('/inventory', c => c.json(this.inventory()));
    this.app.get('/report', c => {
      return c.json({...this.loadReports.latest(), leaving: this.leaving});
    });
    this.app.get('/cache-events', c => {
      const after = Number(c.req.query('after') ?? 0);
      return c.json(this.cacheEvents.after(after));
    });
    this.app.post('/kv/export', c => this.exportKv(c));
    this.app.post('/kv/import', c => this.importKv(c));
  }

  private get slots(): number {
    return this.options.slots ?? 8;
  }

  private async generate(c: Context): Promise<Response> {
    const parsed = generateSchema.safeParse(await c.req.json());
    if (!parsed.success) return notRun(c, 400, 'malformed request');
    const body = parsed.data;
    await this.waitAt('head');
    const resumedRun = body.resume
      ? this.runsById.get(body.request_id)
      : undefined;
    const version = resumedRun?.version ?? body.version;
    const resident = this.memory.get(body.model, version);
    if (resident?.state !== 'ready') {
      return notRun(c, 409, `model "${body.model}" is not loaded`);
    }
    if (body.adapter !== undefined && !resident.adapters.has(body.adapter)) {
      return notRun(c, 409, `adapter "${body.adapter}" is not loaded`);
    }
    const run = body.resume
      ? this.resumeRun(body)
      : this.startRun(c, body, resident);
    if (run === undefined) return notRun(c, 404, 'no such run');
    return this.stream(c, body, run, resident);
  }

  private startRun(
    c: Context,
    body: GenerateBody,
    {version}: Resident,
  ): EngineRun {
    const run: EngineRun = {
      requestId: body.request_id,
      model: body.model,
      version,
      adapter: body.adapter,
      text: inputText(body),
      headers: c.req.header(),
      tokens: 0,
      startedMs: this.clock.now(),
      tokenTimesMs: [],
      resumes: 0,
      state: 'running',
    };
    this.runs.push(run);
    this.runsById.set(run.requestId, run);
    return run;
  }

  private resumeRun(body: GenerateBody): EngineRun | undefined {
    const run = this.runsById.get(body.request_id);
    if (run === undefined || run.state === 'cancelled') return undefined;
    if (body.resume_from > run.tokens) return undefined;
    run.resumes += 1;
    return run;
  }

  private stream(
    c: Context,
    body: GenerateBody,
    run: EngineRun,
    resident: Resident,
  ): Response {
    // A new connection takes over the run and closes the previous connection.
    this.connections.get(run.requestId)?.abort();
    const connectionController = new AbortController();
    this.connections.set(run.requestId, connectionController);
    return streamSSE(c, async sse => {
      sse.onAbort(() => connectionController.abort());
      await this.takeSlot(connectionController.signal);
      if (run.state === 'detached') run.state = 'running';
      resident.running += 1;
      try {
        const write = async (event: object) => {
          const requestId = this.faults.crossAnswers
            ? `${body.request_id}-other`
            : body.request_id;
          await sse.writeSSE({
            data: JSON.stringify({request_id: requestId, event}),
          });
        };
        await this.generateTokens(
          body,
          run,
          connectionController.signal,
          write,
        );
      } finally {
        resident.running -= 1;
        this.releaseSlot();
        const isCurrent =
          this.connections.get(run.requestId) === connectionController;
        if (isCurrent) this.connections.delete(run.requestId);
        if (isCurrent && run.state === 'running') run.state = 'detached';
      }
    });
  }

  private async generateTokens(
    body: GenerateBody,
    run: EngineRun,
    connectionSignal: AbortSignal,
    write: (event: object) => Promise<void>,
  ): Promise<void> {
    const {firstTokenMs = 5, tokenGapMs = 2} = this.options;
    const text = inputText(body);
    this.cacheEvents.recordPrefix(text);
    await this.clock.sleep(firstTokenMs, connectionSignal);
    for (let offset = body.resume_from; offset < body.max_tokens; offset++) {
      await this.waitAt(offset);
      if (connectionSignal.aborted || run.state === 'cancelled') return;
      if (offset >= run.tokens) run.tokenTimesMs.push(this.clock.now());
      run.tokens = Math.max(run.tokens, offset + 1);
      const token = expectedToken(text, offset);
      await write({type: 'token', offset, text: token});
      if (tokenGapMs > 0) await this.clock.sleep(tokenGapMs, connectionSignal);
    }
    await this.waitAt('end');
    if (connectionSignal.aborted || run.state === 'cancelled') return;
    run.state = 'done';
    await write({
      type: 'end',
      finishReason: 'length',
      promptTokens: Math.max(1, Math.ceil(text.length / CHARS_PER_TOKEN)),
      completionTokens: body.max_tokens,
    });
  }

  /** Begins the next silence at its point, and waits for the current one. */
  private waitAt(point: EngineSilence['before']): Promise<void> {
    const {nextSilence} = this;
    if (nextSilence?.before === point) {
      this.nextSilence = undefined;
      this.silence = this.clock.sleep(nextSilence.durationMs);
    }
    return this.silence;
  }

  private async takeSlot(closeSignal: AbortSignal): Promise<void> {
    if (this.running >= this.slots) {
      this.queued += 1;
      await new Promise<void>(resolve => {
        this.slotWaiters.push(resolve);
        closeSignal.addEventListener('abort', () => resolve());
      });
      this.queued -= 1;
    }
    this.running += 1;
    this.loadReports.record(this.running, this.queued);
  }

  private releaseSlot(): void {
    this.running -= 1;
    this.slotWaiters.shift()?.();
    this.loadReports.record(this.running, this.queued);
  }

  private async cancel(c: Context): Promise<Response> {
    const {request_id: id} = (await c.req.json()) as {request_id: string};
    const run = this.runsById.get(id);
    if (run !== undefined && run.state !== 'done') run.state = 'cancelled';
    this.connections.get(id)?.abort();
    return c.json({generated: run?.tokens ?? 0});
  }

  private async handleOrder(c: Context): Promise<Response> {
    const parsed = orderSchema.safeParse(await c.req.json());
    if (!parsed.success) return c.json({message: 'malformed order'}, 400);
    const {id, fencing, order} = parsed.data;
    const checksFencing = this.options.fencing ?? true;
    if (checksFencing && fencing < this.highestFencing) {
      this.fencedOrders += 1;
      return c.json({message: `fencing number ${fencing} is old`}, 412);
    }
    this.highestFencing = Math.max(this.highestFencing, fencing);
    const orderResult =
      this.orderResults.get(id) ?? this.executeOrder(id, order, fencing);
    this.orderResults.set(id, orderResult);
    const problem = await orderResult;
    if (problem === undefined) return c.json({});
    return c.json({message: problem, not_run: true}, 409);
  }

  private async executeOrder(
    id: string,
    order: EngineOrder,
    fencing: number,
  ): Promise<string | undefined> {
    this.orders.push({id, fencing, order});
    switch (order.kind) {
      case 'load':
        return this.loadModel(order.model, order.version);
      case 'evict':
        return this.evict(order.model, order.version);
      case 'load-adapter':
        return this.loadAdapter(order.model, order.adapter);
      case 'evict-adapter':
        this.memory.get(order.model)?.adapters.delete(order.adapter);
        return undefined;
      case 'set-role':
        this.role = order.role;
        return undefined;
      case 'noop':
        return undefined;
    }
  }

  private async loadModel(
    model: string,
    version: string,
  ): Promise<string | undefined> {
    if (this.memory.get(model, version) !== undefined) return undefined;
    const bytes = this.options.weightBytesOf(version);
    if (!this.memory.reserve(bytes)) return 'not enough memory';
    const resident: Resident = {
      model,
      version,
      bytes,
      state: 'loading',
      adapters: new Map(),
      running: 0,
    };
    this.memory.add(resident);
    const problem = await this.fetchWeights(version, bytes);
    if (problem !== undefined) {
      this.memory.remove(resident);
      return problem;
    }
    this.memory.addCheckpoint(version);
    resident.state = 'ready';
    return undefined;
  }

  private async fetchWeights(
    version: string,
    bytes: number,
  ): Promise<string | undefined> {
    if (this.memory.hasCheckpoint(version)) {
      await this.clock.sleep((bytes / DISK_BYTES_PER_SECOND) * 1_000);
      return undefined;
    }
    const url = `${this.options.weightStore}/weights/${version}?bytes=${bytes}`;
    try {
      const res = await request(url, {method: 'POST', headersTimeout: 0});
      await res.body.dump();
      if (res.statusCode === 200) return undefined;
      return `the weight store answered ${res.statusCode}`;
    } catch (error) {
      return `the weight store: ${(error as Error).message}`;
    }
  }

  private evict(model: string, version: string): string | undefined {
    const resident = this.memory.get(model, version);
    if (resident === undefined) return undefined;
    if (resident.running > 0) return 'requests are running';
    this.memory.remove(resident);
    return undefined;
  }

  private async loadAdapter(
    model: string,
    adapter: string,
  ): Promise<string | undefined> {
    const resident = this.memory.get(model);
    if (resident?.state !== 'ready') return `model "${model}" is not loaded`;
    if (resident.adapters.has(adapter)) return undefined;
    const bytes = this.options.adapterBytesOf(adapter);
    if (!this.memory.reserve(bytes)) return 'not enough memory';
    await this.clock.sleep(5);
    resident.adapters.set(adapter, bytes);
    return undefined;
  }

  private inventory() {
    return {
      target: this.options.name,
      memoryBytes: this.memory.totalBytes,
      usedBytes: this.memory.usedBytes,
      slots: this.slots,
      running: this.running,
      highestFencing: this.highestFencing,
      leaving: this.leaving,
      role: this.role,
      ...this.memory.inventory(),
    };
  }

  private async exportKv(c: Context): Promise<Response> {
    const {request_id: id} = (await c.req.json()) as {request_id: string};
    const run = this.runsById.get(id);
    if (run === undefined) return notRun(c, 404, 'no such request');
    return c.json({kv: `${id}:${run.tokens}`});
  }

  private async importKv(c: Context): Promise<Response> {
    const {request_id: id, kv} = (await c.req.json()) as {
      request_id: string;
      kv: string;
    };
    this.runsById.set(id, {
      requestId: id,
      model: '',
      version: '',
      adapter: undefined,
      text: '',
      headers: {},
      tokens: Number(kv.split(':')[1]),
      startedMs: this.clock.now(),
      tokenTimesMs: [],
      resumes: 0,
      state: 'detached',
    });
    return c.json({});
  }
}

function notRun(c: Context, status: 400 | 404 | 409, message: string) {
  return c.json({message, not_run: true}, status);
}
