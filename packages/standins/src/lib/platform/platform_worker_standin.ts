/** Fake worker of the users' platform. @packageDocumentation */

import {AddressInfo, Socket} from 'node:net';
import {IncomingMessage, Server, ServerResponse, createServer} from 'node:http';

const HEADER_PREFIX = 'x-fuchsiacleat-';
const EVENT_COUNT = 4;

/** Fraction of a body before a cut; within an event of a stream. */
const CUT_FRACTION = 0.55;

/** Time from the head of an answer to the crash, in milliseconds. */
const CRASH_DELAY_MS = 5;

/** Time after a crash until the worker listens again, in milliseconds. */
const CRASH_DOWN_MS = 400;

/** Faults that a worker can inject into the response to one request. */
export const FAULTY_ANSWER = {
  /** Refuses the request as not run. */
  refuse: 'refuse',
  /** Runs the request and closes the connection without a response. */
  lose: 'lose',
  /** Runs the request and never responds. */
  mute: 'mute',
  /** Closes the connection halfway through the response body. */
  cut: 'cut',
  /** Sends no content length; the end of the connection ends the response. */
  unframed: 'unframed',
  /** Sends no content length and closes the connection after half the body. */
  unframedShort: 'unframed-short',
  /** Responds with the id of another request. */
  otherId: 'other-id',
  /** Responds without the server's stamp, as an unrelated process would. */
  unsigned: 'unsigned',
  /** Refuses the request as not run, with a `retry-after` header. */
  refuseFor: 'refuse-for',
  /** Responds, then sends a second copy on the same connection. */
  twice: 'twice',
  /** Refuses the request as not run, with a body that never ends. */
  endlessRefusal: 'endless-refusal',
  /** Sends a response head that never ends. */
  endlessHead: 'endless-head',
  /** Sends interim (1xx) responses without end. */
  endlessInterim: 'endless-interim',
  /** Sends a chunk whose extension never ends. */
  endlessExtension: 'endless-extension',
  /** Sends trailers without end. */
  endlessTrailer: 'endless-trailer',
} as const;

/** One of {@link FAULTY_ANSWER}. */
export type FaultyAnswer = (typeof FAULTY_ANSWER)[keyof typeof FAULTY_ANSWER];

/** `retry-after` value of {@link FAULTY_ANSWER.refuseFor}, in seconds. */
export const RETRY_AFTER_S = 1.5;

/** Delay of the second copy of {@link FAULTY_ANSWER.twice}, in milliseconds. */
const DUPLICATE_DELAY_MS = 30;

/** Start of each endless response and the unit that it repeats. */
const ENDLESS_ANSWERS: Partial<
  Record<FaultyAnswer, {start: string; unit: string}>
> = {
  [FAULTY_ANSWER.endlessRefusal]: {
    start:
      `HTTP/1.1 503 Busy\r\n${HEADER_PREFIX}not-executed: 1\r\n` +
      'transfer-encoding: chunked\r\n\r\n',
    unit: `400\r\n${'x'.repeat(1_024)}\r\n`,
  },
  [FAULTY_ANSWER.endlessHead]: {
    start: 'HTTP/1.1 200 OK\r\n',
    unit: `x-more: ${'x'.repeat(1_000)}\r\n`,
  },
  [FAULTY_ANSWER.endlessInterim]: {
    start: '',
    unit: 'HTTP/1.1 102 Processing\r\n\r\n'.repeat(32),
  },
  [FAULTY_ANSWER.endlessExtension]: {
    start: 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5;x=',
    unit: 'x'.repeat(1_024),
  },
  [FAULTY_ANSWER.endlessTrailer]: {
    start:
      'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n' +
      '2\r\nok\r\n0\r\n',
    unit: `x-more: ${'x'.repeat(1_000)}\r\n`,
  },
};

