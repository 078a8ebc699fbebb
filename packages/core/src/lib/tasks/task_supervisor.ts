/** Runs work that no caller awaits. @packageDocumentation */

import {setMaxListeners} from 'node:events';
import {LogFields, Logger} from '../telemetry/logger.js';
import {Clock} from '../time/clock.js';

/** Time before a lasting task that has failed is run again, in milliseconds. */
const RESTART_DELAY_MS = 250;

/** Least time between two log lines about one task, in milliseconds. */
const LINE_INTERVAL_MS = 1_000;

/** Log lines about the failures of one task. */
interface FailureLines {
  writtenMs: number;
  /** Failures since the last line that have none of their own. */
  omitted: number;
}

/**
 * Confines an unexpected error to the piece of work that it occurs in. Node
 * ends the process on a rejected promise that nothing awaits; an error that is
 * caused by a record of the store would then end one host after the other.
 *
 * Each failure is counted, and logged with its stack and the subject of the
 * work.
 */
export class TaskSupervisor {
  private readonly lines = new Map<string, FailureLines>();

  /**
   * @param clock - measures delays.
   * @param logger - receives the failures.
   * @param onFailure - called with the name of the task at each failure.
   */
  constructor(
    private readonly clock: Clock,
    private readonly logger: Logger,
    private readonly onFailure: (task: string) => void = () => {},
  ) {}

  /**
   * Runs work in the background.
   *
   * @param task - constant name of the work in snake case.
   * @param work - the work.
   * @param subject - what the work is about, such as the id of a target.
   * @returns whether it succeeded, once it has ended; never rejects.
   */
  async run(
    task: string,
    work: () => Promise<unknown>,
    subject: LogFields = {},
  ): Promise<boolean> {
    try {
      await work();
      return true;
    } catch (error) {
      this.recordFailure(task, error, subject);
      return false;
    }
  }

  /**
   * Runs a function that must not prevent what follows it.
   *
   * @param task - constant name of the work in snake case.
   * @param work - the function.
   * @param subject - what the work is about.
   * @returns whether it succeeded.
   */
  attempt(task: string, work: () => void, subject: LogFields = {}): boolean {
    try {
      work();
      return true;
    } catch (error) {
      this.recordFailure(task, error, subject);
      return false;
    }
  }

  /**
   * Runs a lasting task, and again after each failure.
   *
   * @param task - constant name of the task in snake case.
   * @param signal - ends the task.
   * @param work - runs the task until it is done or its signal aborts, which
   *     a failure does as well, so that no part of the task goes on beside the
   *     next run.
   */
  async keepRunning(
    task: string,
    signal: AbortSignal,
    work: (signal: AbortSignal) => Promise<void>,
  ): Promise<void> {
    while (!signal.aborted) {
      const stop = new AbortController();
      // Each wait of the task adds a listener.
      setMaxListeners(0, stop.signal);
      const abort = () => stop.abort();
      signal.addEventListener('abort', abort);
      const isDone = await this.run(task, () => work(stop.signal));
      signal.removeEventListener('abort', abort);
      abort();
      if (isDone) return;
      await this.clock.sleep(RESTART_DELAY_MS, signal);
    }
  }

  /**
   * Records that work which runs elsewhere has failed.
   *
   * @param task - constant name of the work in snake case.
   * @param error - the error.
   * @param subject - what the work is about.
   */
  recordFailure(task: string, error: unknown, subject: LogFields = {}): void {
    this.onFailure(task);
    const nowMs = this.clock.now();
    const lines = this.lines.get(task);
    if (lines !== undefined && nowMs - lines.writtenMs < LINE_INTERVAL_MS) {
      lines.omitted += 1;
      return;
    }
    this.lines.set(task, {writtenMs: nowMs, omitted: 0});
    const {message, stack} =
      error instanceof Error ? error : new Error(String(error));
    this.logger.error('task_failed', {
      task,
      ...subject,
      message,
      stack,
      omitted: lines?.omitted || undefined,
    });
  }
}
