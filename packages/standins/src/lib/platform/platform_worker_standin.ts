/** Fake worker of the users' platform. @packageDocumentation */

import {once} from 'node:events';
import {AddressInfo, Socket} from 'node:net';
import {IncomingMessage, Server, ServerResponse, createServer} from 'node:http';
import {
  ENDLESS_ANSWERS,
  FAULTY_ANSWER,
  FaultyAnswer,
  RETRY_AFTER_S,
} from './faulty_answers.js';
import {OrderCall, WorkerOrder, toOrderCall} from './order_call.js';
import {RunningRequest, numberOf, toRunningRequest} from './running_request.js';
import {CopyTime, SecondCopies} from './second_copies.js';
import {
  AnswerProgress,
  PlannedSilence,
  WorkerAnswer,
  WorkerAnswers,
  WorkerFraming,
} from './worker_answers.js';
import {WorkerOutput} from './worker_output.js';

const LOOPBACK = '127.0.0.1';
const HEADER_PREFIX = 'x-fuchsiacleat-';
/** Number of events of a stream by default. */
const EVENT_COUNT = 4;

/**
 * Size of a large answer, in bytes. Hosts have passed a part of it on where
 * {@link FAULTY_ANSWER.cut} breaks it off.
 */
export const LARGE_BYTES = 600_000;

/** Time from the head of an answer to the crash, in milliseconds. */
const CRASH_DELAY_MS = 5;

/** Time after a crash until the worker listens again, in milliseconds. */
const CRASH_DOWN_MS = 400;

/** Request that a worker started to run. */
export interface WorkerRun {
  id: string;
  method: string;
  path: string;
  body: string;
  headers: IncomingMessage['headers'];
  /** Start on the monotonic clock of this process, in milliseconds. */
  startedMs: number;
  /** Fault of the response; undefined for none. */
  fault: FaultyAnswer | undefined;
  /** How far the worker has written the response; not kept of endless ones. */
  progress: AnswerProgress;
}

/** Options of a {@link PlatformWorkerStandin}. */
export interface WorkerOptions {
  id: string;
  service: string;
  zone: string;
  /** Models that are loaded at the start; undefined for a plain service. */
  models?: string[];
}

/** Path that reports the health of a worker. */
const HEALTH_PATH = '/healthz';

/** Worker that is a plain service or a model engine that accepts orders. */
export class PlatformWorkerStandin {
  /** Requests that were run, in order. */
  readonly runs: WorkerRun[] = [];
  /** Accepted orders as "verb model". */
  readonly orders: string[] = [];
  /** Calls that brought an order, in the order of their arrival. */
  readonly orderCalls: OrderCall[] = [];
  /** Faults of the next responses; each request uses up the first one. */
  readonly faultyAnswers: FaultyAnswer[] = [];
  /** Faults by request id; each arrival of a request uses up its first one. */
  readonly plannedFaults = new Map<string, FaultyAnswer[]>();
  /** Chooses the fault of each request that no other fault was planned for. */
  faultOf: (
    headers: IncomingMessage['headers'],
    body: string,
  ) => FaultyAnswer | undefined = () => undefined;
  /** Silences by request id; each arrival of a request uses up its first one. */
  readonly silences = new Map<string, PlannedSilence[]>();
  /** Duration of each request before its response, in milliseconds. */
  workMs = 0;
  /** Number of events of each stream. */
  streamEvents = EVENT_COUNT;
  /** What each event of a stream holds. */
  piece = 'piece';
  /** Chooses what each event of one stream holds; {@link piece} by default. */
  pieceOf: (id: string) => string = () => this.piece;
  /** Chooses how the end of a response is told; by default as its body allows. */
  framingOf: (id: string) => WorkerFraming | undefined = () => undefined;
  /** Number of parts in which each plain response is sent. */
  plainParts = 1;
  /** Called when a request begins to run, before its response. */
  onRun: (run: WorkerRun) => void = () => {};
  /** Called when the response of a request has ended or its connection is gone. */
  onRunEnd: (run: WorkerRun) => void = () => {};
  /** Version of the software, as the worker registers it. */
  softwareVersion = 'v1';
  /** Time between events or parts of responses, in milliseconds; 0 for none. */
  eventGapMs = 0;
  /** Loopback port that the worker registers instead of its own. */
  registeredPort: number | undefined;
  /** Whether each response announces that the worker is leaving. */
  isLeaving = false;
  /**
   * Requests per second that the worker names as its limit in its answers to
   * requests; undefined for none.
   */
  requestsPerSecond: number | undefined;
  /** Time at which the worker is no longer cold, in milliseconds. */
  coldUntilMs = -Infinity;
  /** Arrival times of requests only, in milliseconds. */
  readonly requestArrivalsMs: number[] = [];
  /** Times at which a `retry-after` header was sent, in milliseconds. */
  readonly retryAfterSentMs: number[] = [];
  /** Arrival times of requests, orders and report calls, in milliseconds. */
  readonly arrivalsMs: number[] = [];
  /**
   * Decides for each request, order or report whether its response is sent
   * twice, and when.
   */
  copyTime: (req: IncomingMessage) => CopyTime | undefined = () => undefined;
  /** Sends the second copies. */
  readonly secondCopies = new SecondCopies();
  /** Number of bytes sent in endless responses. */
  floodBytes = 0;
  /**
   * Id of a prompt part on which the worker crashes as soon as it begins to
   * write an answer.
   */
  crashingPart: string | undefined;
  /**
   * Body of a request on which the worker crashes as soon as it begins to run
   * it; an engine has sent the head of its answer by then.
   */
  crashingBody: string | undefined;
  /** Body of the requests whose plain answers are large; undefined for none. */
  largeBody: string | undefined;
  /** Times of the crashes, in milliseconds. */
  readonly crashesMs: number[] = [];
  /** Called when the worker crashes. */
  onCrash: () => void = () => {};
  /** Called when the worker is back after a crash, with a new process. */
  onRestart: () => void = () => {};
  private orderCount = 0;
  private models: Set<string>;
  private startedMs = Date.now();
  private isStopped = false;
  private listenPort = 0;
  private readonly server: Server;
  private readonly sockets = new Set<Socket>();
  private readonly output = new WorkerOutput();
  private readonly answers: WorkerAnswers;
  private readonly running = new Set<RunningRequest>();

