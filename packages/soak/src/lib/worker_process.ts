/** Starts and ends one worker as a child process. @packageDocumentation */

import {ChildProcess, fork} from 'node:child_process';
import {fileURLToPath} from 'node:url';
import {STORE_TOPIC} from '@fuchsiacleat/local-cluster';
import {PlatformStoreStandin, WorkerFraming} from '@fuchsiacleat/standins';
import {
  COMMAND,
  WorkerCommand,
  WorkerEvent,
  WorkerProcessOptions,
} from './worker_messages.js';

const PROGRAM = fileURLToPath(
  new URL('./worker_process_main.js', import.meta.url),
);

/** States that a worker registers. */
export const WORKER_STATE = {ready: 'ready', draining: 'draining'} as const;

/** A request that a worker process began to run. */
export interface ProcessRun {
  id: string;
  worker: string;
  framing: WorkerFraming;
  afterEvent: number;
  /** Whether the worker had stopped listening. */
  isLeaving: boolean;
  /** Start on the monotonic clock of the parent, in milliseconds. */
  startedMs: number;
  /** End of the answer, a Unix time of the worker; undefined if it was cut. */
  endedAtMs?: number;
  /**
   * Time from the end of the answer to that of the process, in milliseconds;
   * undefined if the process did not exit in order.
   */
  exitAfterMs?: number;
}

/** A time in which a worker does what its answers may tell. */
export interface WorkerSpan {
  /** `killed`, `down`, `silent`, `full` or `leaving`. */
  kind: string;
  fromMs: number;
  /** Infinity while it lasts. */
  toMs: number;
}

/** A worker whose process is killed or exits, and is started again at its port. */
export class WorkerProcess {
  /** Runs of all its processes, in order. */
  readonly runs: ProcessRun[] = [];
  readonly spans: WorkerSpan[] = [];
  /** Exit codes and signals of unexpected exits. */
  readonly unexpectedExits: string[] = [];
  /** Number of requests that it refused. */
  refusals = 0;
  /** Number of runs that a kill cut, by their framing. */
  readonly cutRuns: Record<string, number> = {};
  private port = 0;
  private child: ChildProcess | undefined;
  /** The next process, which is ready to listen at once. */
  private spare: ChildProcess | undefined;
  private listening: Extract<WorkerEvent, {event: 'listening'}> | undefined;
  private isExitExpected = false;
  /** Runs of the process, by the id of the request. */
  private processRuns = new Map<string, ProcessRun>();

  /**
   * @param options - see {@link WorkerProcessOptions}.
   * @param store - store that it registers with.
   */
  constructor(
    readonly options: WorkerProcessOptions,
    private readonly store: PlatformStoreStandin,
  ) {}

  /** Whether its process runs. */
  get isRunning(): boolean {
    return this.child !== undefined;
  }

  /** Starts a process at the port of the earlier ones, and registers it. */
  async start(): Promise<void> {
    const child = this.spare ?? this.fork();
    this.child = child;
    this.isExitExpected = false;
    // What the process told last may arrive after its exit.
    const runs = new Map<string, ProcessRun>();
    this.processRuns = runs;
    const isListening = new Promise<void>(resolve => {
      child.on('message', (event: WorkerEvent) => {
        this.handle(event, runs);
        if (event.event === 'listening') resolve();
      });
    });
    child.once('exit', (code, signal) => {
      this.child = undefined;
      this.begin('down');
      if (this.isExitExpected) return;
      this.unexpectedExits.push(`${this.options.id} ${code ?? signal}`);
    });
    this.send({command: COMMAND.listen, port: this.port});
    await isListening;
    this.port = this.listening!.port;
    this.register(WORKER_STATE.ready);
    this.end('down');
    this.spare = this.fork();
  }

  /** Writes its registration; undefined ends it. */
  register(state: keyof typeof WORKER_STATE | undefined): void {
    const entry = state && this.listening![state];
    this.store.put(STORE_TOPIC.targets, this.options.id, entry);
  }

  /** Refuses new requests, or accepts them again. */
  setFull(isFull: boolean): void {
    if (isFull) this.begin('full');
    else this.end('full');
    this.send({command: isFull ? COMMAND.fill : COMMAND.accept});
  }

  /** Stops listening; the process exits right after its last answer. */
  leave(): void {
    this.isExitExpected = true;
    this.send({command: COMMAND.leave});
  }

  /** Stops the process, or continues it. */
  setSilent(isSilent: boolean): void {
    if (isSilent) this.begin('silent');
    else this.end('silent');
    this.child?.kill(isSilent ? 'SIGSTOP' : 'SIGCONT');
  }

  /** Kills the process amid its answers and waits for its exit. */
  async kill(): Promise<void> {
    if (this.child === undefined) return;
    this.isExitExpected = true;
    for (const {endedAtMs, framing} of this.processRuns.values())
      if (endedAtMs === undefined)
        this.cutRuns[framing] = (this.cutRuns[framing] ?? 0) + 1;
    this.begin('killed');
    this.child.kill('SIGKILL');
    await this.exited();
    for (const kind of ['killed', 'silent', 'full', 'leaving']) this.end(kind);
  }

  /** Waits until the process has exited. */
  async exited(): Promise<void> {
    const {child} = this;
    if (child === undefined) return;
    await new Promise(resolve => child.once('exit', resolve));
  }

  /** Ends both processes. */
  async dispose(): Promise<void> {
    this.spare?.kill('SIGKILL');
    await this.kill();
  }

  /** Notes that a span begins. */
  begin(kind: string): void {
    this.spans.push({kind, fromMs: performance.now(), toMs: Infinity});
  }

  /** Notes that the spans of a kind end. */
  end(kind: string): void {
    const nowMs = performance.now();
    for (const span of this.spans)
      if (span.kind === kind) span.toMs = Math.min(span.toMs, nowMs);
  }

  private fork(): ChildProcess {
    return fork(PROGRAM, [JSON.stringify(this.options)]);
  }

  private send(command: WorkerCommand): void {
    // The process may have ended, which the channel tells before the exit.
    this.child?.send(command, () => {});
  }

  private handle(event: WorkerEvent, runs: Map<string, ProcessRun>): void {
    if (event.event === 'listening') this.listening = event;
    if (event.event === 'refused') this.refusals += 1;
    if (event.event === 'run') {
      const {afterEvent, framing, id, isLeaving} = event;
      const startedMs = performance.now();
      const worker = this.options.id;
      const run = {id, worker, framing, afterEvent, isLeaving, startedMs};
      this.runs.push(run);
      runs.set(id, run);
    }
    if (event.event === 'run-end') {
      const run = runs.get(event.id);
      if (run !== undefined) run.endedAtMs = event.atMs;
    }
    if (event.event !== 'exiting') return;
    for (const run of runs.values())
      if (run.endedAtMs !== undefined)
        run.exitAfterMs = event.atMs - run.endedAtMs;
  }
}
