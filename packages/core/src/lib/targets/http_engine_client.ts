/** Client of an engine over HTTP. @packageDocumentation */

import {Result, err, ok} from 'neverthrow';
import {Agent, Dispatcher, Pool} from 'undici';
import {createParser} from 'eventsource-parser';
import {Readable} from 'node:stream';
import {z} from 'zod';
import {CheckedClient} from '../net/checked_client.js';
import {withTimeout} from '../time/timeout.js';
import {
  GenerationEvent,
  GenerationRequest,
  generationEventSchema,
} from '../requests/generation.js';
import {
  CacheEvent,
  ENGINE_ERROR,
  EngineClient,
  EngineError,
  FencedOrder,
  GenerateOptions,
  Inventory,
  LoadReport,
  cacheEventSchema,
  inventorySchema,
  loadReportSchema,
} from './engine_client.js';

const CONNECT_TIMEOUT_MS = 1_000;
const QUERY_TIMEOUT_MS = 2_000;
const STATUS_FENCED = 412;

const streamEventSchema = z.object({
  request_id: z.string(),
  event: generationEventSchema,
});

const cancelAnswerSchema = z.object({generated: z.number().int().min(0)});

/** Codes of errors that occur before any byte of the request is sent. */
const NOT_SENT_CODES = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/** An {@link EngineClient} over HTTP and server-sent events. */
export class HttpEngineClient extends EngineClient {
  private pool = createPool();

  /** @param url - base URL of the engine. */
  constructor(private readonly url: string) {
    super();
  }

  override async *generate(
    req: GenerationRequest,
    options: GenerateOptions,
  ): AsyncGenerator<Result<GenerationEvent, EngineError>, void> {
    const opened = await this.open(req, options);
    if (opened.isErr()) {
      yield err(opened.error);
      return;
    }
    const body = opened.value;
    const events: Array<Result<GenerationEvent, EngineError>> = [];
    const parser = createParser({
      onEvent: ({data}) => events.push(parseEvent(data, req.id)),
    });
    const decoder = new TextDecoder();
    try {
      // Reads the Node stream directly: a web stream would cost more than all
      // other processing of a token.
      for await (const chunk of body) {
        parser.feed(decoder.decode(chunk as Buffer, {stream: true}));
        for (const event of events.splice(0)) {
          yield event;
          if (event.isErr() || event.value.type === 'end') return;
        }
      }
      yield broken('the engine closed the stream early');
    } catch (error) {
      yield broken((error as Error).message);
    } finally {
      body.destroy();
    }
  }

  override async cancel(
    requestId: string,
    signal: AbortSignal,
  ): Promise<Result<number, EngineError>> {
    const body = {request_id: requestId};
    const answer = await this.call('POST', '/cancel', body, signal);
    return answer.andThen(value =>
      parse(cancelAnswerSchema, value).map(({generated}) => generated),
    );
  }

  override async order(
    order: FencedOrder,
    signal: AbortSignal,
  ): Promise<Result<void, EngineError>> {
    const answer = await this.call('POST', '/orders', order, signal);
    return answer.map(() => undefined);
  }

  override inventory(
    signal: AbortSignal,
  ): Promise<Result<Inventory, EngineError>> {
    return this.query('/inventory', inventorySchema, signal);
  }

  override report(
    signal: AbortSignal,
  ): Promise<Result<LoadReport, EngineError>> {
    return this.query('/report', loadReportSchema, signal);
  }

  override cacheEvents(
    after: number,
    signal: AbortSignal,
  ): Promise<Result<CacheEvent[], EngineError>> {
    const path = `/cache-events?after=${after}`;
    return this.query(path, z.array(cacheEventSchema), signal);
  }

  override async exportKv(
    requestId: string,
    signal: AbortSignal,
  ): Promise<Result<string, EngineError>> {
    const body = {request_id: requestId};
    const answer = await this.call('POST', '/kv/export', body, signal);
    const schema = z.object({kv: z.string()});
    return answer.andThen(value => parse(schema, value).map(({kv}) => kv));
  }

  override async importKv(
    requestId: string,
    kv: string,
    signal: AbortSignal,
  ): Promise<Result<void, EngineError>> {
    const body = {request_id: requestId, kv};
    const answer = await this.call('POST', '/kv/import', body, signal);
    return answer.map(() => undefined);
  }