  /** @param options - see {@link WorkerOptions}. */
  constructor(private readonly options: WorkerOptions) {
    this.models = new Set(options.models ?? []);
    this.answers = new WorkerAnswers(`${options.id}.stamp`, this.output);
    this.server = createServer((req, res) => void this.handle(req, res));
    this.server.on('connection', socket => {
      this.output.attach(socket);
      this.sockets.add(socket);
      socket.on('close', () => this.sockets.delete(socket));
    });
  }

  /** Returns the registration that the worker writes to the store. */
  registration(state = 'ready'): object {
    return {
      Service: this.options.service,
      Addr: `${LOOPBACK}:${this.registeredPort ?? this.port}`,
      Zone: this.options.zone,
      Version: this.softwareVersion,
      Slots: 8,
      State: state,
      ColdLeftMs: this.coldLeftMs,
      Seq: this.orderCount,
      Models: [...this.models].map(toModelEntry),
      born: this.startedMs,
    };
  }

  /** Time for which the worker says that it stays cold, in milliseconds. */
  get coldLeftMs(): number {
    return Math.max(0, Math.ceil(this.coldUntilMs - performance.now()));
  }

  /** Port on loopback, once started; the same after a crash. */
  get port(): number {
    return this.listenPort;
  }

  /** Number of requests that run. */
  get runningCount(): number {
    return this.running.size;
  }

  /**
   * Starts to listen.
   *
   * @param port - loopback port; a free one by default.
   */
  async start(port = 0): Promise<void> {
    this.server.listen(port, LOOPBACK);
    await once(this.server, 'listening');
    this.listenPort = (this.server.address() as AddressInfo).port;
  }

  /**
   * Falls silent: the worker writes nothing on any connection, makes no events
   * and goes on afterwards where it was. Connections are still accepted.
   *
   * @param forMs - duration in milliseconds.
   */
  silence(forMs: number): void {
    this.output.silence(forMs);
  }

  /**
   * Loses every open connection without a trace: nothing arrives through it any
   * more, in either direction. New connections work.
   */
  loseConnections(): void {
    for (const socket of this.sockets) this.output.lose(socket);
  }

