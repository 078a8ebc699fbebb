/** Handles chat completion and completion requests. @packageDocumentation */

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
  GenerationRun,
  refuse,
} from '@fuchsiacleat/core';
import {ServerResponse} from 'node:http';
import {RESPONSE_ALREADY_SENT} from '@hono/node-server/utils/response';
import {Result, err, ok} from 'neverthrow';
import {AnswerStream} from './answer_stream.js';
import {errorBody, errorResponse} from './http_outcome.js';
import {IdempotencyGuard} from './idempotency_guard.js';
import {AnswerFormat, CompletionBody} from './openai_format.js';
import {AdmittedRequest} from './request_gate.js';

const MS_PER_SECOND = 1_000;
const STATUS_OK = 200;
const STREAM_HEADERS = {
  'content-type': 'text/event-stream',
  'cache-control': 'no-cache',
};

/** Options of a {@link CompletionHandler}. */
export interface CompletionHandlerOptions {
  config: ConfigStore;
  runner: RequestRunner;
  clock: Clock;
  metrics: Metrics;
  idempotencyGuard: IdempotencyGuard;
}

/** Creates the format of a response. */
export type FormatFactory = (
  id: string,
  model: string,
  createdS: number,
) => AnswerFormat;

/** The connection and the headers of a caller's request. */
export interface CallerContext {
  /** Aborts when the caller disconnects. */
  signal: AbortSignal;
  /** Value of the caller's `Idempotency-Key` header. */
  idempotencyKey: string | undefined;
  /** The HTTP response, to which streamed answers are written directly. */
  outgoing: ServerResponse;
}

/** Destination of a response. */
interface AnswerSink {
  /** Aborts when the response is no longer needed. */
  signal: AbortSignal;
  outgoing: ServerResponse;
  /**
   * Whether a streamed response is returned as a body instead of being written
   * to `outgoing`, so that the idempotency guard can copy it.
   */
  asBody: boolean;
}

/** Runs admitted generation requests and writes their responses. */
export class CompletionHandler {
  constructor(private readonly options: CompletionHandlerOptions) {}

  /**
   * Runs a request.
   *
   * @param admitted - the admitted request; this method finishes it.
   * @param body - the parsed request body.
   * @param makeFormat - creates the format of the response.
   * @param caller - see {@link CallerContext}.
   * @returns the response, streamed if the caller requested that.
   */
  async handle(
    admitted: AdmittedRequest,
    body: CompletionBody,
    makeFormat: FormatFactory,
    caller: CallerContext,
  ): Promise<Response> {
    const {idempotencyKey} = caller;
    const req = this.toRequest(admitted, body);
    if (req.isErr()) {
      admitted.finish(req.error);
      return errorResponse(req.error);
    }
    const {id, repeatable, ...content} = req.value;
    // A request with an idempotency key continues after its caller disconnects,
    // so that a retry gets the response.
    const runsAtMostOnce = idempotencyKey !== undefined && !repeatable;
    return this.options.idempotencyGuard.run(
      admitted,
      idempotencyKey,
      JSON.stringify({...content, stream: body.stream}),
      () => {
        const createdS = this.options.clock.epochNow() / MS_PER_SECOND;
        const format = makeFormat(id, body.route, Math.floor(createdS));
        const {signal, outgoing} = caller;
        const sink = runsAtMostOnce
          ? {signal: new AbortController().signal, outgoing, asBody: true}
          : {signal, outgoing, asBody: false};
        return this.run(admitted, req.value, body.stream, format, sink);
      },
    );
  }

  private run(
    admitted: AdmittedRequest,
    req: GenerationRequest,
    streamed: boolean,
    format: AnswerFormat,
    sink: AnswerSink,
  ): Promise<Response> {
    const cancel = new AbortController();
    const onCancel = () => cancel.abort();
    const {deadlineMs, span, withdrawal} = admitted;
    for (const abortSource of [sink.signal, withdrawal.signal]) {
      abortSource.addEventListener('abort', onCancel);
      if (abortSource.aborted) onCancel();
    }
    const {signal} = cancel;
    const onStart = () => withdrawal.recordStart();
    const context = {deadlineMs, span, signal, onStart};
    const run = withdrawal.wrapRun(this.options.runner.run(req, context));
    if (!streamed) return this.answerWhole(admitted, run, format);
    return this.answerStream(admitted, run, format, onCancel, sink);
  }

  private toRequest(
    {id, team, routeName, route}: AdmittedRequest,
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
    admitted: AdmittedRequest,
    run: GenerationRun,
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
      else answer = format.fullBody(text, step.value);
    }
  }

  /**
   * Streams the response. The status is sent only after the first event, so
   * that a refusal gets its own HTTP status.
   */
  private async answerStream(
    admitted: AdmittedRequest,
    run: GenerationRun,
    format: AnswerFormat,
    cancelRun: () => void,
    {outgoing, asBody}: AnswerSink,
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
      firstStep: first,
      encode: event => sseEvent(JSON.stringify(chunkOf(event, format))),
      encodeEnd: lastEvent,
      cancelRun,
      abortConnection: () => {
        admitted.span.set('connection', 'closed by this host');
        outgoing.destroy();
      },
      finish: admitted.finish,
    });
    if (asBody) {
      return new Response(stream.toReadableStream(), {headers: STREAM_HEADERS});
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
