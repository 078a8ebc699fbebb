/** Relays the answer of a target to the caller. @packageDocumentation */

import {ProcessWatch} from '../net/process_watch.js';
import {TaskSupervisor} from '../tasks/task_supervisor.js';
import {Clock} from '../time/clock.js';
import {EndedBody, doubtOf} from './answer_completeness.js';
import {FRAMING} from './answer_framing.js';
import {AnswerHead, CallerRequest} from './caller_request.js';
import {REQUEST_KIND} from './deployment.js';
import {END_EVIDENCE, EndFinding, isComplete} from './end_evidence.js';
import {EventBoundary} from './event_boundary.js';
import {RelayCall} from './relay_call.js';
import {StallHandler, StallMonitor} from './stall_monitor.js';
import {TargetAnswer} from './target_port.js';
import {KnownTarget} from './target_table.js';

/** Size up to which a plain answer is buffered until it is complete. */
const MAX_BUFFERED_BYTES = 256 * 1024;

/**
 * Minimum time without an event after which the target of a resumable stream is
 * checked. The limit is one latency objective, because a stream that stalls for
 * that long is late already, but at least a second. Callers disconnect after a
 * gap of two seconds or four objectives, whichever is longer.
 */
const MIN_STREAM_STALL_MS = 1_000;

/**
 * Time limits for a sign that a process has outlived its answer, in milliseconds.
 * A request that may run again need not wait for long.
 */
const WATCH_TIMEOUT_MS = {again: 500, once: 3_000};

/** How the relay of an answer ended. */
export const RELAY_RESULT = {
  /** The caller received the complete answer. */
  whole: 'whole',
  /** The answer broke off. */
  broken: 'broken',
} as const;

/** One of {@link RELAY_RESULT}. */
export type RelayResult = (typeof RELAY_RESULT)[keyof typeof RELAY_RESULT];

/** The body of an answer that has been relayed as far as it may be. */
interface RelayedBody extends EndedBody {
  /** Passes on what was held back until the answer was known to be whole. */
  passRest(): void;
}

/** Dependencies of an {@link AnswerRelay}. */
export interface AnswerRelayParts<
  Req extends CallerRequest<Head>,
  Head extends AnswerHead,
> {
  clock: Clock;
  /** Watches the progress of streams. */
  tasks: TaskSupervisor;
  /** Called once the head of an answer was passed on. */
  onBegun: (call: RelayCall<Req>, answer: TargetAnswer<Head>) => void;
  /** Called before whole events of a resumable stream are passed on. */
  onEvents: (call: RelayCall<Req>) => void;
  /** Called with what is known of the end of an answer without a length. */
  onEnd: (
    call: RelayCall<Req>,
    answer: TargetAnswer<Head>,
    finding: EndFinding,
  ) => void;
  /** Begins to watch the process of a target. */
  watch: (target: KnownTarget) => ProcessWatch;
}

/**
 * Relays answers to callers. Events are forwarded as they arrive; small plain
 * answers are buffered and forwarded once complete.
 */
export class AnswerRelay<
  Req extends CallerRequest<Head>,
  Head extends AnswerHead,
