/** Relays the answer of a target to the caller. @packageDocumentation */

import {Clock, Timer} from '../time/clock.js';
import {AnswerHead, CallerRequest} from './caller_request.js';
import {REQUEST_KIND} from './deployment.js';
import {RelayCall} from './relay_call.js';
import {BODY_END, BodyEnd, TargetAnswer} from './target_port.js';

/** Size up to which a plain answer is buffered until it is complete. */
const HELD_BYTES = 256 * 1024;

/**
 * Minimum time without an event after which a resumable stream is continued on
 * another target. The limit is one latency objective, because a stream that
 * stalls for that long is late already, but at least a second. Callers
 * disconnect after a gap of two seconds or four objectives, whichever is
 * longer.
 */
const MIN_STREAM_SILENCE_MS = 1_000;

/** How the relay of an answer ended. */
export const RELAYED = {
  /** The caller received the complete answer. */
  whole: 'whole',
  /** The answer broke off. */
  broken: 'broken',
} as const;

/** One of {@link RELAYED}. */
export type Relayed = (typeof RELAYED)[keyof typeof RELAYED];

/**
 * Relays answers to callers. Events are forwarded as they arrive; small plain
 * answers are buffered and forwarded once complete.
 */
export class AnswerRelay<
  Req extends CallerRequest<Head>,
  Head extends AnswerHead,
> {
  /** @param clock - measures the time between events of a stream. */
  constructor(private readonly clock: Clock) {}

  /**
   * Relays an answer until it ends.
   *
   * @param req - the request to answer.
   * @param call - the state of the request.
   * @param answer - the answer of the target.
   * @returns whether the caller received the complete answer. After `broken`,
   *     the caller has received no part of a plain answer unless
   *     `call.isHeadSent`, and only whole events of a resumable stream.
   */
  async relay(
    req: Req,
    call: RelayCall<Req>,
    answer: TargetAnswer<Head>,
  ): Promise<Relayed> {
    const isStream = call.route.kind === REQUEST_KIND.stream;
    const end = isStream
      ? await this.relayStream(req, call, answer)
      : await this.relayPlain(req, call, answer);
    return end === BODY_END.complete ? RELAYED.whole : RELAYED.broken;
  }

  private async relayStream(
    req: Req,
    call: RelayCall<Req>,
    answer: TargetAnswer<Head>,
  ): Promise<BodyEnd> {
    const {splitter} = call;
    splitter?.restart();
    const silenceMs = Math.max(MIN_STREAM_SILENCE_MS, call.route.objectiveMs);
    const watch = splitter && new SilenceWatch(this.clock, answer, silenceMs);
    this.begin(req, call, answer.head);
    const end = await answer.read(chunk => {
      call.noteBytes();
      if (splitter === undefined) return req.write(chunk);
      const {lastId} = splitter;
      const bytes = splitter.push(chunk);
      // Comments and partial events do not count as progress.
      if (splitter.lastId !== lastId) watch!.heard();
      if (splitter.isOverlong) answer.discard();
      return bytes.length === 0 ? undefined : req.write(bytes);
    });
    watch?.stop();
    if (end !== BODY_END.complete) return end;
    const rest = splitter?.flush();
    if (rest !== undefined && rest.length > 0) void req.write(rest);
    req.end();
    return end;
  }

  private async relayPlain(
    req: Req,
    call: RelayCall<Req>,
    answer: TargetAnswer<Head>,
  ): Promise<BodyEnd> {
    const held: Buffer[] = [];
    let heldBytes = 0;
    const end = await answer.read(chunk => {
      if (call.hasBegun) return req.write(chunk);
      held.push(chunk);
      heldBytes += chunk.length;
      if (heldBytes <= HELD_BYTES) return undefined;
      return this.release(req, call, answer.head, held);
    });
    if (end !== BODY_END.complete) return end;
    if (!call.hasBegun) void this.release(req, call, answer.head, held);
    req.end();
    return end;
  }

  private release(
    req: Req,
    call: RelayCall<Req>,
    head: Head,
    held: Buffer[],
  ): Promise<void> | undefined {
    this.begin(req, call, head);
    call.noteBytes();
    return held.length === 0 ? undefined : req.write(Buffer.concat(held));
  }

  private begin(req: Req, call: RelayCall<Req>, head: Head): void {
    if (call.hasBegun) return;
    call.hasBegun = true;
    call.status = head.status;
    req.begin(head);
  }
}

/** Discards an answer that makes no progress for too long. */
class SilenceWatch {
  private heardMs: number;
  private timer: Timer;

  constructor(
    private readonly clock: Clock,
    private readonly answer: TargetAnswer,
    private readonly limitMs: number,
  ) {
    this.heardMs = clock.now();
    this.timer = this.arm(limitMs);
  }

  heard(): void {
    this.heardMs = this.clock.now();
  }

  stop(): void {
    this.timer.cancel();
  }

  private arm(delayMs: number): Timer {
    return this.clock.after(delayMs, () => {
      const silentMs = this.clock.now() - this.heardMs;
      const leftMs = this.limitMs - silentMs;
      if (leftMs <= 0) this.answer.discard();
      else this.timer = this.arm(leftMs);
    });
  }
}
