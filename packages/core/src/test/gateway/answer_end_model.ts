/** Processes of targets as an operating system ends them. @packageDocumentation */

import {Duplex} from 'node:stream';
import {FRAMING} from '../../lib/gateway/answer_framing.js';
import {
  BODY_END,
  BodyEnd,
  NOT_RUN,
  SendOptions,
  SendResult,
} from '../../lib/gateway/target_port.js';
import {NO_SIGNALS} from '../../lib/gateway/target_signals.js';
import {KnownTarget} from '../../lib/gateway/target_table.js';
import {
  CLOSE_TIME_MS,
  ConnectionWatch,
  ProcessWatch,
} from '../../lib/net/process_watch.js';
import {ManualClock} from '../../lib/time/manual_clock.js';
import {Random} from '../../lib/time/random.js';
import {FakeCaller, FakePort} from './relay_fixtures.js';

/** Number of parts of each answer, and time between them in milliseconds. */
export const PART_COUNT = 8;
export const PART_GAP_MS = 40;

/** Time for which a process that leaves goes on listening. */
const LEAVING_MS = 500;

const MAX_CONNECT_MS = 15;
const MAX_REPLY_MS = 40;

const MAX_HEAD_MS = 100;

const OK = 200;

/** Answers to streams have this in the path of their requests. */
export const STREAM_PREFIX = '/stream';

/** Returns a part of the answer to a request. */
export function partOf(path: string, i: number): string {
  return path.startsWith(STREAM_PREFIX)
    ? `id: ${i}\ndata: of ${path}\n\n`
    : `${i} of ${path};`;
}

/** Returns the whole answer to a request. */
export function wholeAnswer(path: string): string {
  const parts = Array.from({length: PART_COUNT}, (unusedItem, i) =>
    partOf(path, i + 1),
  );
  return parts.join('');
}

/** The way between the host and an address; keeps the order of what it passes. */
export class ModelPath {
  private isSilent = false;
  private held: Array<() => void> = [];

  /** Passes something on, once the path is not silent. */
  pass(arrive: () => void): void {
    if (this.isSilent) this.held.push(arrive);
    else arrive();
  }

  /** Lets nothing arrive until {@link restore}. */
  silence(): void {
    this.isSilent = true;
  }

  restore(): void {
    this.isSilent = false;
    const {held} = this;
    this.held = [];
    for (const arrive of held) arrive();
  }
}

/** A connection of the host to a process, as the host sees it. */
abstract class ModelConnection {
  private isOver = false;

  /**
   * @param path - the way to the process.
   * @param isTunneled - whether a helper host is on it.
   */
  constructor(
    protected readonly path: ModelPath,
    readonly isTunneled: boolean,
  ) {}

  /** Passes bytes to the host. */
  write(bytes: string): void {
    this.path.pass(() => {
      if (!this.isOver) this.onBytes(bytes);
    });
  }

  /** Closes the connection in order, or resets it. */
  close(end: 'in-order' | 'reset'): void {
    this.path.pass(() => this.end(end));
  }

  /** Ends the connection at the host. */
  end(end: 'in-order' | 'reset'): void {
    if (this.isOver) return;
    this.isOver = true;
    this.onEnd(end);
  }

  /** Whether the kernel has something that the process has not read. */
  readonly hasUnread: boolean = false;

  protected abstract onBytes(bytes: string): void;
  protected abstract onEnd(end: 'in-order' | 'reset'): void;
}

/** An answer that only its connection delimits. */
export class ModelAnswer extends ModelConnection {
  /** Whether the process has ended it of itself. */
  isEndedByProcess = false;
  private readonly chunks: string[] = [];
  private hasHead = false;
  private bodyEnd: BodyEnd | undefined;
  private wake = () => {};

  /** Passes the head to the host. */
  writeHead(): void {
    this.path.pass(() => {
      this.hasHead = true;
      this.wake();
    });
  }

  /** Waits for the head, and tells whether it has come. */
  async readHead(): Promise<boolean> {
    while (!this.hasHead && this.bodyEnd === undefined) await this.wait();
    return this.hasHead;
  }

