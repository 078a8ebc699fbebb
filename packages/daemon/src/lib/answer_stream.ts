/** The body of a streamed answer. @packageDocumentation */

import {ServerResponse} from 'node:http';
import {Clock, Outcome, Timer} from '@fuchsiacleat/core';

/** How long after its deadline a stream that nobody reads is cut. */
const CUT_DELAY_MS = 50;

type Controller = ReadableStreamDefaultController<Uint8Array>;

/** What an {@link AnswerStream} is made from. */
export interface AnswerStreamOptions<Event> {
  clock: Clock;
  /** Clock time by which the request must have ended, in milliseconds. */
  deadlineMs: number;
  /** The events; the generator returns the outcome. */
  run: AsyncGenerator<Event, Outcome>;
  /** A step of the run that was taken before the answer's head was sent. */
  first: IteratorResult<Event, Outcome>;
  /** @returns the bytes that carry an event. */
  encode: (event: Event) => Uint8Array;
  /**
   * @returns the bytes that tell the outcome, or undefined to cut the
   *     connection so that the caller sees that the answer is not whole.
   */
  encodeEnd: (outcome: Outcome) => Uint8Array | undefined;
  /** Cancels the run. */
  cancel: () => void;
  /** Cuts the caller's connection. */
  cut: () => void;
  /** Takes the outcome, once. */
  finish: (outcome: Outcome) => void;
}

/**
 * Reads a run only as fast as the caller reads the answer, and ends it when
 * the caller goes away or stops reading until after the deadline.
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
   * Writes the answer straight to the connection, which costs far less than a
   * web stream. The run's signal must abort when the connection closes.
   *
   * @param outgoing - takes the answer; its head must have been written.
   */
  async writeTo(outgoing: ServerResponse): Promise<void> {
    const {cut} = this.options;
    // A write to a connection that has just closed is no fault of this host.
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

  /** @returns the body; call it once. */
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
   * The run watches the deadline only while it is read; a caller that stops
   * reading must not hold it open for longer.
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

  /** Ends a run whose answer can no longer be written. */
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

/** Waits until more can be written, or never again. */
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