  private async open(
    req: GenerationRequest,
    {resume, resumeFrom, version, traceparent, signal}: GenerateOptions,
  ): Promise<Result<Readable, EngineError>> {
    // A connection has failed, so the idle connections may be broken as well.
    if (resume) this.replacePool();
    // A pooled connection may be half closed. If a request written to it gets
    // no response, it is unknown whether it ran, so a request that is not
    // repeatable gets its own connection.
    const isFresh = !req.repeatable;
    const connection = isFresh ? createConnection(this.url) : this.pool;
    try {
      const res = await connection.request({
        origin: this.url,
        method: 'POST',
        path: '/generate',
        headers: {'content-type': 'application/json', traceparent},
        body: JSON.stringify({
          request_id: req.id,
          model: req.model,
          version,
          adapter: req.adapter,
          input: req.input,
          max_tokens: req.maxTokens,
          priority: req.priority,
          resume,
          resume_from: resumeFrom,
        }),
        signal,
      });
      if (isFresh) res.body.once('close', () => void connection.destroy());
      if (res.statusCode === 200) return ok(res.body);
      return err(await readError(res));
    } catch (error) {
      if (isFresh) void connection.destroy();
      return err(toEngineError(error));
    }
  }

  private replacePool(): void {
    void this.pool.close();
    this.pool = createPool();
  }

  private async query<T>(
    path: string,
    schema: z.ZodType<T>,
    signal: AbortSignal,
  ): Promise<Result<T, EngineError>> {
    const answer = await withTimeout(QUERY_TIMEOUT_MS, signal, limitedSignal =>
      this.call('GET', path, undefined, limitedSignal),
    );
    return answer.andThen(value => parse(schema, value));
  }

  private async call(
    method: 'GET' | 'POST',
    path: string,
    body: object | undefined,
    signal: AbortSignal,
  ): Promise<Result<unknown, EngineError>> {
    // Answers to calls do not name them, so that a second copy of an answer would
    // be taken for the next one.
    const connection = createConnection(this.url);
    try {
      const res = await connection.request({
        origin: this.url,
        method,
        path,
        headers: {'content-type': 'application/json'},
        body: body === undefined ? undefined : JSON.stringify(body),
        signal,
      });
      if (res.statusCode !== 200) return err(await readError(res));
      return ok(await res.body.json());
    } catch (error) {
      return err(toEngineError(error));
    } finally {
      void connection.destroy();
    }
  }
}

function createPool(): Dispatcher {
  return new Agent({
    factory: origin => new Pool(origin, {factory: createConnection}),
  });
}

function createConnection(origin: string | URL): Dispatcher {
  return new CheckedClient(origin, {
    connectTimeoutMs: CONNECT_TIMEOUT_MS,
    bodyTimeout: 0,
    headersTimeout: 0,
  });
}

function parseEvent(
  data: string,
  requestId: string,
): Result<GenerationEvent, EngineError> {
  const parsed = parse(streamEventSchema, parseJson(data));
  if (parsed.isErr()) return err(parsed.error);
  if (parsed.value.request_id !== requestId) {
    return broken('the engine answered another request');
  }
  return ok(parsed.value.event);
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

function parse<T>(
  schema: z.ZodType<T>,
  value: unknown,
): Result<T, EngineError> {
  const parsed = schema.safeParse(value);
  if (parsed.success) return ok(parsed.data);
  return broken('the engine sent a malformed answer');
}

async function readError(res: Dispatcher.ResponseData): Promise<EngineError> {
  const text = await res.body.text();
  const body = parseJson(text) as {not_run?: boolean; message?: string};
  const message = body?.message ?? `the engine answered ${res.statusCode}`;
  if (res.statusCode === STATUS_FENCED) {
    return {type: ENGINE_ERROR.fenced, message};
  }
  const notRun = body?.not_run === true;
  return {type: notRun ? ENGINE_ERROR.refused : ENGINE_ERROR.broken, message};
}

function toEngineError(error: unknown): EngineError {
  const {code, message} = error as NodeJS.ErrnoException;
  const notSent = NOT_SENT_CODES.has(code ?? '');
  const type = notSent ? ENGINE_ERROR.notSent : ENGINE_ERROR.broken;
  return {type, message, processEnded: code === 'ECONNREFUSED'};
}

function broken(message: string): Result<never, EngineError> {
  return err({type: ENGINE_ERROR.broken, message});
}
