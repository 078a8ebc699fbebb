/** Passes calls on to plain services. @packageDocumentation */

import {
  Clock,
  ConfigStore,
  FAILURE,
  HOP,
  REFUSAL,
  ServiceAnswer,
  TargetClients,
  Tracing,
  Unserved,
  fail,
  refuse,
} from '@fuchsiacleat/core';
import {Readable} from 'node:stream';
import {errorResponse} from './http_outcome.js';
import {Admitted} from './request_gate.js';

/** Headers that concern one connection or hold the caller's key. */
const DROPPED_HEADERS = new Set([
  'authorization',
  'connection',
  'content-length',
  'expect',
  'host',
  'keep-alive',
  'proxy-authorization',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

/** What a {@link ServiceHandler} works with. */
export interface ServiceHandlerOptions {
  zone: string;
  config: ConfigStore;
  targets: TargetClients;
  tracing: Tracing;
  clock: Clock;
}

/** Runs admitted calls of plain services. */
export class ServiceHandler {
  constructor(private readonly options: ServiceHandlerOptions) {}

  /**
   * @param admitted - the request as it was let in; it is finished here.
   * @param req - the caller's request.
   * @param path - path and query below the service.
   * @param body - the whole body.
   * @returns the service's answer, or an error answer.
   */
  async handle(
    admitted: Admitted,
    req: Request,
    path: string,
    body: Buffer,
  ): Promise<Response> {
    const {targets, tracing, clock} = this.options;
    const target = this.chooseTarget(admitted.route.targets ?? []);
    if (target === undefined) {
      const message = `route "${admitted.routeName}" has no service`;
      return end(admitted, refuse(REFUSAL.noCapacity, message));
    }
    const span = tracing.start(HOP.target, admitted.span.context, {target});
    const remainingMs = Math.max(0, admitted.deadlineMs - clock.now());
    const late = AbortSignal.timeout(Math.ceil(remainingMs));
    const headers = passedHeaders(req.headers);
    headers['traceparent'] = span.traceparent();
    const answer = await targets
      .service(target)
      .call(
        {method: req.method, path, headers, body},
        AbortSignal.any([req.signal, late]),
      );
    span.end(answer.isErr() ? answer.error.message : undefined);
    if (answer.isOk()) return passAnswer(admitted, answer.value);
    const {maySent, message} = answer.error;
    if (req.signal.aborted) return end(admitted, {type: 'cancelled'});
    if (!maySent) return end(admitted, refuse(REFUSAL.noCapacity, message));
    const reason = late.aborted ? FAILURE.deadline : FAILURE.targetLost;
    return end(admitted, fail(reason, message));
  }

  /** Prefers a service of this zone. */
  private chooseTarget(names: readonly string[]): string | undefined {
    const {declared} = this.options.config.state;
    const isHere = (name: string) =>
      declared.get('target', name)?.zone === this.options.zone;
    return names.find(isHere) ?? names[0];
  }
}

function end(admitted: Admitted, outcome: Unserved): Response {
  admitted.finish(outcome);
  return errorResponse(outcome);
}

function passAnswer(admitted: Admitted, answer: ServiceAnswer): Response {
  answer.body.once('error', error =>
    admitted.finish(fail(FAILURE.targetLost, error.message)),
  );
  answer.body.once('end', () => admitted.finish({type: 'served'}));
  answer.body.once('close', () => admitted.finish({type: 'cancelled'}));
  const headers = passedHeaders(new Headers(answer.headers));
  const hasBody = ![204, 304].includes(answer.status);
  const body = Readable.toWeb(answer.body) as ReadableStream<Uint8Array>;
  if (!hasBody) answer.body.resume();
  return new Response(hasBody ? body : null, {status: answer.status, headers});
}

function passedHeaders(headers: Headers): Record<string, string> {
  const passed: Record<string, string> = {};
  for (const [name, value] of headers) {
    if (!DROPPED_HEADERS.has(name)) passed[name] = value;
  }
  return passed;
}
