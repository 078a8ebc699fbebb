/** The work of one send, from its start to its end. @packageDocumentation */

import type {KnownTarget} from '../gateway/target_table.js';
import {Clock} from '../time/clock.js';
import {RequestSize} from './request_size.js';
import {Prediction, ServiceWork} from './service_work.js';

/** Pauses below this are chunks of the same event. */
const MIN_PAUSE_MS = 2;

/** Counts a send at its target and observes the pace of the target. */
export class SentWork {
  /** What was predicted when the request was sent. */
  readonly prediction: Prediction;
  /** Time from the send to the first event, once there is one. */
  firstEventMs: number | undefined;
  private readonly startMs: number;
  private readonly typicalFirstMs: number;
  private readonly hadQueue: boolean;
  private lastChunkMs = 0;
  private isSkipped = false;

  /**
   * @param clock - measures the progress.
   * @param target - the target that the request is sent to.
   * @param service - the typical durations of its service.
   * @param size - size of the request.
   * @param isStream - whether the answer is a stream of events.
   */
  constructor(
    private readonly clock: Clock,
    private readonly target: KnownTarget,
    private readonly service: ServiceWork,
    private readonly size: RequestSize,
    private readonly isStream: boolean,
  ) {
    const {own, prefillTokens} = target.work;
    this.prediction = service.predict(target, size);
    this.hadQueue = service.queueAhead(target) > 0;
    const prefill = prefillTokens + size.promptTokens;
    this.typicalFirstMs = service.typicalFirstMs(prefill);
    this.startMs = clock.now();
    own.waiting += 1;
    own.prefillTokens += size.promptTokens;
    own.memoryTokens += size.memoryTokens;
  }

  /** Records bytes of the answer's body. */
  recordChunk(): void {
    const nowMs = this.clock.now();
    if (this.firstEventMs === undefined) this.recordFirst(nowMs);
    else if (this.isStream) this.recordPause(nowMs - this.lastChunkMs);
    this.lastChunkMs = nowMs;
  }

  /**
   * Ignores the pause before the next bytes: the caller, not the target, holds
   * the answer up.
   */
  skipPause(): void {
    this.isSkipped = true;
  }

  /**
   * Stops counting the send.
   *
   * @param isWhole - whether the target has run the request to its end.
   */
  end(isWhole: boolean): void {
    const {own} = this.target.work;
    own.memoryTokens -= this.size.memoryTokens;
    if (this.firstEventMs === undefined) {
      own.waiting -= 1;
      own.prefillTokens -= this.size.promptTokens;
    } else own.running -= 1;
    if (!isWhole || this.firstEventMs === undefined) return;
    const runMs = this.clock.now() - this.startMs - this.firstEventMs;
    if (this.isStream) this.service.runs.record(runMs);
  }

  private recordFirst(nowMs: number): void {
    const {own, pace} = this.target.work;
    own.waiting -= 1;
    own.running += 1;
    own.prefillTokens -= this.size.promptTokens;
    const firstMs = nowMs - this.startMs;
    this.firstEventMs = firstMs;
    // A wait for a slot says nothing about the pace of the target.
    if (!this.isStream || this.hadQueue) return;
    pace.record(firstMs / this.typicalFirstMs);
    const {firstEvents} = this.service;
    const prefillMs = this.typicalFirstMs - firstEvents.value;
    firstEvents.record(firstMs - prefillMs);
  }

  private recordPause(pauseMs: number): void {
    if (pauseMs < MIN_PAUSE_MS) return;
    const isSkipped = this.isSkipped;
    this.isSkipped = false;
    if (isSkipped) return;
    const {pauses} = this.service;
    this.target.work.pace.record(pauseMs / pauses.value);
    pauses.record(pauseMs);
  }
}