/** Request that a worker started to run. */
export interface WorkerRun {
  id: string;
  method: string;
  path: string;
  body: string;
  headers: IncomingMessage['headers'];
  /** Start on the monotonic clock of this process, in milliseconds. */
  startedMs: number;
}

/** Order that a worker accepted. */
export interface AcceptedOrder {
  text: string;
  /** Lease holder that the order names as its sender. */
  holder: string;
  atMs: number;
}

/** Options of a {@link PlatformWorkerStandin}. */
export interface WorkerOptions {
  id: string;
  service: string;
  zone: string;
  /** Models that are loaded at the start; undefined for a plain service. */
  models?: string[];
}

/** Worker that is a plain service or a model engine that accepts orders. */
export class PlatformWorkerStandin {
  /** Requests that were run, in order. */
  readonly runs: WorkerRun[] = [];
  /** Accepted orders as "verb model". */
  readonly orders: string[] = [];
  /** Accepted orders with their senders and times. */
  readonly orderLog: AcceptedOrder[] = [];
  /** Faults of the next responses; each request uses up the first one. */
  readonly faultyAnswers: FaultyAnswer[] = [];
  /** Duration of each request, in milliseconds. */
  workMs = 0;
  /** Whether each response announces that the worker is leaving. */
  isLeaving = false;
  /**
   * Requests per second that the worker names as its limit in its answers to
   * requests; undefined for none.
   */
  requestsPerSecond: number | undefined;
  /** Arrival times of requests only, in milliseconds. */
  readonly requestArrivalsMs: number[] = [];
  /** Times at which a `retry-after` header was sent, in milliseconds. */
  readonly retryAfterSentMs: number[] = [];
  /** Arrival times of requests, orders and report calls, in milliseconds. */
  readonly arrivalsMs: number[] = [];
  /** Number of bytes sent in endless responses. */
  floodBytes = 0;
  /**
   * Id of a prompt part on which the worker crashes as soon as it begins to
   * write an answer.
   */
  crashingPart: string | undefined;
  /** Times of the crashes, in milliseconds. */
  readonly crashesMs: number[] = [];
  /** Called when the worker is back after a crash, with a new process. */
  onRestart: () => void = () => {};
  private orderCount = 0;
  private models: Set<string>;
  private startedMs = Date.now();
  private isStopped = false;
  private readonly server: Server;
  private readonly sockets = new Set<Socket>();
  private address = '';

  /** @param options - see {@link WorkerOptions}. */
  constructor(private readonly options: WorkerOptions) {
    this.models = new Set(options.models ?? []);
    this.server = createServer((req, res) => void this.handle(req, res));
    this.server.on('connection', socket => {
      this.sockets.add(socket);
      socket.on('close', () => this.sockets.delete(socket));
    });
  }

  /** Returns the registration that the worker writes to the store. */
  registration(state = 'ready'): object {
    return {
      Service: this.options.service,
      Addr: this.address,
      Zone: this.options.zone,
      Version: 'v1',
      Slots: 8,
      State: state,
      ColdLeftMs: 0,
      Seq: this.orderCount,
      Models: [...this.models].map(toModelEntry),
      born: this.startedMs,
    };
  }

  /** Port on loopback, once started. */
  get port(): number {
    return (this.server.address() as AddressInfo).port;
  }

  /** Starts to listen on a free port. */
  async start(): Promise<void> {
    await new Promise<void>(resolve =>
      this.server.listen(0, '127.0.0.1', resolve),
    );
    const {port} = this.server.address() as AddressInfo;
    this.address = `127.0.0.1:${port}`;
  }

  /** Stops immediately and closes every connection. */
  async stop(): Promise<void> {
    this.isStopped = true;
    await this.close();
  }

