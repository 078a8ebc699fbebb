/** Worker processes of a benchmark. @packageDocumentation */

import {ChildProcess, fork} from 'node:child_process';
import {fileURLToPath} from 'node:url';

/** A child process that handles one job at a time. */
export class WorkerProcess {
  private constructor(private readonly child: ChildProcess) {}

  /**
   * Starts a worker.
   *
   * @param script - script in this folder, without its extension.
   */
  static start(script: string): WorkerProcess {
    const url = new URL(`./${script}.js`, import.meta.url);
    return new WorkerProcess(fork(fileURLToPath(url)));
  }

  /**
   * Sends a job to the worker.
   *
   * @param job - job to run.
   * @returns the worker's result.
   */
  call<Job extends object, Answer>(job: Job): Promise<Answer> {
    return new Promise((resolve, reject) => {
      const onExit = () =>
        reject(new Error('worker process exited before it returned a result'));
      this.child.once('exit', onExit);
      this.child.once('message', answer => {
        this.child.off('exit', onExit);
        resolve(answer as Answer);
      });
      this.child.send(job);
    });
  }

  /** Kills the worker. */
  stop(): void {
    this.child.kill('SIGKILL');
  }
}

/**
 * Handles the jobs that the parent process sends; called in the worker.
 *
 * @param handle - runs a job and returns its result.
 */
export function serveJobs<Job, Answer extends object>(
  handle: (job: Job) => Promise<Answer>,
): void {
  process.on('disconnect', () => process.exit(0));
  process.on('message', job => {
    void handle(job as Job).then(answer => process.send!(answer));
  });
}
