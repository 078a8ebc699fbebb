/** Requests to a deployment and what their callers see. @packageDocumentation */

import {Client} from 'undici';
import {
  HOST_NAME,
  PlatformWorld,
  ROUTE_PATH,
  TEAM_KEY,
} from '../../lib/platform_world.js';

/** Kind of a request, by its route. */
export type Kind = keyof typeof ROUTE_PATH;

/** All kinds. */
export const KINDS = Object.keys(ROUTE_PATH) as Kind[];

/** Kinds of requests that may run once only. */
export const RUNS_ONCE: readonly Kind[] = ['once', 'stream'];

/** Kinds of requests whose answers are streams. */
export const STREAMS: readonly Kind[] = ['stream', 'resumable'];

/** Request and what its caller saw of the answer. */
export interface SeenAnswer {
  id: string;
  kind: Kind;
  host: number;
  /** Time of sending on the monotonic clock, in milliseconds. */
  sentMs: number;
  status?: number;
  body: string;
  /** How the connection ended without a complete answer. */
  error?: string;
  /** Longest time without a byte from sending to the end. */
  maxGapMs: number;
  totalMs: number;
}

/** Options of {@link sendRequest}. */
export interface SendRequestOptions {
  /** Number of the host. */
  host?: number;
  /** Deadline that the request states, in milliseconds. */
  deadlineMs: number;
  /** Aborted when the caller gives up; it never does by default. */
  signal?: AbortSignal;
  headers?: Record<string, string>;
}

/**
 * Sends a request on a new connection.
 *
 * @returns what its caller saw, when the answer has ended.
 */
export async function sendRequest(
  world: PlatformWorld,
  kind: Kind,
  id: string,
  {deadlineMs, headers, host = 0, signal}: SendRequestOptions,
): Promise<SeenAnswer> {
  const isStream = STREAMS.includes(kind);
  const client = new Client(world.callerUrl(host));
  const sentMs = performance.now();
  const seen: SeenAnswer = {
    id,
    kind,
    host,
    sentMs,
    body: '',
    maxGapMs: 0,
    totalMs: 0,
  };
  let lastMs = sentMs;
  const recordProgress = () => {
    const nowMs = performance.now();
    seen.maxGapMs = Math.max(seen.maxGapMs, Math.round(nowMs - lastMs));
    seen.totalMs = Math.round(nowMs - sentMs);
    lastMs = nowMs;
  };
  try {
    const res = await client.request({
      method: 'POST',
      path: ROUTE_PATH[kind],
      body: 'x',
      signal,
      headers: {
        host: HOST_NAME,
        'x-fuchsiacleat-attempt-id': id,
        'x-fuchsiacleat-deadline-ms': String(deadlineMs),
        'x-fuchsiacleat-key': TEAM_KEY,
        ...(isStream ? {'x-fuchsiacleat-model': 'm1'} : {}),
        ...headers,
      },
    });
    seen.status = res.statusCode;
    for await (const chunk of res.body) {
      seen.body += String(chunk);
      recordProgress();
    }
  } catch (err) {
    seen.error = (err as Error).message;
  }
  recordProgress();
  await client.destroy();
  return seen;
}

/** Returns the body of a whole stream of the default pieces. */
export function wholeStream(eventCount: number): string {
  const events = Array.from({length: eventCount}, (unusedItem, i) => {
    return `id: ${i + 1}\ndata: piece\n\n`;
  });
  return events.join('');
}
