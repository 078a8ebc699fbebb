/** Worker of the users' platform that writes its answers byte by byte. @packageDocumentation */

import {AddressInfo, Server, Socket, createServer} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {RawAnswer} from './raw_answer.js';

const LOOPBACK = '127.0.0.1';
const HEAD_END = '\r\n\r\n';
const REPORT_PATH = '/report';
const MODELS = [{Name: 'm1', Version: 1, Adapters: []}];

/** A step of an answer. */
export type AnswerStep =
  /** Writes bytes, in one segment with those that were written right before. */
  | {type: 'write'; bytes: Buffer}
  /** Waits, which ends the segment. The time is in milliseconds. */
  | {type: 'wait'; ms: number}
  /** Closes the connection in order. */
  | {type: 'close'}
  | {type: 'reset'}
  /** Keeps bytes back until the next answer is due, and writes them before it. */
  | {type: 'owe'; bytes: Buffer}
  /** Writes bytes after a time in milliseconds, once no answer is under way. */
  | {type: 'add-later'; bytes: Buffer; ms: number};

/** What a worker does for a request. */
export interface AnswerScript {
  answer: RawAnswer;
  steps: AnswerStep[];
  /** Name of the fault; undefined for none. */
  fault?: string;
  /**
   * Number of bytes of the body that it has written when it closes the
   * connection in order before the end of the answer.
   */
  closedAfterBytes?: number;
}

/** A script that a worker carries out. */
export interface WorkerScript extends AnswerScript {
  /** Arrival of its request on the monotonic clock, in milliseconds. */
  startedMs: number;
}

/** Request that has arrived at a worker. */
export interface RawWorkerRequest {
  id: string;
  /** Target of the request line. */
  target: string;
  /** Number of the request among all that the worker has received. */
  number: number;
  /** Value of `last-event-id`; 0 without. */
  afterEvent: number;
}

/** Options of a {@link RawWorker}. */
export interface RawWorkerOptions {
  id: string;
  service: string;
  /** Whether it is a model engine that holds the model `m1`. */
  isEngine?: boolean;
  zone?: string;
  /** Answers a request. */
  script: (request: RawWorkerRequest) => AnswerScript;
}

/** Worker whose answers are scripts; each run has a script of its own. */
export class RawWorker {
  /** Scripts of all runs, by request id. */
  readonly runs = new Map<string, WorkerScript[]>();
  private readonly server: Server;
  private readonly sockets = new Set<Socket>();
  private readonly bornMs = Date.now();
  private requestCount = 0;

  /** @param options - see {@link RawWorkerOptions}. */
  constructor(private readonly options: RawWorkerOptions) {
    this.server = createServer({noDelay: true}, socket => {
      this.sockets.add(socket);
      socket.on('close', () => this.sockets.delete(socket));
      // Hosts close connections that they don't trust any more.
      socket.on('error', () => {});
      new WorkerConnection(socket, head => this.respond(head));
    });
  }

  /** Id under which the worker registers. */
  get id(): string {
    return this.options.id;
  }

  /** Starts to listen on a free port. */
  async start(): Promise<void> {
    await new Promise<void>(resolve =>
      this.server.listen(0, LOOPBACK, resolve),
    );
  }

  /** Stops and closes every connection. */
  stop(): void {
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
  }

  /** Returns the registration that the worker writes to the store. */
  registration(): object {
    const {isEngine, service, zone = 'a'} = this.options;
    return {
      Service: service,
      Addr: `${LOOPBACK}:${(this.server.address() as AddressInfo).port}`,
      Zone: zone,
      Version: 'v1',
      Slots: 64,
      State: 'ready',
      ColdLeftMs: 0,
      Seq: 0,
      Models: isEngine === true ? MODELS : [],
      born: this.bornMs,
    };
  }

  private respond(head: string): AnswerStep[] {
    const [, target = ''] = head.split(' ', 2);
    const id = headerOf(head, 'x-fuchsiacleat-attempt-id');
    if (target === REPORT_PATH || id === undefined) return this.report();
    const number = this.requestCount++;
    const afterEvent = Number(headerOf(head, 'last-event-id') ?? 0);
    const request = {id, target, number, afterEvent};
    const startedMs = performance.now();
    const script = {...this.options.script(request), startedMs};
    this.runs.set(id, [...(this.runs.get(id) ?? []), script]);
    return script.steps;
  }

  /** Answers whatever isn't a request of a caller. */
  private report(): AnswerStep[] {
    const Models = this.options.isEngine === true ? MODELS : [];
    const body = JSON.stringify({Stage: 'both', Models, Busy: false, Seq: 0});
    const head =
      'HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n' +
      `x-fuchsiacleat-instance-id: ${this.id}\r\n` +
      `content-length: ${body.length}\r\n\r\n`;
    return [{type: 'write', bytes: Buffer.from(head + body)}];
  }
}

/** Reads the requests of a connection and carries the scripts out in order. */
class WorkerConnection {
  private received: Buffer = Buffer.alloc(0);
  private owed: Buffer = Buffer.alloc(0);
  private last: Promise<void> = Promise.resolve();

  constructor(
    private readonly socket: Socket,
    private readonly respond: (head: string) => AnswerStep[],
  ) {
    socket.on('data', chunk => this.receive(chunk));
  }

  private receive(chunk: Buffer): void {
    this.received = Buffer.concat([this.received, chunk]);
    for (;;) {
      const end = this.received.indexOf(HEAD_END);
      if (end < 0) return;
      const head = this.received.subarray(0, end).toString('latin1');
      const length = Number(headerOf(head, 'content-length') ?? 0);
      const size = end + HEAD_END.length + length;
      if (this.received.length < size) return;
      this.received = this.received.subarray(size);
      this.last = this.last.then(() => this.carryOut(this.respond(head)));
    }
  }

  private addLater({bytes, ms}: {bytes: Buffer; ms: number}): void {
    const steps: AnswerStep[] = [{type: 'write', bytes}];
    setTimeout(() => {
      this.last = this.last.then(() => this.carryOut(steps));
    }, ms);
  }

  private async carryOut(steps: readonly AnswerStep[]): Promise<void> {
    const {socket} = this;
    let segment: Buffer = this.owed;
    this.owed = Buffer.alloc(0);
    const flush = async () => {
      const bytes = segment;
      segment = Buffer.alloc(0);
      if (bytes.length === 0 || !socket.writable) return;
      await new Promise(resolve => socket.write(bytes, resolve));
    };
    for (const step of steps) {
      if (step.type === 'write') segment = Buffer.concat([segment, step.bytes]);
      else if (step.type === 'owe') this.owed = step.bytes;
      else if (step.type === 'add-later') this.addLater(step);
      else {
        await flush();
        if (step.type === 'wait') await sleep(step.ms);
        else if (step.type === 'close') socket.end();
        else socket.resetAndDestroy();
      }
    }
    await flush();
  }
}

function headerOf(head: string, name: string): string | undefined {
  return new RegExp(`^${name}: *(.*)$`, 'im').exec(head)?.[1].trim();
}
