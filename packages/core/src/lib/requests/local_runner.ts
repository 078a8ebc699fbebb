/** Runs a generation on a target of this host's zone. @packageDocumentation */

import {err} from 'neverthrow';
import {RequestQueue, Slot, SlotDemand} from '../scheduling/request_queue.js';
import {EngineClient} from '../targets/engine_client.js';
import {HOP, Tracing} from '../telemetry/tracing.js';
import {Clock} from '../time/clock.js';
import {Attempt, OnTarget, ResumePoint, RunContext} from './attempt.js';
import {GenerationRequest, estimatePromptTokens} from './generation.js';
import {Cancelled} from './outcome.js';
import {TargetStream} from './target_stream.js';

/** Options of a {@link LocalRunner}. */
export interface LocalRunnerOptions {
  queue: RequestQueue;
  tracing: Tracing;
  clock: Clock;
  /** Returns the client of a declared engine. */
  engineOf: (target: string) => EngineClient;
}

/** Options of one local attempt. */
export interface LocalAttemptOptions {
  /** Targets that failed in earlier attempts. */
  avoid: ReadonlySet<string>;
  /** Called with the target once it is chosen. */
  onTarget?: OnTarget;
  /**
   * Aborts to stop reading without cancelling the run, which stays on the
   * engine and can be resumed there.
   */
  detach?: AbortSignal;
  /** Interrupted run to attach to, instead of starting a new one. */
  resume?: ResumePoint;
}

/** Waits for a slot and streams the response from the slot's target. */
export class LocalRunner {
  constructor(private readonly options: LocalRunnerOptions) {}

  /**
   * Runs one attempt.
   *
   * @param req - the request.
   * @param context - see {@link RunContext}.
   * @param options - see {@link LocalAttemptOptions}.
   */
  async *run(
    req: GenerationRequest,
    context: RunContext,
    options: LocalAttemptOptions,
  ): Attempt {
    const {resume} = options;
    // An interrupted run still occupies its slot on the engine, so it must not
    // wait for a slot again.
    if (resume !== undefined) {
      return yield* this.read(resume.target, req, context, options);
    }
    const slot = await this.acquireSlot(req, context, options);
    if (slot.isErr()) return {outcome: slot.error, generated: 0};
    const {target} = slot.value;
    options.onTarget?.(target);
    try {
      return yield* this.read(target, req, context, options);
    } finally {
      slot.value.release();
    }
  }

  private async acquireSlot(
    req: GenerationRequest,
    context: RunContext,
    {avoid, detach}: LocalAttemptOptions,
  ) {
    const {queue, tracing} = this.options;
    const demand: SlotDemand = {
      requestId: req.id,
      team: req.team,
      model: req.model,
      adapter: req.adapter,
      tokens: estimatePromptTokens(req.input) + req.maxTokens,
      deadlineMs: context.deadlineMs,
      avoid,
    };
    const span = tracing.start(HOP.queue, context.span.context);
    const signals = [context.signal];
    if (detach !== undefined) signals.push(detach);
    const signal = AbortSignal.any(signals);
    const slot = await queue.acquire(demand, signal);
    span.end(slot.isErr() ? slot.error.reason : undefined);
    if (!signal.aborted) return slot;
    if (slot.isOk()) slot.value.release();
    return err<Slot, Cancelled>({type: 'cancelled'});
  }

  private async *read(
    target: string,
    req: GenerationRequest,
    context: RunContext,
    {detach, resume}: LocalAttemptOptions,
  ): Attempt {
    const {tracing, engineOf, clock} = this.options;
    context.onStart?.();
    const span = tracing.start(HOP.target, context.span.context, {target});
    const stream = new TargetStream({
      engine: engineOf(target),
      target,
      req,
      clock,
      deadlineMs: context.deadlineMs,
      traceparent: span.traceparent(),
      callerSignal: context.signal,
      detach,
      resumeFrom: resume?.offset,
    });
    let endType = 'abandoned';
    try {
      const end = yield* stream.run();
      endType = end.outcome.type;
      return end;
    } finally {
      span.end(endType === 'served' ? undefined : endType);
    }
  }
}
