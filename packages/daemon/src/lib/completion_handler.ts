/** Answers chat and plain completions. @packageDocumentation */

import {
  Clock,
  ConfigStore,
  GenerationEvent,
  GenerationRequest,
  Metrics,
  Outcome,
  REFUSAL,
  Refusal,
  RequestRunner,
  Run,
  refuse,
} from '@fuchsiacleat/core';
import {ServerResponse} from 'node:http';
import {RESPONSE_ALREADY_SENT} from '@hono/node-server/utils/response';
import {Result, err, ok} from 'neverthrow';
import {AnswerStream} from './answer_stream.js';
import {errorBody, errorResponse} from './http_outcome.js';
import {OnceGuard} from './once_guard.js';
import {AnswerFormat, CompletionBody} from './openai_format.js';
import {Admitted} from './request_gate.js';

const MS_PER_SECOND = 1_000;
const STATUS_OK = 200;
const STREAM_HEADERS = {
  'content-type': 'text/event-stream',
  'cache-control': 'no-cache',
};

/** What a {@link CompletionHandler} works with. */
export interface CompletionHandlerOptions {
  config: ConfigStore;
  runner: RequestRunner;
  clock: Clock;
  metrics: Metrics;
  once: OnceGuard;
}

/** Makes the format of an answer. */
export type MakeFormat = (
  id: string,
  model: string,
  createdS: number,
) => AnswerFormat;

/** What a request carries besides its content. */
export interface CallerContext {
  /** Aborts when the caller goes away. */
  signal: AbortSignal;
  /** The caller's `Idempotency-Key`. */
  idempotencyKey: string | undefined;
  /** Takes a streamed answer as it comes. */
  outgoing: ServerResponse;
}

/** Who reads an answer. */
interface Reader {
  /** Aborts when nobody reads any more. */
  signal: AbortSignal;
  outgoing: ServerResponse;
  /** Whether a streamed answer becomes a body, so that it can be copied. */
  asBody: boolean;
}

/** Runs admitted requests and writes their answers. */
export class CompletionHandler {
  constructor(private readonly options: CompletionHandlerOptions) {}

  /**
   * @param admitted - the request as it was let in; it is finished here.
   * @param body - what the caller asked for.
   * @param makeFormat - makes the format of the answer.
   * @param caller - see {@link CallerContext}.
   * @returns the answer, streamed if the caller asked for that.
   */
  async handle(
    admitted: Admitted,
    body: CompletionBody,
    makeFormat: MakeFormat,
    caller: CallerContext,
  ): Promise<Response> {
    const {idempotencyKey} = caller;
    const req = this.toRequest(admitted, body);
    if (req.isErr()) {
      admitted.finish(req.error);
      return errorResponse(req.error);
    }
    const {id, repeatable, ...content} = req.value;
    // A request that runs under a key goes on without its caller, so that a
    // repeat gets the answer.
    const once = idempotencyKey !== undefined && !repeatable;
    return this.options.once.run(
      admitted,
      idempotencyKey,
      JSON.stringify({...content, stream: body.stream}),
      () => {
        const createdS = this.options.clock.epochNow() / MS_PER_SECOND;
        const format = makeFormat(id, body.route, Math.floor(createdS));
        const {signal, outgoing} = caller;
        const reader = once
          ? {signal: new AbortController().signal, outgoing, asBody: true}
          : {signal, outgoing, asBody: false};
        return this.run(admitted, req.value, body.stream, format, reader);
      },
    );
  }

  private run(
    admitted: Admitted,
    req: GenerationRequest,
    streamed: boolean,
    format: AnswerFormat,
    reader: Reader,
  ): Promise<Response> {
    const cancel = new AbortController();
    const onCancel = () => cancel.abort();
    const {deadlineMs, span, withdrawal} = admitted;
    for (const end of [reader.signal, withdrawal.signal]) {
      end.addEventListener('abort', onCancel);
      if (end.aborted) onCancel();
    }
    const {signal} = cancel;
    const onStart = () => withdrawal.noteStart();
    const context = {deadlineMs, span, signal, onStart};
    const run = withdrawal.explain(this.options.runner.run(req, context));
    if (!streamed) return this.answerWhole(admitted, run, format);
    return this.answerStream(admitted, run, format, onCancel, reader);
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
    cancel: () => void,
    {outgoing, asBody}: Reader,
  ): Promise<Response> {
    const {clock, metrics} = this.options;
    const startMs = clock.now();
    const first = await run.next();
    if (first.done && first.value.type !== 'served') {
      admitted.finish(first.value);
      return errorResponse(first.value);
    }
    const waitedS = (clock.now() - startMs) / MS_PER_SECOND;
    metrics.firstToken.observe({route: admitted.routeName}, waitedS);
    const stream = new AnswerStream({
      clock,
      deadlineMs: admitted.deadlineMs,
      run,
      first,
      encode: event => sseEvent(JSON.stringify(chunkOf(event, format))),
      encodeEnd: lastEvent,
      cancel,
      cut: () => outgoing.destroy(),
      finish: admitted.finish,
    });
    if (asBody) {
      return new Response(stream.body(), {headers: STREAM_HEADERS});
    }
    outgoing.writeHead(STATUS_OK, STREAM_HEADERS);
    await stream.writeTo(outgoing);
    return RESPONSE_ALREADY_SENT;
  }
}

const encoder = new TextEncoder();

function chunkOf(event: GenerationEvent, format: AnswerFormat): object {
  if (event.type === 'end') return format.endChunk(event);
  return format.tokenChunk(event.text, event.offset === 0);
}

function sseEvent(data: string): Uint8Array {
  return encoder.encode(`data: ${data}\n\n`);
}

function lastEvent(outcome: Outcome): Uint8Array {
  if (outcome.type === 'served') return sseEvent('[DONE]');
  return sseEvent(JSON.stringify(errorBody(outcome)));
}