  /** Accepts no connection any more, and ends the responses that it runs. */
  stopListening(): void {
    this.server.close();
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
    this.onCrash();
    await this.close();
    setTimeout(() => {
      if (this.isStopped) return;
      this.startedMs = Date.now();
      this.orderCount = 0;
      this.models = new Set(this.options.models ?? []);
      this.server.listen(port, LOOPBACK, () => this.onRestart());
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
    if (this.output.isLost(req.socket)) return;
    const body = Buffer.concat(chunks).toString();
    this.arrivalsMs.push(performance.now());
    this.secondCopies.sendDue(req.socket);
    const copyTime = this.copyTime(req);
    if (copyTime !== undefined) this.secondCopies.copy(res, copyTime);
    if (this.isLeaving) res.setHeader('server-leaving', '1');
    const expected = req.headers[`${HEADER_PREFIX}expect-instance`];
    if (expected !== undefined && expected !== this.options.id) {
      res.setHeader(`${HEADER_PREFIX}instance-id`, this.options.id);
      res.writeHead(421).end();
    } else if (req.url === '/report') this.report(res);
    else if (req.url === HEALTH_PATH) this.reportHealth(res);
    else if (req.url === '/order') this.executeOrder(JSON.parse(body), res);
    else this.runRequest(req, res, body);
  }

  private report(res: ServerResponse): void {
    const {Models, Seq} = this.registration() as {Models: object; Seq: number};
    res.setHeader('content-type', 'application/json');
    const Runs = [...this.running].map(({answer, priority, promptTokens}) => {
      const {eventsMade, id} = answer;
      return [id, promptTokens + eventsMade, eventsMade, priority];
    });
    const load = {Waiting: 0, Running: Runs.length, Runs};
    res.end(JSON.stringify({Stage: 'both', Models, Busy: false, Seq, ...load}));
  }

  private reportHealth(res: ServerResponse): void {
    res.setHeader(`${HEADER_PREFIX}instance-id`, this.options.id);
    res.setHeader(`${HEADER_PREFIX}cold-ms`, String(this.coldLeftMs));
    res.writeHead(200).end();
  }

  private executeOrder(order: WorkerOrder, res: ServerResponse): void {
    const {Model, Op, Precondition} = order;
    const isAccepted =
      Precondition === undefined || Precondition === this.orderCount;
    const call = toOrderCall(order, isAccepted);
    this.orderCalls.push(call);
    if (!isAccepted) {
      res.writeHead(409).end();
      return;
    }
    this.orderCount += 1;
    this.orders.push(call.text);
    if (Op === 'load') this.models.add(Model);
    else this.models.delete(Model);
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
    const fault =
      this.faultyAnswers.shift() ??
      this.plannedFaults.get(id)?.shift() ??
      this.faultOf(req.headers, body);
    const model = req.headers[`${HEADER_PREFIX}model`];
    const isAbsent = typeof model === 'string' && !this.models.has(model);
    if (isAbsent) {
      res.writeHead(421).end();
      return;
    }
    if (fault === FAULTY_ANSWER.refuse) {
      res.setHeader(`${HEADER_PREFIX}attempt-id`, id);
      res.setHeader(`${HEADER_PREFIX}not-executed`, '1');
      res.writeHead(503).end();
      return;
    }
    if (fault === FAULTY_ANSWER.refuseFor) {
      this.retryAfterSentMs.push(performance.now());
      res.setHeader(`${HEADER_PREFIX}attempt-id`, id);
      res.setHeader(`${HEADER_PREFIX}not-executed`, '1');
      res.setHeader('retry-after', String(RETRY_AFTER_S));
      res.writeHead(503).end();
      return;
    }
    const endlessAnswer = fault && ENDLESS_ANSWERS[fault];
    if (endlessAnswer !== undefined) {
      const isRun = fault !== FAULTY_ANSWER.endlessRefusal;
      if (isRun) this.recordRun(req, id, body, fault);
      this.sendEndless(res.socket!, endlessAnswer, id);
      return;
    }
    const run = this.recordRun(req, id, body, fault);
    const isStream = model !== undefined;
    const answer: WorkerAnswer = {
      id,
      res,
      fault,
      silence: this.silences.get(id)?.shift(),
      framing: this.framingOf(id),
      piece: this.pieceOf(id),
      progress: run.progress,
      bodyBytes: body === this.largeBody ? LARGE_BYTES : undefined,
      parts: this.plainParts,
      events: isStream ? this.streamEvents : undefined,
      gapMs: this.eventGapMs,
      afterEvent: isStream ? numberOf(req.headers['last-event-id'], 0) : 0,
      eventsMade: 0,
    };
    const entry = toRunningRequest(req, answer);
    this.running.add(entry);
    res.on('close', () => {
      this.running.delete(entry);
      this.onRunEnd(run);
    });
    setTimeout(() => {
      const isCrashing = this.isCrashingRequest(req, body);
      if (!isCrashing) void this.answers.send(answer);
      else if (isStream) this.beginAnswerAndCrash(res, id);
      else void this.crash();
    }, this.workMs);
  }

  private recordRun(
    req: IncomingMessage,
    id: string,
    body: string,
    fault: FaultyAnswer | undefined,
  ): WorkerRun {
    const {method = '', url: path = '', headers} = req;
    const run: WorkerRun = {
      id,
      method,
      path,
      body,
      headers,
      startedMs: performance.now(),
      fault,
      progress: {text: '', isEnded: false},
    };
    this.runs.push(run);
    this.onRun(run);
    return run;
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
    res.setHeader('content-type', 'text/event-stream');
    res.writeHead(200).flushHeaders();
    setTimeout(() => void this.crash(), CRASH_DELAY_MS);
  }

  private isCrashingRequest(req: IncomingMessage, body: string): boolean {
    if (this.crashingBody !== undefined && body === this.crashingBody)
      return true;
    const parts = req.headers[`${HEADER_PREFIX}prompt-prefix`];
    if (this.crashingPart === undefined || typeof parts !== 'string')
      return false;
    return parts
      .split(',')
      .some(part => part.split(':')[0] === this.crashingPart);
  }
}

function toModelEntry(name: string): object {
  return {Name: name, Version: 1, Adapters: []};
}
