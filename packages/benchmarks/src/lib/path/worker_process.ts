/** Worker processes of a benchmark. @packageDocumentation */

import {ChildProcess, fork} from 'node:child_process';
import {fileURLToPath} from 'node:url';

/** A worker that takes one job and sends one answer. */
export class WorkerProcess {
  private constructor(private readonly child: ChildProcess) {}

  /**
   * Starts a worker.
   *
   * @param script - file beside this one, without its extension.
   */
  static start(script: string): WorkerProcess {
    const url = new URL(`./${script}.js`, import.meta.url);
    return new WorkerProcess(fork(fileURLToPath(url)));
  }

  /**
   * @param job - what to do.
   * @returns the worker's answer.
   */
  call<Job extends object, Answer>(job: Job): Promise<Answer> {
    return new Promise((resolve, reject) => {
      const onExit = () => reject(new Error('a worker process died'));
      this.child.once('exit', onExit);
      this.child.once('message', answer => {
        this.child.off('exit', onExit);
        resolve(answer as Answer);
      });
      this.child.send(job);
    });
  }

  /** Ends the worker. */
  stop(): void {
    this.child.kill('SIGKILL');
  }
}

/**
 * Serves the jobs of a worker, in the worker.
 *
 * @param handle - does a job.
 */
export function serveJobs<Job, Answer extends object>(
  handle: (job: Job) => Promise<Answer>,
): void {
  process.on('disconnect', () => process.exit(0));
  process.on('message', job => {
    void handle(job as Job).then(answer => process.send!(answer));
  });
}
