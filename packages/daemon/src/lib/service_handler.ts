/** Handles calls of plain HTTP services. @packageDocumentation */

import {ServerResponse} from 'node:http';
import {
  CALLER_FRAMING,
  Clock,
  HeldBody,
  MemoryAccount,
  Outcome,
  ServiceEvent,
  ServiceRequest,
  ServiceRun,
  ServiceRunner,
  chooseCallerFraming,
} from '@fuchsiacleat/core';
import {AnswerStream} from './answer_stream.js';
import {errorResponse} from './http_outcome.js';
import {IDEMPOTENCY_HEADER, IdempotencyGuard} from './idempotency_guard.js';
import {AdmittedRequest} from './request_gate.js';

/** Headers that apply to one connection or contain the caller's credentials. */
const DROPPED_HEADERS = new Set([
  'authorization',
  'connection',
  'content-length',
  'cookie',
  'expect',
  'host',
  'keep-alive',
  'proxy-authorization',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

const STATUSES_WITHOUT_BODY = [204, 205, 304];
const NO_BYTES = new Uint8Array(0);

/** Options of a {@link ServiceHandler}. */
export interface ServiceHandlerOptions {
  runner: ServiceRunner;
  idempotencyGuard: IdempotencyGuard;
  clock: Clock;
  /** Counts what is held for callers. */
  account: MemoryAccount;
}

/** Connection of a waiting caller. */
export interface CallerConnection {
  /** Aborts when the caller disconnects. */
  signal: AbortSignal;
  /** The HTTP response. */
  outgoing: ServerResponse;
}

/** Runs admitted calls of plain HTTP services. */
export class ServiceHandler {
  constructor(private readonly options: ServiceHandlerOptions) {}

  /**
   * Runs a call.
   *
   * @param admitted - the admitted request; this method finishes it.
   * @param req - the caller's request.
   * @param path - path and query relative to the service.
   * @param body - the complete request body.
   * @param caller - the caller's connection.
   * @returns the response of the service, or an error response.
   */
  handle(
    admitted: AdmittedRequest,
    req: Request,
    path: string,
    body: Uint8Array<ArrayBuffer>,
    {signal, outgoing}: CallerConnection,
  ): Promise<Response> {
    const {route, id, team, routeName} = admitted;
    const call: ServiceRequest = {
      id,
      team,
      route: routeName,
      targets: route.targets ?? [],
      method: req.method,
      path,
      headers: forwardedHeaders(req.headers),
      body,
      repeatable: route.repeatable,
    };
    const idempotencyKey = req.headers.get(IDEMPOTENCY_HEADER) ?? undefined;
    // Only calls that are compared with others need a copy of the body as text.
    const content =
      idempotencyKey === undefined
        ? ''
        : JSON.stringify([
            routeName,
            req.method,
            path,
            Buffer.from(body).toString('base64'),
          ]);
    // A call with an idempotency key continues after its caller disconnects,
    // so that a retry gets the response.
    const runsAtMostOnce = idempotencyKey !== undefined && !route.repeatable;
    const callerSignal = runsAtMostOnce ? new AbortController().signal : signal;
    return this.options.idempotencyGuard.run(
      admitted,
      idempotencyKey,
      content,
      () => this.run(admitted, call, callerSignal, outgoing),
    );
  }

  private async run(
    admitted: AdmittedRequest,
    call: ServiceRequest,
    callerSignal: AbortSignal,
    outgoing: ServerResponse,
  ): Promise<Response> {
    const abortConnection = () => reset(outgoing);
    const cancel = new AbortController();
    const {deadlineMs, span, withdrawal} = admitted;
    const abortSignals = [callerSignal, cancel.signal, withdrawal.signal];
    const signal = AbortSignal.any(abortSignals);
    const onStart = () => withdrawal.recordStart();
    const context = {deadlineMs, span, signal, onStart};
    const run = withdrawal.wrapRun(this.options.runner.run(call, context));
    const step = await run.next();
    if (step.done) {
      const outcome = step.value;
      admitted.finish(outcome);
      if (outcome.type !== 'served') return errorResponse(outcome);
      throw new Error('service run ended as served without a response head');
    }
    const head = step.value;
    if (head.type !== 'head')
      throw new Error('service run yielded a chunk before the response head');
    const onCancel = () => cancel.abort();
    const body = await this.answerBody(
      admitted,
      run,
      onCancel,
      abortConnection,
    );
    const {status} = head;
    const headers = forwardedHeaders(new Headers(head.headers));
    if (STATUSES_WITHOUT_BODY.includes(status)) {
      await body.pipeTo(new WritableStream());
      return new Response(null, {status, headers});
    }
    const {useChunkedEncodingByDefault: readsChunks} = outgoing;
    const framing = chooseCallerFraming(false, readsChunks);
    const isHeld = framing === CALLER_FRAMING.held;
    const sent = isHeld ? await this.hold(body, outgoing) : body;
    return new Response(sent, {status, headers});
  }

  /** Returns a whole body, or what is left of it if its connection has ended. */
  private async hold(
    body: ReadableStream<Uint8Array>,
    outgoing: ServerResponse,
  ): Promise<Uint8Array<ArrayBuffer>> {
    const held = new HeldBody(this.options.account, () => reset(outgoing));
    outgoing.once('close', () => held.discard());
    for await (const chunk of body) await held.append(Buffer.from(chunk));
    return new Uint8Array(held.take());
  }

  private async answerBody(
    admitted: AdmittedRequest,
    run: ServiceRun,
    cancelRun: () => void,
    abortConnection: () => void,
  ): Promise<ReadableStream<Uint8Array>> {
    const stream = new AnswerStream<ServiceEvent>({
      clock: this.options.clock,
      deadlineMs: admitted.deadlineMs,
      run,
      firstStep: await run.next(),
      encode: event => (event.type === 'chunk' ? event.data : NO_BYTES),
      encodeEnd: (outcome: Outcome) =>
        outcome.type === 'served' ? NO_BYTES : undefined,
      cancelRun,
      abortConnection,
      finish: admitted.finish,
    });
    return stream.toReadableStream();
  }
}

/** Resets a connection, as its end could look like that of the answer. */
function reset(outgoing: ServerResponse): void {
  const {socket} = outgoing;
  if (socket === null) outgoing.destroy();
  else socket.resetAndDestroy();
}

function forwardedHeaders(headers: Headers): Record<string, string> {
  const passed: Record<string, string> = {};
  for (const [name, value] of headers) {
    if (!DROPPED_HEADERS.has(name)) passed[name] = value;
  }
  return passed;
}