  /** Resets every connection; another process is back some time later. */
  async crash(): Promise<void> {
    if (!this.server.listening) return;
    const {port} = this;
    this.crashesMs.push(performance.now());
    await this.close();
    setTimeout(() => {
      if (this.isStopped) return;
      this.startedMs = Date.now();
      this.orderCount = 0;
      this.models = new Set(this.options.models ?? []);
      this.server.listen(port, '127.0.0.1', () => this.onRestart());
    }, CRASH_DOWN_MS);
  }

  private async close(): Promise<void> {
    for (const socket of this.sockets) socket.resetAndDestroy();
    await new Promise(resolve => this.server.close(resolve));
  }

  private async handle(
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<void> {
    const chunks: Buffer[] = [];
    for await (const chunk of req) chunks.push(chunk as Buffer);
    const body = Buffer.concat(chunks).toString();
    this.arrivalsMs.push(performance.now());
    if (this.isLeaving) res.setHeader('server-leaving', '1');
    const expected = req.headers[`${HEADER_PREFIX}expect-instance`];
    if (expected !== undefined && expected !== this.options.id) {
      res.setHeader(`${HEADER_PREFIX}instance-id`, this.options.id);
      res.writeHead(421).end();
    } else if (req.url === '/report') this.report(res);
    else if (req.url === '/order') this.executeOrder(JSON.parse(body), res);
    else this.runRequest(req, res, body);
  }

  private report(res: ServerResponse): void {
    const {Models, Seq} = this.registration() as {Models: object; Seq: number};
    res.setHeader('content-type', 'application/json');
    res.end(JSON.stringify({Stage: 'both', Models, Busy: false, Seq}));
  }

  private executeOrder(
    order: {Op: string; Model: string; Holder?: string; Precondition?: number},
    res: ServerResponse,
  ): void {
    const isStale =
      order.Precondition !== undefined &&
      order.Precondition !== this.orderCount;
    if (isStale) {
      res.writeHead(409).end();
      return;
    }
    this.orderCount += 1;
    const text = `${order.Op} ${order.Model}`;
    this.orders.push(text);
    const holder = order.Holder ?? '';
    this.orderLog.push({text, holder, atMs: performance.now()});
    if (order.Op === 'load') this.models.add(order.Model);
    else this.models.delete(order.Model);
    res.writeHead(202).end();
  }

  private runRequest(
    req: IncomingMessage,
    res: ServerResponse,
    body: string,
  ): void {
    this.requestArrivalsMs.push(performance.now());
    if (this.requestsPerSecond !== undefined)
      res.setHeader('server-limit', String(this.requestsPerSecond));
    const id = String(req.headers[`${HEADER_PREFIX}attempt-id`] ?? '');
    const fault = this.faultyAnswers.shift();
    const model = req.headers[`${HEADER_PREFIX}model`];
    const isAbsent = typeof model === 'string' && !this.models.has(model);
    if (isAbsent) {
      res.writeHead(421).end();
      return;
    }
    if (fault === FAULTY_ANSWER.refuse) {
      res.setHeader(`${HEADER_PREFIX}not-executed`, '1');
      res.writeHead(503).end();
      return;
    }
    if (fault === FAULTY_ANSWER.refuseFor) {
      this.retryAfterSentMs.push(performance.now());
      res.setHeader(`${HEADER_PREFIX}not-executed`, '1');
      res.setHeader('retry-after', String(RETRY_AFTER_S));
      res.writeHead(503).end();
      return;
    }
    const endlessAnswer = fault && ENDLESS_ANSWERS[fault];
    if (endlessAnswer !== undefined) {
      const isRun = fault !== FAULTY_ANSWER.endlessRefusal;
      if (isRun) this.recordRun(req, id, body);
      this.sendEndless(res.socket!, endlessAnswer, id);
      return;
    }
    this.recordRun(req, id, body);
    setTimeout(() => {
      if (this.holdsCrashingPart(req)) this.beginAnswerAndCrash(res, id);
      else this.sendAnswer(res, id, fault, model !== undefined);
    }, this.workMs);
  }

  private recordRun(req: IncomingMessage, id: string, body: string): void {
    const {method = '', url: path = '', headers} = req;
    const atMs = performance.now();
    this.runs.push({id, method, path, body, headers, startedMs: atMs});
  }

  /** Sends an endless response until the peer closes the connection. */
  private sendEndless(
    socket: Socket,
    {start, unit}: {start: string; unit: string},
    id: string,
  ): void {
    const stamp = `${HEADER_PREFIX}server-stamp: s\r\n${HEADER_PREFIX}attempt-id: ${id}\r\n`;
    socket.write(start.replace('\r\n', `\r\n${stamp}`));
    const sendUnit = () => {
      if (socket.destroyed) return;
      this.floodBytes += unit.length;
      socket.write(unit, () => setImmediate(sendUnit));
    };
    sendUnit();
  }

  private beginAnswerAndCrash(res: ServerResponse, id: string): void {
    res.setHeader(`${HEADER_PREFIX}attempt-id`, id);
    res.setHeader(`${HEADER_PREFIX}server-stamp`, `${this.options.id}.stamp`);
    res.writeHead(200).flushHeaders();
    setTimeout(() => void this.crash(), CRASH_DELAY_MS);
  }

  private holdsCrashingPart(req: IncomingMessage): boolean {
    const parts = req.headers[`${HEADER_PREFIX}prompt-prefix`];
    if (this.crashingPart === undefined || typeof parts !== 'string')
      return false;
    return parts
      .split(',')
      .some(part => part.split(':')[0] === this.crashingPart);
  }

  private sendAnswer(
    res: ServerResponse,
    id: string,
    injectedFault: FaultyAnswer | undefined,
    isStream: boolean,
  ): void {
    if (injectedFault === FAULTY_ANSWER.mute || res.destroyed) return;
    if (injectedFault === FAULTY_ANSWER.lose) {
      res.socket?.destroy();
      return;
    }
    const echoed = injectedFault === FAULTY_ANSWER.otherId ? 'another' : id;
    res.setHeader(`${HEADER_PREFIX}attempt-id`, echoed);
    if (injectedFault !== FAULTY_ANSWER.unsigned) {
      res.setHeader(`${HEADER_PREFIX}server-stamp`, `${this.options.id}.stamp`);
    }
    const text = isStream ? formatEvents(EVENT_COUNT) : `done ${id}`;
    if (isStream) res.setHeader('content-type', 'text/event-stream');
    const half = text.slice(0, text.length * CUT_FRACTION);
    if (
      injectedFault === FAULTY_ANSWER.unframed ||
      injectedFault === FAULTY_ANSWER.unframedShort
    ) {
      res.useChunkedEncodingByDefault = false;
      res.shouldKeepAlive = false;
      res
        .writeHead(200)
        .end(injectedFault === FAULTY_ANSWER.unframed ? text : half);
      return;
    }
    res.writeHead(200, {'content-length': Buffer.byteLength(text)});
    if (injectedFault === FAULTY_ANSWER.cut) {
      res.write(half, () => res.socket?.destroy());
      return;
    }
    const {socket} = res;
    res.end(text);
    if (injectedFault !== FAULTY_ANSWER.twice || socket === null) return;
    const copy =
      `HTTP/1.1 200 OK\r\n${HEADER_PREFIX}attempt-id: ${id}\r\n` +
      `${HEADER_PREFIX}server-stamp: s\r\ncontent-length: ${text.length}\r\n\r\n` +
      text;
    setTimeout(() => socket.write(copy), DUPLICATE_DELAY_MS);
  }
}

/** @returns an event stream with ids from 1. */
function formatEvents(count: number): string {
  let text = '';
  for (let id = 1; id <= count; id++) text += `id: ${id}\ndata: piece\n\n`;
  return text;
}

function toModelEntry(name: string): object {
  return {Name: name, Version: 1, Adapters: []};
}
