/** The body of a streamed answer. @packageDocumentation */

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
  private watch(controller: Controller): void {
    const {clock, deadlineMs} = this.options;
    const lateMs = deadlineMs - clock.now() + CUT_DELAY_MS;
    this.watchdog = clock.after(lateMs, () => {
      controller.error(new Error('the deadline passed'));
      void this.abandon();
    });
  }

  private async pull(controller: Controller): Promise<void> {
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
    if (this.ended) return;
    this.ended = true;
    this.watchdog?.cancel();
    const end = this.options.encodeEnd(outcome);
    if (end === undefined) {
      controller.error(new Error('the answer is not whole'));
    } else {
      if (end.length > 0) controller.enqueue(end);
      controller.close();
    }
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