  /** Reads the body as the client of the host does. */
  async read(sink: (chunk: Buffer) => unknown): Promise<BodyEnd> {
    for (;;) {
      const chunk = this.chunks.shift();
      if (chunk !== undefined) await sink(Buffer.from(chunk));
      else if (this.bodyEnd !== undefined) return this.bodyEnd;
      else await this.wait();
    }
  }

  private wait(): Promise<void> {
    return new Promise(resolve => (this.wake = resolve));
  }

  protected override onBytes(bytes: string): void {
    this.chunks.push(bytes);
    this.wake();
  }

  protected override onEnd(end: 'in-order' | 'reset'): void {
    this.bodyEnd = end === 'reset' ? BODY_END.broken : BODY_END.complete;
    this.wake();
  }
}

/** A connection that carries requests which run nothing. */
class ModelWatch extends ModelConnection {
  override hasUnread = false;
  readonly stream: Duplex;

  constructor(
    path: ModelPath,
    isTunneled: boolean,
    onRequest: (watch: ModelWatch) => void,
  ) {
    super(path, isTunneled);
    this.stream = new Duplex({
      read: () => {},
      write: (unusedBytes, unusedEncoding, done) => {
        path.pass(() => onRequest(this));
        done();
      },
    });
  }

  protected override onBytes(bytes: string): void {
    this.stream.push(bytes);
  }

  protected override onEnd(end: 'in-order' | 'reset'): void {
    if (end === 'in-order') this.stream.push(null);
    else this.stream.destroy(new Error('reset'));
  }
}

/** A process that answers; ends as its operating system ends it. */
export class ModelProcess {
  /** Number of answers that it has not ended. */
  private running = 0;
  private isDraining = false;
  private hasStoppedListening = false;
  /** Whether it exits without waiting for its connections to end. */
  private exitsAtOnce = false;
  hasExited = false;
  private readonly connections = new Set<ModelConnection>();

  /**
   * @param id - its id as a target.
   * @param path - the way to its address.
   */
  constructor(
    readonly id: string,
    readonly path: ModelPath,
    private readonly clock: ManualClock,
    private readonly random: Random,
  ) {}

  get isListening(): boolean {
    return !this.hasStoppedListening && !this.hasExited;
  }

  /** Begins an answer behind the given number of its parts. */
  answer(path: string, partsBefore: number, isTunneled: boolean): ModelAnswer {
    const answer = new ModelAnswer(this.path, isTunneled);
    this.connections.add(answer);
    this.running += 1;
    void this.writeParts(answer, path, partsBefore);
    return answer;
  }

  /** Accepts a connection of a watch for a target. */
  accept(expectedId: string, isTunneled: boolean): ModelWatch {
    const watch = new ModelWatch(this.path, isTunneled, () => {
      void this.reply(watch, expectedId);
    });
    this.connections.add(watch);
    return watch;
  }

  /** Stops listening after a time, and exits after its last answer. */
  drain(exitsAtOnce: boolean): void {
    this.isDraining = true;
    this.exitsAtOnce = exitsAtOnce;
    this.clock.after(LEAVING_MS, () => {
      this.hasStoppedListening = true;
      this.exitIfDone();
    });
  }

  /** Ends the process; its kernel closes its connections in any order. */
  kill(): void {
    if (this.hasExited) return;
    this.hasExited = true;
    for (const connection of this.connections) {
      const delayMs = this.random.float() * CLOSE_TIME_MS;
      this.clock.after(delayMs, () =>
        connection.close(connection.hasUnread ? 'reset' : 'in-order'),
      );
    }
  }

  /** Ends its tunnels as the host sees it when a helper host is killed. */
  breakTunnels(): void {
    for (const connection of this.connections) {
      if (!connection.isTunneled) continue;
      const delayMs = this.random.float() * CLOSE_TIME_MS;
      this.clock.after(delayMs, () => connection.end('reset'));
    }
  }

  private async writeParts(
    answer: ModelAnswer,
    path: string,
    partsBefore: number,
  ): Promise<void> {
    await this.clock.sleep(this.random.float() * MAX_HEAD_MS);
    if (this.hasExited) return;
    answer.writeHead();
    for (let i = partsBefore + 1; i <= PART_COUNT; i++) {
      await this.clock.sleep(PART_GAP_MS);
      if (this.hasExited) return;
      answer.write(partOf(path, i));
    }
    answer.isEndedByProcess = true;
    answer.close('in-order');
    this.running -= 1;
    this.exitIfDone();
  }

