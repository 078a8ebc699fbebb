/** HTTP client of the platform's log. @packageDocumentation */

import {Result, err, ok} from 'neverthrow';
import {Agent, Dispatcher, request} from 'undici';
import {z} from 'zod';
import {withTimeout} from '../time/timeout.js';
import {
  LogError,
  LogPage,
  LogRecord,
  PlatformLog,
  ReadOptions,
} from './platform_log.js';

const ANSWER_TIMEOUT_MS = 3_000;

const appendAnswerSchema = z.object({offsets: z.array(z.number().int())});

const pageSchema = z.object({
  records: z.array(
    z.object({
      offset: z.number().int(),
      id: z.string(),
      atMs: z.number(),
      body: z.unknown(),
    }),
  ),
  next: z.number().int(),
  first: z.number().int(),
});

/** A {@link PlatformLog} over HTTP. */
export class HttpPlatformLog extends PlatformLog {
  private readonly dispatcher: Dispatcher;

  /**
   * @param url - base URL of the service.
   * @param dispatcher - sends the requests; a separate connection pool by
   *     default.
   */
  constructor(
    private readonly url: string,
    dispatcher?: Dispatcher,
  ) {
    super();
    this.dispatcher = dispatcher ?? new Agent({connect: {timeout: 1_000}});
  }

  override async append(
    stream: string,
    records: readonly LogRecord[],
    signal: AbortSignal,
  ): Promise<Result<number[], LogError>> {
    const body = JSON.stringify({records});
    const answer = await this.call('POST', this.path(stream), signal, 0, body);
    return answer.andThen(value =>
      parse(appendAnswerSchema, value).map(parsed => parsed.offsets),
    );
  }

  override async read(
    stream: string,
    from: number,
    {waitMs, signal}: ReadOptions,
  ): Promise<Result<LogPage, LogError>> {
    const path = `${this.path(stream)}?from=${from}&wait_ms=${waitMs}`;
    const answer = await this.call('GET', path, signal, waitMs);
    return answer.andThen(value => parse(pageSchema, value));
  }

  private path(stream: string): string {
    return `/streams/${encodeURIComponent(stream)}/records`;
  }

  private call(
    method: 'GET' | 'POST',
    path: string,
    signal: AbortSignal,
    waitMs: number,
    body?: string,
  ): Promise<Result<unknown, LogError>> {
    const timeoutMs = waitMs + ANSWER_TIMEOUT_MS;
    return withTimeout(timeoutMs, signal, limited =>
      this.fetch(method, path, limited, body),
    );
  }

  private async fetch(
    method: 'GET' | 'POST',
    path: string,
    signal: AbortSignal,
    body: string | undefined,
  ): Promise<Result<unknown, LogError>> {
    try {
      const res = await request(this.url + path, {
        method,
        body,
        headers: {'content-type': 'application/json'},
        signal,
        dispatcher: this.dispatcher,
      });
      if (res.statusCode !== 200) {
        await res.body.dump();
        return unavailable(`status ${res.statusCode}`);
      }
      return ok(await res.body.json());
    } catch (error) {
      return unavailable((error as Error).message);
    }
  }
}

function parse<T>(schema: z.ZodType<T>, value: unknown): Result<T, LogError> {
  const parsed = schema.safeParse(value);
  if (parsed.success) return ok(parsed.data);
  return unavailable('the log sent a malformed response');
}

function unavailable(message: string): Result<never, LogError> {
  return err({type: 'log-unavailable', message});
}
