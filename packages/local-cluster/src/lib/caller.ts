/** Test caller of a local cluster. @packageDocumentation */

import {expectedToken} from '@fuchsiacleat/standins';
import {Agent, Dispatcher, request} from 'undici';
import {SAMPLE_KEY} from './sample_declarations.js';

/** Outcome of a request as its caller sees it. */
export const CALLER_END = {
  served: 'served',
  notRun: 'not_run',
  mayHaveRun: 'may_have_run',
  /** The connection closed before an outcome was sent. */
  cut: 'cut',
  /** No connection to the host was established. */
  unconnected: 'unconnected',
} as const;

/** One of {@link CALLER_END}. */
export type CallerEnd = (typeof CALLER_END)[keyof typeof CALLER_END];

/** Response as a caller sees it. */
export interface CallerAnswer {
  end: CallerEnd;
  /** Undefined if the connection failed before the head. */
  status: number | undefined;
  headers: Record<string, string | string[] | undefined>;
  /** Generated text, or the body of a service's response. */
  text: string;
  /** Error code, if the request was not served. */
  code: string | undefined;
  /** How the connection ended, if it did so before an outcome. */
  closed?: string;
}

/** Response whose head is not an error. */
interface ReadAnswer {
  text: string;
  end: CallerEnd;
  error?: ErrorBody;
  closed?: string;
}

/** Options of {@link Caller.chat}. */
export interface ChatOptions {
  route?: string;
  maxTokens?: number;
  key?: string | null;
  headers?: Record<string, string>;
  signal?: AbortSignal;
  /** Called after each event with the number of received chunks. */
  onToken?: (count: number) => void;
}

/** Options of {@link Caller.service}. */
export interface ServiceOptions {
  route?: string;
  path?: string;
  method?: Dispatcher.HttpMethod;
  key?: string | null;
  headers?: Record<string, string>;
  signal?: AbortSignal;
}

interface ErrorBody {
  code: string;
  outcome: CallerEnd;
}

interface CompletionChunk {
  error?: ErrorBody;
  choices?: Array<{delta?: {content?: string}}>;
}

/** Sends requests to a host, each on a new connection. */
export class Caller {
  /** @param url - base URL of the host's caller API. */
  constructor(private readonly url: string) {}

  /**
   * Sends a streaming chat completion.
   *
   * @param prompt - the user's message.
   * @param options - see {@link ChatOptions}.
   */
  async chat(prompt: string, options: ChatOptions = {}): Promise<CallerAnswer> {
    const {route = 'draft', maxTokens = 8, onToken = () => {}} = options;
    const body = JSON.stringify({
      model: route,
      stream: true,
      max_tokens: maxTokens,
      messages: [{role: 'user', content: prompt}],
    });
    const path = '/v1/chat/completions';
    return this.send('POST', path, body, options, async res => {
      const chunks: CompletionChunk[] = [];
      let isDone = false;
      let closed = 'ended inside the body';
      try {
        await readEvents(res.body, data => {
          if (data === '[DONE]') isDone = true;
          else chunks.push(JSON.parse(data) as CompletionChunk);
          onToken(chunks.length);
        });
      } catch (error) {
        closed = describeError(error);
      }
      const tokens = chunks.map(c => c.choices?.[0]?.delta?.content ?? '');
      const text = tokens.join('');
      const error = chunks.find(chunk => chunk.error !== undefined)?.error;
      if (error !== undefined) return {text, end: error.outcome, error};
      if (isDone) return {text, end: CALLER_END.served};
      return {text, end: CALLER_END.cut, closed};
    });
  }

  /**
   * Calls a plain service.
   *
   * @param body - the call's body.
   * @param options - see {@link ServiceOptions}.
   */
  async service(
    body: string,
    options: ServiceOptions = {},
  ): Promise<CallerAnswer> {
    const {route = 'filing', path = '/cases', method = 'POST'} = options;
    const url = `/services/${route}${path}`;
    return this.send(method, url, body, options, async res => {
      const text = await res.body.text();
      return {text, end: CALLER_END.served};
    });
  }

  private async send(
    method: Dispatcher.HttpMethod,
    path: string,
    body: string,
    {key = SAMPLE_KEY, headers = {}, signal}: ChatOptions,
    read: (res: Dispatcher.ResponseData) => Promise<ReadAnswer>,
  ): Promise<CallerAnswer> {
    const dispatcher = new Agent({headersTimeout: 0, bodyTimeout: 0});
    const authorization =
      key === null ? undefined : {authorization: `Bearer ${key}`};
    let res: Dispatcher.ResponseData | undefined;
    try {
      res = await request(this.url + path, {
        method,
        body,
        headers: {...authorization, ...headers},
        signal,
        dispatcher,
      });
      if (res.headers['x-outcome'] !== undefined) return await readError(res);
      const {error, ...answer} = await read(res);
      const {statusCode: status, headers: received} = res;
      return {...answer, code: error?.code, status, headers: received};
    } catch (error) {
      const {code} = error as NodeJS.ErrnoException;
      const isRefused = code === 'ECONNREFUSED';
      return {
        end: isRefused ? CALLER_END.unconnected : CALLER_END.cut,
        status: res?.statusCode,
        headers: res?.headers ?? {},
        text: '',
        code: undefined,
        closed: describeError(error),
      };
    } finally {
      void dispatcher.destroy();
    }
  }
}

/**
 * Returns the text that engine stand-ins generate.
 *
 * @param prompt - the user's message.
 * @param tokens - number of requested tokens.
 * @returns the text.
 */
export function expectedText(prompt: string, tokens: number): string {
  const offsets = Array.from({length: tokens}, (unused, offset) => offset);
  return offsets.map(offset => expectedToken(prompt, offset)).join('');
}

function describeError(error: unknown): string {
  const {code, message} = error as NodeJS.ErrnoException;
  return code === undefined ? message : `${message} (${code})`;
}

async function readError(res: Dispatcher.ResponseData): Promise<CallerAnswer> {
  const {error} = (await res.body.json()) as {error: ErrorBody};
  const {statusCode: status, headers} = res;
  return {end: error.outcome, status, headers, text: '', code: error.code};
}

async function readEvents(
  body: AsyncIterable<Buffer>,
  onData: (data: string) => void,
): Promise<void> {
  let buffered = '';
  for await (const chunk of body) {
    buffered += chunk.toString();
    const events = buffered.split('\n\n');
    buffered = events.pop() ?? '';
    for (const event of events) onData(event.slice('data: '.length));
  }
}