> {
  /** @param parts - see {@link AnswerRelayParts}. */
  constructor(private readonly parts: AnswerRelayParts<Req, Head>) {}

  /**
   * Relays an answer until it ends.
   *
   * @param call - the state of the request.
   * @param target - the target.
   * @param answer - its answer.
   * @param stalls - decides about a stream that makes no progress.
   * @returns whether the caller received the complete answer. After `broken`,
   *     the caller has received no part of a plain answer unless
   *     `call.isHeadSent`, and only whole events of a resumable stream.
   */
  async relay(
    call: RelayCall<Req>,
    target: KnownTarget,
    answer: TargetAnswer<Head>,
    stalls: StallHandler,
  ): Promise<RelayResult> {
    const isTold = answer.head.framing !== FRAMING.close;
    const watch = isTold ? undefined : this.parts.watch(target);
    try {
      const isStream = call.route.kind === REQUEST_KIND.stream;
      const body = isStream
        ? await this.relayStream(call, answer, stalls, watch)
        : await this.relayPlain(call, answer, watch);
      call.recordEndOfBody();
      const finding =
        doubtOf(answer.head, call.answer.head, body) ??
        (await this.findEvidence(call, watch));
      call.endFinding = finding;
      if (!isTold) this.parts.onEnd(call, answer, finding);
      if (!isComplete(finding)) return RELAY_RESULT.broken;
      body.passRest();
      call.answer.end();
      return RELAY_RESULT.whole;
    } finally {
      watch?.close();
    }
  }

  /** Finds what shows that the target has ended its answer of itself. */
  private async findEvidence(
    call: RelayCall<Req>,
    watch: ProcessWatch | undefined,
  ): Promise<EndFinding> {
    if (watch === undefined) return END_EVIDENCE.told;
    const {again, once} = WATCH_TIMEOUT_MS;
    const timeoutMs = call.canRunAgain ? again : once;
    return watch.check(Math.min(timeoutMs, call.remainingMs), call.signal);
  }

  private async relayStream(
    call: RelayCall<Req>,
    answer: TargetAnswer<Head>,
    stalls: StallHandler,
    watch: ProcessWatch | undefined,
  ): Promise<RelayedBody> {
    const {splitter} = call;
    splitter?.discardPartialEvent();
    const maxStallMs = Math.max(MIN_STREAM_STALL_MS, call.route.objectiveMs);
    const monitor = call.canRunAgain
      ? new StallMonitor(this.parts.clock, maxStallMs, stalls)
      : undefined;
    const ended = new AbortController();
    if (monitor !== undefined) {
      const watch = () => monitor.run(ended.signal);
      void this.parts.tasks.run('stall_monitor', watch, {id: call.id});
    }
    const boundary = new EventBoundary();
    this.open(call, answer);
    const end = await answer.read(chunk => {
      call.recordReceived(chunk.length);
      watch?.recordReceived();
      call.recordBytes();
      boundary.push(chunk);
      if (splitter === undefined) {
        const passed = call.answer.write(chunk);
        if (passed !== undefined) call.work?.skipPause();
        return passed;
      }
      const {lastId} = splitter;
      const bytes = splitter.push(chunk);
      // Comments and partial events do not count as progress.
      if (splitter.lastId !== lastId) monitor?.recordProgress();
      if (splitter.isTooLong) answer.discard();
      if (bytes.length > 0) this.parts.onEvents(call);
      const written = bytes.length === 0 ? undefined : call.answer.write(bytes);
      if (written !== undefined) {
        call.work?.skipPause();
        monitor?.recordBlocked(written);
      }
      return written;
    });
    ended.abort();
    const passRest = () => {
      const remainingBytes = splitter?.flush();
      if (remainingBytes === undefined || remainingBytes.length === 0) return;
      this.parts.onEvents(call);
      void call.answer.write(remainingBytes);
    };
    const {isInsideEvent} = boundary;
    const {isResumed, receivedBytes: bytes} = call;
    return {end, isInsideEvent, bytes, isResumed, passRest};
  }

  private open(call: RelayCall<Req>, answer: TargetAnswer<Head>): void {
    const isFirst = !call.isHeadSent;
    call.answer.open(answer.head);
    if (isFirst) this.parts.onBegun(call, answer);
  }

  private async relayPlain(
    call: RelayCall<Req>,
    answer: TargetAnswer<Head>,
    watch: ProcessWatch | undefined,
  ): Promise<RelayedBody> {
    const bufferedChunks: Buffer[] = [];
    let bufferedBytes = 0;
    const end = await answer.read(chunk => {
      call.recordReceived(chunk.length);
      watch?.recordReceived();
      if (call.isHeadSent) return call.answer.write(chunk);
      bufferedChunks.push(chunk);
      bufferedBytes += chunk.length;
      if (bufferedBytes <= MAX_BUFFERED_BYTES) return undefined;
      return this.sendBuffered(call, answer, bufferedChunks);
    });
    const passRest = () => {
      if (!call.isHeadSent)
        void this.sendBuffered(call, answer, bufferedChunks);
    };
    const bytes = call.receivedBytes;
    return {end, isInsideEvent: false, bytes, isResumed: false, passRest};
  }

  private sendBuffered(
    call: RelayCall<Req>,
    answer: TargetAnswer<Head>,
    bufferedChunks: Buffer[],
  ): Promise<void> | undefined {
    this.open(call, answer);
    call.recordBytes();
    return bufferedChunks.length === 0
      ? undefined
      : call.answer.write(Buffer.concat(bufferedChunks));
  }
}
