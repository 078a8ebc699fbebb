/** HTTP API for callers. @packageDocumentation */

import {CallerMessage, Logger, REFUSAL, refuse} from '@fuchsiacleat/core';
import {Context, Hono} from 'hono';
import {HttpBindings} from '@hono/node-server';
import {z} from 'zod';
import {CompletionHandler, FormatFactory} from './completion_handler.js';
import {errorResponse} from './http_outcome.js';
import {
  ChatFormat,
  CompletionBody,
  CompletionFormat,
  chatBodySchema,
  completionBodySchema,
} from './openai_format.js';
import {IDEMPOTENCY_HEADER} from './idempotency_guard.js';
import {
  BodyBounds,
  closeUnread,
  createCallerSignal,
  readBody,
} from './request_body.js';
import {DEADLINE_HEADER, GateHeaders, RequestGate} from './request_gate.js';
import {ServiceHandler} from './service_handler.js';
import {ConfigStore} from '@fuchsiacleat/core';

/** Options of the caller API. */
export interface CallerApiOptions {
  gate: RequestGate;
  config: ConfigStore;
  completions: CompletionHandler;
  services: ServiceHandler;
  logger: Logger;
  bodies: BodyBounds;
}

/**
 * Creates the caller API.
 *
 * @param options - see {@link CallerApiOptions}.
 * @returns the routes of the API.
 */
export function createCallerApi(options: CallerApiOptions): Hono {
  const {gate, logger} = options;
  const app = new Hono();
  app.get('/readyz', c =>
    c.text(gate.isReady ? 'ready' : 'stopping', gate.isReady ? 200 : 503),
  );
  app.get('/v1/models', c => listModels(c, options));
  app.post('/v1/chat/completions', c =>
    handleCompletion(
      c,
      options,
      chatBodySchema,
      (...args) => new ChatFormat(...args),
    ),
  );
  app.post('/v1/completions', c =>
    handleCompletion(
      c,
      options,
      completionBodySchema,
      (...args) => new CompletionFormat(...args),
    ),
  );
  app.all('/services/:route', c => handleServiceCall(c, options));
  app.all('/services/:route/*', c => handleServiceCall(c, options));
  app.notFound(c => {
    const message = `no such path: ${c.req.method} ${c.req.path}`;
    return errorResponse(refuse(REFUSAL.unknownRoute, message));
  });
  app.onError(error => {
    logger.error('caller_api_error', {message: error.message});
    return errorResponse(refuse(REFUSAL.badRequest, 'malformed request'));
  });
  return app;
}

function listModels(c: Context, {gate, config}: CallerApiOptions): Response {
  const team = gate.authenticate(gateHeaders(c));
  if (team.isErr()) return errorResponse(team.error);
  const data = [];
  for (const [name, route] of config.state.declared.all('route')) {
    if (route.targets !== undefined) continue;
    if (!route.open && !route.teams?.includes(team.value)) continue;
    data.push({id: name, object: 'model', created: 0, owned_by: team.value});
  }
  return c.json({object: 'list', data});
}

async function handleCompletion(
  c: Context,
  {gate, completions, bodies}: CallerApiOptions,
  schema: z.ZodType<CompletionBody>,
  makeFormat: FormatFactory,
): Promise<Response> {
  const {incoming, outgoing} = callerBindings(c);
  const refusal = gate.refuseUnknownKey(gateHeaders(c));
  if (refusal !== undefined) {
    void closeUnread(incoming, bodies);
    return errorResponse(refusal);
  }
  const body = await readBody(incoming, outgoing, bodies);
  if (body.isErr()) return errorResponse(body.error);
  const json = parseJson(body.value);
  const parsed = schema.safeParse(json);
  if (!parsed.success) {
    const issue = parsed.error.issues[0];
    const message =
      json === undefined
        ? 'the body is not JSON'
        : `${issue.path.join('.')}: ${issue.message}`;
    return errorResponse(refuse(REFUSAL.badRequest, message));
  }
  const admitted = gate.admit(parsed.data.route, gateHeaders(c));
  if (admitted.isErr()) return errorResponse(admitted.error);
  return completions.handle(admitted.value, parsed.data, makeFormat, {
    signal: createCallerSignal(outgoing),
    outgoing,
    idempotencyKey: c.req.header(IDEMPOTENCY_HEADER),
  });
}

async function handleServiceCall(
  c: Context,
  {gate, services, bodies}: CallerApiOptions,
): Promise<Response> {
  const routeName = c.req.param('route') ?? '';
  const {incoming, outgoing} = callerBindings(c);
  const refusal = gate.refuseFromHead(routeName, gateHeaders(c));
  if (refusal !== undefined) {
    void closeUnread(incoming, bodies);
    return errorResponse(refusal);
  }
  const body = await readBody(incoming, outgoing, bodies);
  if (body.isErr()) return errorResponse(body.error);
  const admitted = gate.admit(routeName, gateHeaders(c));
  if (admitted.isErr()) return errorResponse(admitted.error);
  const {pathname, search} = new URL(c.req.url);
  const subpath = pathname.slice(`/services/${routeName}`.length);
  const path = (subpath === '' ? '/' : subpath) + search;
  const caller = {signal: createCallerSignal(outgoing), outgoing};
  const bytes = body.value as Uint8Array<ArrayBuffer>;
  return services.handle(admitted.value, c.req.raw, path, bytes, caller);
}

/** The listener creates requests as {@link CallerMessage}. */
function callerBindings(c: Context): HttpBindings & {incoming: CallerMessage} {
  return c.env as HttpBindings & {incoming: CallerMessage};
}

function parseJson(body: Buffer): unknown {
  try {
    return JSON.parse(body.toString('utf8'));
  } catch {
    return undefined;
  }
}

function gateHeaders(c: Context): GateHeaders {
  return {
    authorization: c.req.header('authorization'),
    traceparent: c.req.header('traceparent'),
    deadlineMs: c.req.header(DEADLINE_HEADER),
  };
}
