/** Passes a target's answer on to the caller. @packageDocumentation */

import {Clock, Timer} from '../time/clock.js';
import {AnswerHead, CallerRequest} from './caller_request.js';
import {REQUEST_KIND} from './deployment.js';
import {RelayCall} from './relay_call.js';
import {BODY_END, BodyEnd, TargetAnswer} from './target_port.js';

/** Bytes of a plain answer that are held until it is known to be whole. */
const HELD_BYTES = 256 * 1024;

/**
 * Time without an event after which a resumable stream goes on at another
 * target: one latency objective, as a stream that paused for that long is late
 * already, and at least a second. Callers leave a stream after a gap of two
 * seconds or four objectives, whichever is longer.
 */
const MIN_STREAM_SILENCE_MS = 1_000;

/** What became of an answer. */
export const RELAYED = {
  /** The caller has all of it. */
  whole: 'whole',
  /** It broke off. */
  broken: 'broken',
} as const;

/** One of {@link RELAYED}. */
export type Relayed = (typeof RELAYED)[keyof typeof RELAYED];

/** Relays answers: events as they come, small plain answers once whole. */
export class AnswerRelay<
  Req extends CallerRequest<Head>,
  Head extends AnswerHead,
> {
  /** @param clock - measures the silence of streams. */
  constructor(private readonly clock: Clock) {}

  /**
   * @param req - whom to answer.
   * @param call - how far the request has come.
   * @param answer - the target's answer.
   * @returns whether the caller has the whole answer. After `broken` nothing
   *     was passed on that another answer could not continue, unless
   *     `call.hasBegun`.
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
      // Comments and parts of an event are no progress.
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

/** Drops an answer that makes no progress for too long. */
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