  private async reply(watch: ModelWatch, expectedId: string): Promise<void> {
    if (this.hasExited) {
      watch.close('reset');
      return;
    }
    watch.hasUnread = true;
    await this.clock.sleep(this.random.float() * MAX_REPLY_MS);
    if (this.hasExited) return;
    watch.hasUnread = false;
    const isOther = expectedId !== this.id;
    watch.write(`HTTP/1.1 ${isOther ? '421 Misdirected' : '200 OK'}\r\n\r\n`);
    if (!this.isDraining) return;
    watch.close('in-order');
    this.exitIfDone();
  }

  private exitIfDone(): void {
    if (this.hasStoppedListening && this.running === 0 && this.exitsAtOnce)
      this.kill();
  }
}

/** An answer of a process to a send. */
export interface ModelSend {
  path: string;
  process: ModelProcess;
  answer: ModelAnswer;
}

/** Sends to modelled processes, and watches them through connections. */
export class ModelPort extends FakePort {
  /** Processes by the ids of the targets at whose addresses they are. */
  readonly processes = new Map<string, ModelProcess>();
  readonly sends: ModelSend[] = [];
  /** Ids of the targets to which new connections lead through a helper. */
  readonly tunneled = new Set<string>();
  /** Ids of the targets whose helper has ended. */
  readonly helperless = new Set<string>();

  constructor(
    private readonly modelClock: ManualClock,
    private readonly random: Random,
  ) {
    super(modelClock, []);
  }

  override async send(
    {registration: {id}}: KnownTarget,
    req: FakeCaller,
    {canStillSend, lastEventId, signal}: SendOptions,
  ): Promise<SendResult> {
    await this.modelClock.sleep(this.random.float() * MAX_CONNECT_MS);
    const process = this.processes.get(id)!;
    const isTunneled = this.tunneled.has(id);
    if (!canStillSend()) return {type: 'not-run', reason: NOT_RUN.withdrawn};
    if (!process.isListening || (isTunneled && this.helperless.has(id)))
      return {type: 'not-run', reason: NOT_RUN.unreachable};
    if (process.id !== id)
      return {type: 'not-run', reason: NOT_RUN.otherProcess};
    const partsBefore = Number(lastEventId ?? 0);
    const answer = process.answer(req.path, partsBefore, isTunneled);
    this.sends.push({path: req.path, process, answer});
    signal.addEventListener('abort', () => answer.end('reset'));
    if (!(await answer.readHead())) return {type: 'lost', reason: 'no head'};
    const isEventStream = req.path.startsWith(STREAM_PREFIX);
    return {
      type: 'answered',
      answer: {
        head: {status: 200, isEventStream, framing: FRAMING.close},
        signals: NO_SIGNALS,
        connection: '1/1',
        read: sink => answer.read(sink),
        discard: () => answer.end('reset'),
      },
    };
  }

  override watch(target: KnownTarget): ProcessWatch {
    const {id} = target.registration;
    const isReply = (status: number) => status === OK;
    return new ConnectionWatch({
      clock: this.modelClock,
      open: async () => (target.isEvacuated ? undefined : this.open(id)),
      ping: () => (target.isEvacuated ? undefined : {request: 'GET', isReply}),
    });
  }

  override async isListening(target: KnownTarget): Promise<boolean> {
    return this.processes.get(target.registration.id)!.isListening;
  }

  private async open(id: string): Promise<Duplex | undefined> {
    const isTunneled = this.tunneled.has(id);
    const process = this.processes.get(id)!;
    // A silent path brings no reply at all.
    await new Promise<void>(resolve => process.path.pass(resolve));
    await this.modelClock.sleep(this.random.float() * MAX_CONNECT_MS);
    const current = this.processes.get(id)!;
    if (!current.isListening || (isTunneled && this.helperless.has(id)))
      return undefined;
    return current.accept(id, isTunneled).stream;
  }
}
