/** Answers chat and plain completions. @packageDocumentation */

import {
  Clock,
  ConfigStore,
  GenerationRequest,
  Metrics,
  Outcome,
  REFUSAL,
  Refusal,
  RequestRunner,
  Run,
  Unserved,
  refuse,
} from '@fuchsiacleat/core';
import {Result, err, ok} from 'neverthrow';
import {errorBody, errorResponse} from './http_outcome.js';
import {AnswerFormat, CompletionBody} from './openai_format.js';
import {Admitted} from './request_gate.js';

const MS_PER_SECOND = 1_000;

/** What a {@link CompletionHandler} works with. */
export interface CompletionHandlerOptions {
  config: ConfigStore;
  runner: RequestRunner;
  clock: Clock;
  metrics: Metrics;
}

/** Runs admitted requests and writes their answers. */
export class CompletionHandler {
  constructor(private readonly options: CompletionHandlerOptions) {}

  /**
   * @param admitted - the request as it was let in; it is finished here.
   * @param body - what the caller asked for.
   * @param makeFormat - makes the format of the answer.
   * @param callerGone - aborts when the caller goes away.
   * @returns the answer, streamed if the caller asked for that.
   */
  async handle(
    admitted: Admitted,
    body: CompletionBody,
    makeFormat: (id: string, model: string, createdS: number) => AnswerFormat,
    callerGone: AbortSignal,
  ): Promise<Response> {
    const req = this.toRequest(admitted, body);
    if (req.isErr()) {
      admitted.finish(req.error);
      return errorResponse(req.error);
    }
    const {clock, runner} = this.options;
    const createdS = Math.floor(clock.epochNow() / MS_PER_SECOND);
    const format = makeFormat(admitted.id, body.route, createdS);
    const cancel = new AbortController();
    const signal = AbortSignal.any([callerGone, cancel.signal]);
    const {deadlineMs, span} = admitted;
    const run = runner.run(req.value, {deadlineMs, span, signal});
    if (!body.stream) return this.answerWhole(admitted, run, format);
    return this.answerStream(admitted, run, format, cancel);
  }

  private toRequest(
    {id, team, routeName, route}: Admitted,
    body: CompletionBody,
  ): Result<GenerationRequest, Refusal> {
    const {declared} = this.options.config.state;
    const adapter = route.adapter;
    const model =
      route.model ??
      (adapter === undefined
        ? undefined
        : declared.get('adapter', adapter)?.model);
    if (model === undefined) {
      const message = `route "${routeName}" does not lead to a model`;
      return err(refuse(REFUSAL.badRequest, message));
    }
    return ok({
      id,
      team,
      route: routeName,
      model,
      adapter,
      input: body.input,
      maxTokens: Math.min(body.maxTokens ?? route.max_tokens, route.max_tokens),
      priority: route.priority,
      repeatable: route.repeatable,
    });
  }

  private async answerWhole(
    admitted: Admitted,
    run: Run,
    format: AnswerFormat,
  ): Promise<Response> {
    let text = '';
    let answer: object | undefined;
    for (;;) {
      const step = await run.next();
      if (step.done) {
        admitted.finish(step.value);
        if (step.value.type !== 'served') return errorResponse(step.value);
        return Response.json(answer);
      }
      if (step.value.type === 'token') text += step.value.text;
      else answer = format.whole(text, step.value);
    }
  }

  /** The status is sent only after the first event, so refusals are plain. */
  private async answerStream(
    admitted: Admitted,
    run: Run,
    format: AnswerFormat,
    cancel: AbortController,
  ): Promise<Response> {
    const startMs = this.options.clock.now();
    let step = await run.next();
    if (step.done && step.value.type !== 'served') {
      admitted.finish(step.value);
      return errorResponse(step.value);
    }
    const waitedMs = this.options.clock.now() - startMs;
    const route = admitted.routeName;
    this.options.metrics.firstToken.observe({route}, waitedMs / MS_PER_SECOND);
    let first = true;
    const stream = new ReadableStream<Uint8Array>(
      {
        pull: async controller => {
          if (step.done) {
            admitted.finish(step.value);
            controller.enqueue(lastEvent(step.value));
            controller.close();
            return;
          }
          const event = step.value;
          const chunk =
            event.type === 'token'
              ? format.tokenChunk(event.text, first)
              : format.endChunk(event);
          first = false;
          controller.enqueue(sseEvent(JSON.stringify(chunk)));
          step = await run.next();
        },
        cancel: async () => {
          cancel.abort();
          await run.return({type: 'cancelled'});
          admitted.finish({type: 'cancelled'});
        },
      },
      {highWaterMark: 1},
    );
    return new Response(stream, {
      headers: {
        'content-type': 'text/event-stream',
        'cache-control': 'no-cache',
      },
    });
  }
}

const encoder = new TextEncoder();

function sseEvent(data: string): Uint8Array {
  return encoder.encode(`data: ${data}\n\n`);
}

function lastEvent(outcome: Outcome): Uint8Array {
  if (outcome.type === 'served') return sseEvent('[DONE]');
  return sseEvent(JSON.stringify(errorBody(outcome as Unserved)));
}
