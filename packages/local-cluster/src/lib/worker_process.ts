/** Workers as processes of their own. @packageDocumentation */

import {ChildProcess, fork} from 'node:child_process';
import {once} from 'node:events';

/** What a worker process is told to do. */
export const WORKER_COMMAND = {
  /** It refuses each further request, and names a time for which it does. */
  beFull: 'be-full',
  /** It stops listening, and exits once all its connections have ended. */
  leave: 'leave',
  /** It stops listening, and exits as soon as its last answer has ended. */
  leaveAtOnce: 'leave-at-once',
  /** It closes the connections of all its answers in order. */
  closeAnswers: 'close-answers',
} as const;

/** One of {@link WORKER_COMMAND}. */
export type WorkerCommand =
  (typeof WORKER_COMMAND)[keyof typeof WORKER_COMMAND];

/** How a worker process answers. */
export interface WorkerPlan {
  /** Id under which it is registered, and the signature of its answers. */
  id: string;
  /** What delimits the bodies of its answers. */
  framing: 'close' | 'length' | 'chunks';
  /** Number of parts of each answer, and time between them in milliseconds. */
  eventCount: number;
  eventGapMs: number;
  /** What each part holds. */
  piece: string;
  /** Port on loopback; 0 for any. */
  port: number;
}

/** A worker that an operating system ends as it ends other processes. */
export class WorkerProcess {
  private constructor(
    private readonly child: ChildProcess,
    private readonly plan: WorkerPlan,
    readonly port: number,
  ) {}

  /** @returns a worker that listens. */
  static async start(plan: WorkerPlan): Promise<WorkerProcess> {
    const program = new URL('./worker_program.js', import.meta.url);
    const child = fork(program, [JSON.stringify(plan)]);
    const [port] = (await once(child, 'message')) as [number];
    return new WorkerProcess(child, plan, port);
  }

  /** Whether the process has ended. */
  get hasExited(): boolean {
    return this.child.exitCode !== null || this.child.signalCode !== null;
  }

  /** Tells the process what to do. */
  tell(command: WorkerCommand): void {
    this.child.send(command);
  }

  /** Kills the process. */
  async kill(): Promise<void> {
    if (this.hasExited) return;
    const exited = once(this.child, 'exit');
    this.child.kill('SIGKILL');
    await exited;
  }

  /** @returns another process like this one, at the same port. */
  startAgain(): Promise<WorkerProcess> {
    return WorkerProcess.start({...this.plan, port: this.port});
  }
}
