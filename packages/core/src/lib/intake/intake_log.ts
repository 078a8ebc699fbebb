/** Reports what a process refuses or closes to protect itself. @packageDocumentation */

import {Logger} from '../telemetry/logger.js';
import {Clock} from '../time/clock.js';

/** Least time between two log lines, in milliseconds. */
const LINE_INTERVAL_MS = 1_000;

/** Reasons of refusals and of closed connections. */
export const INTAKE_END = {
  /** The body exceeds the limit. */
  tooLarge: 'too-large',
  /** The head exceeds the limit. */
  headTooLarge: 'head-too-large',
  /** The memory of a body was needed for others. */
  noMemory: 'no-memory',
  /** The caller's deadline passed before its body had come. */
  late: 'late',
  /** The request did not arrive within its time. */
  slow: 'slow',
  /** The bytes are no request. */
  malformed: 'malformed',
  /** An answer was not read while its memory was needed for others. */
  unread: 'unread',
  /** Too many connections were open. */
  connections: 'connections',
  /** Too many requests of a connection were unanswered. */
  pipelined: 'pipelined',
  /** The memory of a head, or of requests that waited, was needed for others. */
  heads: 'heads',
} as const;

/** One of {@link INTAKE_END}. */
export type IntakeEnd = (typeof INTAKE_END)[keyof typeof INTAKE_END];

/** Counts refusals by reason, and logs the counts at a bounded rate. */
export class IntakeLog {
  private counts: Partial<Record<IntakeEnd, number>> = {};
  private writtenMs = -Infinity;
  private isScheduled = false;

  /**
   * @param clock - bounds the rate.
   * @param logger - receives the lines.
   * @param count - called for each refusal, for the metric.
   */
  constructor(
    private readonly clock: Clock,
    private readonly logger: Logger,
    private readonly count: (reason: IntakeEnd, number: number) => void,
  ) {}

  /**
   * Records refusals or closed connections.
   *
   * @param reason - why.
   * @param number - how many.
   */
  record(reason: IntakeEnd, number = 1): void {
    this.count(reason, number);
    this.counts[reason] = (this.counts[reason] ?? 0) + number;
    if (this.isScheduled) return;
    const waitMs = this.writtenMs + LINE_INTERVAL_MS - this.clock.now();
    if (waitMs <= 0) {
      this.write();
      return;
    }
    this.isScheduled = true;
    this.clock.after(waitMs, () => this.write());
  }

  private write(): void {
    this.isScheduled = false;
    this.writtenMs = this.clock.now();
    const {counts} = this;
    this.counts = {};
    this.logger.warn('intake_refused', counts);
  }
}
