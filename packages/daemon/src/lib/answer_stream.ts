/** Writes the body of a streamed response. @packageDocumentation */

import {ServerResponse} from 'node:http';
import {Clock, Outcome, Timer} from '@fuchsiacleat/core';

/** Delay after the deadline until an unread stream's connection is closed. */
const CUT_DELAY_MS = 50;

type Controller = ReadableStreamDefaultController<Uint8Array>;

/** Options of an {@link AnswerStream}. */
export interface AnswerStreamOptions<Event> {
  clock: Clock;
  /** Deadline of the request as clock time, in milliseconds. */
  deadlineMs: number;
  /** Yields the events and returns the outcome. */
  run: AsyncGenerator<Event, Outcome>;
  /** First step of the run, read before the response head was sent. */
  first: IteratorResult<Event, Outcome>;
  /** Returns the bytes of an event. */
  encode: (event: Event) => Uint8Array;
  /**
   * Returns the bytes that report the outcome, or undefined to abort the
   * connection, so that the caller detects an incomplete response.
   */
  encodeEnd: (outcome: Outcome) => Uint8Array | undefined;
  /** Cancels the run. */
  cancel: () => void;
  /** Closes the caller's connection at once. */
  cut: () => void;
  /** Receives the outcome; called once. */
  finish: (outcome: Outcome) => void;
}

/**
 * Reads a run with backpressure from the caller, and cancels it when the caller
 * disconnects or still does not read after the deadline.
 */
export class AnswerStream<Event> {
  private step: IteratorResult<Event, Outcome>;
  private reading: Promise<void> = Promise.resolve();
  private ended = false;
  private watchdog: Timer | undefined;

  constructor(private readonly options: AnswerStreamOptions<Event>) {
    this.step = options.first;
  }

  /**
   * Writes the body directly to the connection, which costs far less than a
   * web stream. The run's signal must abort when the connection closes.
   *
   * @param outgoing - the HTTP response; its head must have been written.
   */
  async writeTo(outgoing: ServerResponse): Promise<void> {
    const {cut} = this.options;
    // A write can fail because the caller has just closed the connection, which
    // is not an error of this host.
    outgoing.on('error', cut);
    this.cutAfterDeadline(cut);
    while (!this.step.done) {
      if (!outgoing.destroyed) {
        const goesOn = outgoing.write(this.options.encode(this.step.value));
        if (!goesOn) await drained(outgoing);
      }
      await this.read();
    }
    this.watchdog?.cancel();
    this.endWriting(outgoing, this.step.value);
  }

  /** Returns the body as a web stream; may be called once. */
  body(): ReadableStream<Uint8Array> {
    return new ReadableStream<Uint8Array>(
      {
        start: controller => this.watch(controller),
        pull: controller => this.pull(controller),
        cancel: () => this.abandon(),
      },
      {highWaterMark: 1},
    );
  }

  /**
   * Closes the connection shortly after the deadline. The run checks its
   * deadline only while it is read, so a caller that stops reading would
   * otherwise keep it open.
   */
  private cutAfterDeadline(cut: () => void): void {
    const {clock, deadlineMs} = this.options;
    const lateMs = deadlineMs - clock.now() + CUT_DELAY_MS;
    this.watchdog = clock.after(lateMs, cut);
  }

  private watch(controller: Controller): void {
    this.cutAfterDeadline(() => {
      this.options.cut();
      controller.close();
      void this.abandon();
    });
  }

  private endWriting(outgoing: ServerResponse, outcome: Outcome): void {
    const {encodeEnd, finish} = this.options;
    if (outgoing.destroyed) {
      const unread = outcome.type === 'served';
      finish(unread ? {type: 'cancelled'} : outcome);
      return;
    }
    const end = encodeEnd(outcome);
    if (end === undefined) this.options.cut();
    else outgoing.end(end);
    finish(outcome);
  }

  private async pull(controller: Controller): Promise<void> {
    if (this.ended) return;
    if (this.step.done) {
      this.close(controller, this.step.value);
      return;
    }
    controller.enqueue(this.options.encode(this.step.value));
    this.reading = this.read();
    await this.reading;
  }

  private async read(): Promise<void> {
    this.step = await this.options.run.next();
  }

  private close(controller: Controller, outcome: Outcome): void {
    this.ended = true;
    this.watchdog?.cancel();
    const end = this.options.encodeEnd(outcome);
    if (end === undefined) this.options.cut();
    else if (end.length > 0) controller.enqueue(end);
    controller.close();
    this.options.finish(outcome);
  }

  /** Cancels a run whose response can no longer be written. */
  private async abandon(): Promise<void> {
    if (this.ended) return;
    this.ended = true;
    this.watchdog?.cancel();
    this.options.cancel();
    await this.reading;
    while (!this.step.done) await this.read();
    const outcome = this.step.value;
    const unread = outcome.type === 'served';
    this.options.finish(unread ? {type: 'cancelled'} : outcome);
  }
}

/** Resolves when more can be written or the connection is closed. */
function drained(outgoing: ServerResponse): Promise<void> {
  return new Promise(resolve => {
    const finish = () => {
      outgoing.off('drain', finish).off('close', finish);
      resolve();
    };
    outgoing.on('drain', finish).on('close', finish);
    if (outgoing.destroyed) finish();
  });
}
