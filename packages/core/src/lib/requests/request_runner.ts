/** The way of a generation request through a host. @packageDocumentation */

import {TokenLimiter, TokenReservation} from '../limits/token_limiter.js';
import {PEER_ERROR, PeerNetwork} from '../peers/peer_network.js';
import {Router} from '../routing/router.js';
import {RequestQueue, Slot} from '../scheduling/request_queue.js';
import {
  ENGINE_ERROR,
  EngineClient,
  EngineError,
} from '../targets/engine_client.js';
import {HOP, HopSpan, Tracing} from '../telemetry/tracing.js';
import {Clock} from '../time/clock.js';
import {FORWARD} from './forward.js';
import {
  GenerationEvent,
  GenerationRequest,
  estimatePromptTokens,
} from './generation.js';
import {FAILURE, Outcome, REFUSAL, fail, refuse} from './outcome.js';

/** What a request carries besides its content. */
export interface RunContext {
  /** Clock time by which the request must have ended, in milliseconds. */
  deadlineMs: number;
  /** The span that encloses the run. */
  span: HopSpan;
  /** Aborts when the caller goes away. */
  signal: AbortSignal;
}

/** What a {@link RequestRunner} works with. */
export interface RequestRunnerOptions {
  limiter: TokenLimiter;
  queue: RequestQueue;
  router: Router;
  network: PeerNetwork;
  tracing: Tracing;
  clock: Clock;
  /** @returns the client of a declared engine. */
  engineOf: (target: string) => EngineClient;
}

/** The events of an answer; the generator returns the outcome. */
export type Run = AsyncGenerator<GenerationEvent, Outcome>;

/**
 * Runs requests: limit, queue, route, target.
 *
 * Every run ends in exactly one outcome.
 */
export class RequestRunner {
  constructor(private readonly options: RequestRunnerOptions) {
    options.network.serve(FORWARD, (body, {signal}) =>
      this.serveForward(
        body.request,
        body.remainingMs,
        body.traceparent,
        signal,
      ),
    );
  }

  /**
   * Runs a request that a caller sent to this host.
   *
   * @param req - the request, already authenticated.
   * @param context - see {@link RunContext}.
   */
  async *run(req: GenerationRequest, context: RunContext): Run {
    const tokens = estimatePromptTokens(req.input) + req.maxTokens;
    const span = this.options.tracing.start(HOP.limit, context.span.context);
    const demand = {team: req.team, tokens, deadlineMs: context.deadlineMs};
    const reserved = await this.options.limiter.reserve(demand, context.signal);
    span.end(reserved.isErr() ? reserved.error.reason : undefined);
    if (reserved.isErr()) return reserved.error;
    return yield* this.runReserved(req, reserved.value, context);
  }

  private async *runReserved(
    req: GenerationRequest,
    reservation: TokenReservation,
    context: RunContext,
  ): Run {
    const promptTokens = estimatePromptTokens(req.input);
    let used = 0;
    try {
      const run = this.route(req, context);
      for (;;) {
        const step = await run.next();
        if (step.done) return step.value;
        if (step.value.type === 'token') {
          used = promptTokens + step.value.offset + 1;
        }
        yield step.value;
      }
    } finally {
      reservation.settle(used);
    }
  }

  private async *route(req: GenerationRequest, context: RunContext): Run {
    const span = this.options.tracing.start(HOP.route, context.span.context);
    const choice = this.options.router.forGeneration(new Set(), req.model);
    span.set('choice', choice.type);
    span.end();
    if (choice.type === 'none') {
      return refuse(REFUSAL.noCapacity, choice.message);
    }
    if (choice.type === 'local') return yield* this.runHere(req, context);
    return yield* this.runAtPeer(choice.host, req, context);
  }

  private async *runHere(req: GenerationRequest, context: RunContext): Run {
    const {queue, tracing} = this.options;
    const tokens = estimatePromptTokens(req.input) + req.maxTokens;
    const demand = {
      requestId: req.id,
      team: req.team,
      model: req.model,
      adapter: req.adapter,
      tokens,
      deadlineMs: context.deadlineMs,
    };
    const span = tracing.start(HOP.queue, context.span.context);
    const slot = await queue.acquire(demand, context.signal);
    span.end(slot.isErr() ? slot.error.reason : undefined);
    if (slot.isErr()) return slot.error;
    try {
      return yield* this.runAtTarget(slot.value, req, context);
    } finally {
      slot.value.release();
    }
  }

  private async *runAtTarget(
    {target}: Slot,
    req: GenerationRequest,
    context: RunContext,
  ): Run {
    const {tracing, engineOf, clock} = this.options;
    const span = tracing.start(HOP.target, context.span.context, {target});
    const late = new AbortController();
    const remainingMs = context.deadlineMs - clock.now();
    const timer = clock.after(remainingMs, () => late.abort());
    const signal = AbortSignal.any([context.signal, late.signal]);
    let error: EngineError | undefined;
    try {
      const traceparent = span.traceparent();
      const options = {resumeFrom: 0, traceparent, signal};
      for await (const event of engineOf(target).generate(req, options)) {
        if (event.isOk()) yield event.value;
        else error = event.error;
      }
    } finally {
      timer.cancel();
      span.end(error?.message);
    }
    if (context.signal.aborted) return {type: 'cancelled'};
    if (late.signal.aborted)
      return fail(FAILURE.deadline, 'the deadline passed');
    return error === undefined ? {type: 'served'} : outcomeOf(error);
  }

  private async *runAtPeer(
    host: string,
    req: GenerationRequest,
    context: RunContext,
  ): Run {
    const {tracing, network, clock} = this.options;
    const span = tracing.start(HOP.peer, context.span.context, {host});
    const forward = {
      request: req,
      remainingMs: context.deadlineMs - clock.now(),
      traceparent: span.traceparent(),
    };
    try {
      for await (const answer of network.open(
        host,
        FORWARD,
        forward,
        context.signal,
      )) {
        if (answer.isErr()) {
          const {type, message} = answer.error;
          if (context.signal.aborted) return {type: 'cancelled'};
          return type === PEER_ERROR.notSent
            ? refuse(REFUSAL.noCapacity, message)
            : fail(FAILURE.peerLost, message);
        }
        const {id, event} = answer.value;
        if (id !== req.id) {
          return fail(FAILURE.peerLost, 'the peer answered another request');
        }
        if (event.type === 'outcome') return event.outcome;
        yield event;
      }
      return fail(FAILURE.peerLost, 'the peer ended without an outcome');
    } finally {
      span.end();
    }
  }

  private async *serveForward(
    req: GenerationRequest,
    remainingMs: number,
    traceparent: string,
    signal: AbortSignal,
  ) {
    const {tracing, clock} = this.options;
    const span = tracing.startRemote(HOP.request, traceparent);
    const deadlineMs = clock.now() + remainingMs;
    const run = this.runHere(req, {deadlineMs, span, signal});
    try {
      for (;;) {
        const step = await run.next();
        const {id} = req;
        if (step.done) {
          yield {id, event: {type: 'outcome' as const, outcome: step.value}};
          return;
        }
        yield {id, event: step.value};
      }
    } finally {
      await run.return({type: 'cancelled'});
      span.end();
    }
  }
}

function outcomeOf(error: EngineError): Outcome {
  const {type, message} = error;
  if (type === ENGINE_ERROR.notSent || type === ENGINE_ERROR.refused) {
    return refuse(REFUSAL.noCapacity, message);
  }
  return fail(FAILURE.targetLost, message);
}
