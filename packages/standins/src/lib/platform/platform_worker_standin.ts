/** Fake worker of the users' platform. @packageDocumentation */

import {AddressInfo, Socket} from 'node:net';
import {IncomingMessage, Server, ServerResponse, createServer} from 'node:http';

const PREFIX = 'x-fuchsiacleat-';
const EVENT_COUNT = 4;

/** Faults that a worker can inject into the response to one request. */
export const ODD_ANSWER = {
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

/** One of {@link ODD_ANSWER}. */
export type OddAnswer = (typeof ODD_ANSWER)[keyof typeof ODD_ANSWER];

/** `retry-after` value of {@link ODD_ANSWER.refuseFor}, in seconds. */
export const NAMED_SECONDS = 1.5;

/** Delay of the second copy of {@link ODD_ANSWER.twice}, in milliseconds. */
const SECOND_COPY_MS = 30;

/** Start of each endless response and the unit that it repeats. */
const FLOODS: Partial<Record<OddAnswer, {start: string; unit: string}>> = {
  [ODD_ANSWER.endlessRefusal]: {
    start:
      `HTTP/1.1 503 Busy\r\n${PREFIX}not-executed: 1\r\n` +
      'transfer-encoding: chunked\r\n\r\n',
    unit: `400\r\n${'x'.repeat(1_024)}\r\n`,
  },
  [ODD_ANSWER.endlessHead]: {
    start: 'HTTP/1.1 200 OK\r\n',
    unit: `x-more: ${'x'.repeat(1_000)}\r\n`,
  },
  [ODD_ANSWER.endlessInterim]: {
    start: '',
    unit: 'HTTP/1.1 102 Processing\r\n\r\n'.repeat(32),
  },
  [ODD_ANSWER.endlessExtension]: {
    start: 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5;x=',
    unit: 'x'.repeat(1_024),
  },
  [ODD_ANSWER.endlessTrailer]: {
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
  atMs: number;
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
  readonly odd: OddAnswer[] = [];
  /** Duration of each request, in milliseconds. */
  workMs = 0;
  /** Whether each response announces that the worker is leaving. */
  saysLeaving = false;
  /** Times at which a `retry-after` header was sent, in milliseconds. */
  readonly namedTimeMs: number[] = [];
  /** Arrival times of requests, orders and report calls, in milliseconds. */
  readonly arrivalsMs: number[] = [];
  /** Number of bytes sent in endless responses. */
  floodBytes = 0;
  private orderCount = 0;
  private readonly models: Set<string>;
  private readonly startedMs = Date.now();
  private readonly server: Server;
  private readonly sockets = new Set<Socket>();
  private address = '';

  /** @param options - see {@link WorkerOptions}. */
  constructor(private readonly options: WorkerOptions) {
    this.models = new Set(options.models ?? []);
    this.server = createServer((req, res) => void this.take(req, res));
    this.server.on('connection', socket => {
      this.sockets.add(socket);
      socket.on('close', () => this.sockets.delete(socket));
    });
  }

  /** Returns the registration that the worker writes to the store. */
  entry(state = 'ready'): object {
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
    for (const socket of this.sockets) socket.destroy();
    await new Promise(resolve => this.server.close(resolve));
  }

  private async take(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const chunks: Buffer[] = [];
    for await (const chunk of req) chunks.push(chunk as Buffer);
    const body = Buffer.concat(chunks).toString();
    this.arrivalsMs.push(performance.now());
    if (this.saysLeaving) res.setHeader('server-leaving', '1');
    const expected = req.headers[`${PREFIX}expect-instance`];
    if (expected !== undefined && expected !== this.options.id) {
      res.setHeader(`${PREFIX}instance-id`, this.options.id);
      res.writeHead(421).end();
    } else if (req.url === '/report') this.report(res);
    else if (req.url === '/order') this.obey(JSON.parse(body), res);
    else this.work(req, res, body);
  }

  private report(res: ServerResponse): void {
    const {Models, Seq} = this.entry() as {Models: object; Seq: number};
    res.setHeader('content-type', 'application/json');
    res.end(JSON.stringify({Stage: 'both', Models, Busy: false, Seq}));
  }

  private obey(
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

  private work(req: IncomingMessage, res: ServerResponse, body: string): void {
    const id = String(req.headers[`${PREFIX}attempt-id`] ?? '');
    const odd = this.odd.shift();
    const model = req.headers[`${PREFIX}model`];
    const isAbsent = typeof model === 'string' && !this.models.has(model);
    if (isAbsent) {
      res.writeHead(421).end();
      return;
    }
    if (odd === ODD_ANSWER.refuse) {
      res.setHeader(`${PREFIX}not-executed`, '1');
      res.writeHead(503).end();
      return;
    }
    if (odd === ODD_ANSWER.refuseFor) {
      this.namedTimeMs.push(performance.now());
      res.setHeader(`${PREFIX}not-executed`, '1');
      res.setHeader('retry-after', String(NAMED_SECONDS));
      res.writeHead(503).end();
      return;
    }
    const flood = odd && FLOODS[odd];
    if (flood !== undefined) {
      const isRun = odd !== ODD_ANSWER.endlessRefusal;
      if (isRun) this.noteRun(req, id, body);
      this.flood(res.socket!, flood, id);
      return;
    }
    this.noteRun(req, id, body);
    setTimeout(
      () => this.answer(res, id, odd, model !== undefined),
      this.workMs,
    );
  }

  private noteRun(req: IncomingMessage, id: string, body: string): void {
    const {method = '', url: path = '', headers} = req;
    const atMs = performance.now();
    this.runs.push({id, method, path, body, headers, atMs});
  }

  /** Sends an endless response until the peer closes the connection. */
  private flood(
    socket: Socket,
    {start, unit}: {start: string; unit: string},
    id: string,
  ): void {
    const stamp = `${PREFIX}server-stamp: s\r\n${PREFIX}attempt-id: ${id}\r\n`;
    socket.write(start.replace('\r\n', `\r\n${stamp}`));
    const more = () => {
      if (socket.destroyed) return;
      this.floodBytes += unit.length;
      socket.write(unit, () => setImmediate(more));
    };
    more();
  }

  private answer(
    res: ServerResponse,
    id: string,
    odd: OddAnswer | undefined,
    isStream: boolean,
  ): void {
    if (odd === ODD_ANSWER.mute || res.destroyed) return;
    if (odd === ODD_ANSWER.lose) {
      res.socket?.destroy();
      return;
    }
    const echoed = odd === ODD_ANSWER.otherId ? 'another' : id;
    res.setHeader(`${PREFIX}attempt-id`, echoed);
    if (odd !== ODD_ANSWER.unsigned) {
      res.setHeader(`${PREFIX}server-stamp`, `${this.options.id}.stamp`);
    }
    const text = isStream ? events(EVENT_COUNT) : `done ${id}`;
    const half = text.slice(0, text.length / 2);
    if (odd === ODD_ANSWER.unframed || odd === ODD_ANSWER.unframedShort) {
      res.useChunkedEncodingByDefault = false;
      res.shouldKeepAlive = false;
      res.writeHead(200).end(odd === ODD_ANSWER.unframed ? text : half);
      return;
    }
    res.writeHead(200, {'content-length': Buffer.byteLength(text)});
    if (odd === ODD_ANSWER.cut) {
      res.write(half, () => res.socket?.destroy());
      return;
    }
    const {socket} = res;
    res.end(text);
    if (odd !== ODD_ANSWER.twice || socket === null) return;
    const copy =
      `HTTP/1.1 200 OK\r\n${PREFIX}attempt-id: ${id}\r\n` +
      `${PREFIX}server-stamp: s\r\ncontent-length: ${text.length}\r\n\r\n` +
      text;
    setTimeout(() => socket.write(copy), SECOND_COPY_MS);
  }
}

/** @returns an event stream with ids from 1. */
function events(count: number): string {
  let text = '';
  for (let id = 1; id <= count; id++) text += `id: ${id}\ndata: piece\n\n`;
  return text;
}

function toModelEntry(name: string): object {
  return {Name: name, Version: 1, Adapters: []};
}
