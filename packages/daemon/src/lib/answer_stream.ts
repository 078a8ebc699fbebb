/** Writes the body of a streamed response. @packageDocumentation */

import {ServerResponse} from 'node:http';
import {Clock, FAILURE, Outcome, Timer, fail} from '@fuchsiacleat/core';

/**
 * Delay after the deadline until a stream whose run has not ended is ended, and
 * until an unread stream's connection is closed, in milliseconds.
 */
const ABORT_DELAY_MS = 50;

const OVERDUE = fail(FAILURE.deadline, 'the deadline passed in the response');

type Controller = ReadableStreamDefaultController<Uint8Array>;

/** Options of an {@link AnswerStream}. */
export interface AnswerStreamOptions<Event> {
  clock: Clock;
  /** Deadline of the request as clock time, in milliseconds. */
  deadlineMs: number;
  /** Yields the events and returns the outcome. */
  run: AsyncGenerator<Event, Outcome>;
  /** First step of the run, read before the response head was sent. */
  firstStep: IteratorResult<Event, Outcome>;
  /** Returns the bytes of an event. */
  encode: (event: Event) => Uint8Array;
  /**
   * Returns the bytes that report the outcome, or undefined to abort the
   * connection, so that the caller detects an incomplete response.
   */
  encodeEnd: (outcome: Outcome) => Uint8Array | undefined;
  /** Cancels the run. */
  cancelRun: () => void;
  /** Closes the caller's connection at once. */
  abortConnection: () => void;
  /** Receives the outcome; called once. */
  finish: (outcome: Outcome) => void;
}

/**
 * Reads a run with backpressure from the caller, and cancels it when the caller
 * disconnects or the deadline has passed. A caller that reads then receives the
 * outcome; the connection of one that does not is closed.
 */
export class AnswerStream<Event> {
  private currentStep: IteratorResult<Event, Outcome>;
  private pendingRead: Promise<void> = Promise.resolve();
  private hasEnded = false;
  private watchdog: Timer | undefined;

  constructor(private readonly options: AnswerStreamOptions<Event>) {
    this.currentStep = options.firstStep;
  }

  /**
   * Writes the body directly to the connection, which costs far less than a
   * web stream. The run's signal must abort when the connection closes.
   *
   * @param outgoing - the HTTP response; its head must have been written.
   */
  async writeTo(outgoing: ServerResponse): Promise<void> {
    // A write can fail because the caller has just closed the connection, which
    // is not an error of this host.
    outgoing.on('error', () => outgoing.destroy());
    this.startWatchdog(() => this.endOverdue(outgoing));
    while (!this.currentStep.done) {
      if (!this.hasEnded && !outgoing.destroyed) {
        const hasCapacity = outgoing.write(
          this.options.encode(this.currentStep.value),
        );
        if (!hasCapacity) await whenDrained(outgoing);
      }
      await this.readNextStep();
    }
    if (this.hasEnded) return;
    this.watchdog?.cancel();
    this.endWriting(outgoing, this.currentStep.value);
  }

  /** Returns the body as a web stream; may be called once. */
  toReadableStream(): ReadableStream<Uint8Array> {
    return new ReadableStream<Uint8Array>(
      {
        start: controller => {
          this.startWatchdog(() => this.closeOverdue(controller));
        },
        pull: controller => this.pull(controller),
        cancel: () => this.abandon(),
      },
      {highWaterMark: 1},
    );
  }

  /**
   * Starts the timer that ends the response shortly after the deadline. The run
   * checks its deadline only while it is read, and it can end late.
   */
  private startWatchdog(onDeadline: () => void): void {
    const {clock, deadlineMs} = this.options;
    const delayMs = deadlineMs - clock.now() + ABORT_DELAY_MS;
    this.watchdog = clock.after(delayMs, onDeadline);
  }

  private endOverdue(outgoing: ServerResponse): void {
    const {abortConnection, cancelRun, clock} = this.options;
    if (outgoing.writableNeedDrain) {
      abortConnection();
      return;
    }
    this.hasEnded = true;
    this.endWriting(outgoing, OVERDUE);
    this.watchdog = clock.after(ABORT_DELAY_MS, () => {
      if (!outgoing.writableFinished) abortConnection();
    });
    cancelRun();
  }

  private closeOverdue(controller: Controller): void {
    const {abortConnection, encodeEnd, finish} = this.options;
    const end = encodeEnd(OVERDUE);
    const isRead = (controller.desiredSize ?? 0) > 0;
    if (end !== undefined && isRead) {
      controller.enqueue(end);
      finish(OVERDUE);
    } else {
      abortConnection();
    }
    controller.close();
    void this.abandon();
  }

  private endWriting(outgoing: ServerResponse, outcome: Outcome): void {
    const {encodeEnd, finish} = this.options;
    if (outgoing.destroyed) {
      const isUnread = outcome.type === 'served';
      finish(isUnread ? {type: 'cancelled'} : outcome);
      return;
    }
    const end = encodeEnd(outcome);
    if (end === undefined) this.options.abortConnection();
    else outgoing.end(end);
    finish(outcome);
  }

  private async pull(controller: Controller): Promise<void> {
    if (this.hasEnded) return;
    if (this.currentStep.done) {
      this.close(controller, this.currentStep.value);
      return;
    }
    controller.enqueue(this.options.encode(this.currentStep.value));
    this.pendingRead = this.readNextStep();
    await this.pendingRead;
  }

  private async readNextStep(): Promise<void> {
    this.currentStep = await this.options.run.next();
  }

  private close(controller: Controller, outcome: Outcome): void {
    this.hasEnded = true;
    this.watchdog?.cancel();
    const end = this.options.encodeEnd(outcome);
    if (end === undefined) this.options.abortConnection();
    else if (end.length > 0) controller.enqueue(end);
    controller.close();
    this.options.finish(outcome);
  }

  /** Cancels a run whose response can no longer be written. */
  private async abandon(): Promise<void> {
    if (this.hasEnded) return;
    this.hasEnded = true;
    this.watchdog?.cancel();
    this.options.cancelRun();
    await this.pendingRead;
    while (!this.currentStep.done) await this.readNextStep();
    const outcome = this.currentStep.value;
    const isUnread = outcome.type === 'served';
    this.options.finish(isUnread ? {type: 'cancelled'} : outcome);
  }
}

/** Resolves when more can be written or the connection is closed. */
function whenDrained(outgoing: ServerResponse): Promise<void> {
  return new Promise(resolve => {
    const finish = () => {
      outgoing.off('drain', finish).off('close', finish);
      resolve();
    };
    outgoing.on('drain', finish).on('close', finish);
    if (outgoing.destroyed) finish();
  });
}
