/** Callers that keep connections open and record every response. @packageDocumentation */

import {Random, SystemClock} from '@fuchsiacleat/core';
import {FRAMING} from '@fuchsiacleat/core/gateway';
import {HOST_NAME, ROUTE_PATH} from '@fuchsiacleat/local-cluster';
import {Client} from 'undici';
import {CRASHING_BODY, LARGE_BODY} from './soak_checks.js';
import {RouteName, SentRequest, isStream} from './request_ledger.js';
import {SOAK_KEY, SoakWorld} from './soak_world.js';

const ROUTES: readonly RouteName[] = [
  'once',
  'repeatable',
  'stream',
  'resumable',
];

/** Fraction of the requests that use the key of the limited team. */
const LIMITED_FRACTION = 0.3;

/** Fraction of the plain requests that crash workers, while any do. */
const CRASHING_FRACTION = 0.2;

/** Fraction of the plain requests with large answers, while there are any. */
const LARGE_FRACTION = 0.3;

const SOUND_BODY = 'x';

/** End of each event of a stream. */
const EVENT_END = '\n\n';

/** Deadline of a request; the routes' own time limit is shorter. */
const DEADLINE_MS = 3_000;
const SOCKET_TIMEOUT_MS = 8_000;

/** Range of a caller's pause between two requests, in milliseconds. */
const MIN_PAUSE_MS = 10;
const MAX_PAUSE_MS = 90;

/** A receiver of requests: a host, or a planted host. */
export interface CallerTarget {
  name: string;
  url: string;
  isUndisturbed: () => boolean;
  isRunning: () => boolean;
}

/** Sends requests one after another, over one connection to each host. */
export class SoakCaller {
  private readonly clients = new Map<string, Client>();
  private readonly clock = new SystemClock();
  private count = 0;

  /**
   * @param name - prefix of its request ids.
   * @param world - deployment whose ledger records the requests.
   * @param targets - receivers to choose from.
   * @param random - chooses targets, routes, keys and pauses.
   */
  constructor(
    private readonly name: string,
    private readonly world: SoakWorld,
    private readonly targets: readonly CallerTarget[],
    private readonly random: Random,
  ) {}

  /** @param signal - when aborted, the caller stops after its current request. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const target = this.random.pick(this.targets);
      if (target.isRunning()) await this.sendRandomRequest(target);
      const pauseMs = this.random.int(MIN_PAUSE_MS, MAX_PAUSE_MS);
      await this.clock.sleep(pauseMs);
    }
    for (const client of this.clients.values()) await client.destroy();
  }

  private async sendRandomRequest(target: CallerTarget): Promise<void> {
    const route = this.random.pick(ROUTES);
    const isLimited = this.random.float() < LIMITED_FRACTION;
    const key = isLimited ? SOAK_KEY.limited : SOAK_KEY.free;
    const request = this.newRequest(target, route, key);
    const mayCrash = this.world.hasCrashingRequest && !isStream(route);
    if (mayCrash && this.random.float() < CRASHING_FRACTION)
      request.requestBody = CRASHING_BODY;
    const mayBeLarge = this.world.hasLargeAnswers && !isStream(route);
    if (mayBeLarge && this.random.float() < LARGE_FRACTION)
      request.requestBody = LARGE_BODY;
    await this.sendRecorded(target, request);
    const {body = '', isComplete} = request;
    const end = body.lastIndexOf(EVENT_END);
    const isBroken = route === 'resumable' && !isComplete && end > 0;
    if (!isBroken) return;
    const next = this.random.pick(this.targets);
    if (!next.isRunning()) return;
    const again = this.newRequest(next, route, key);
    const text = body.slice(0, end + EVENT_END.length);
    again.resumed = {id: request.id, text};
    await this.sendRecorded(next, again);
  }

  private newRequest(
    target: CallerTarget,
    route: RouteName,
    key: string,
  ): SentRequest {
    return {
      id: `${this.name}-${this.count++}`,
      route,
      key,
      host: target.name,
      sentMs: performance.now(),
      wasHostUndisturbed: target.isUndisturbed(),
      isComplete: false,
    };
  }

  private async sendRecorded(
    target: CallerTarget,
    request: SentRequest,
  ): Promise<void> {
    this.world.ledger.add(request);
    try {
      await this.send(target, request);
    } catch (err) {
      // Without a complete response, the ledger entry lacks a status or `isComplete`.
      const {code, message} = err as NodeJS.ErrnoException;
      request.error = code ?? message;
      await this.closeClient(target);
    }
    request.endedMs = performance.now();
    request.wasHostUndisturbed &&= target.isUndisturbed();
  }

  private async send(
    target: CallerTarget,
    request: SentRequest,
  ): Promise<void> {
    const headers: Record<string, string> = {
      host: HOST_NAME,
      'x-fuchsiacleat-attempt-id': request.id,
      'x-fuchsiacleat-deadline-ms': String(DEADLINE_MS),
      'x-fuchsiacleat-key': request.key,
    };
    if (isStream(request.route)) {
      const {requestedModels} = this.world;
      headers['x-fuchsiacleat-model'] =
        request.resumed === undefined
          ? this.random.pick(requestedModels)
          : 'm1';
    }
    if (request.resumed !== undefined) {
      const {id, text} = request.resumed;
      headers['resumes'] = id;
      headers['last-event-id'] = `${text.split(EVENT_END).length - 1}`;
    }
    const res = await this.clientOf(target).request({
      method: 'POST',
      path: ROUTE_PATH[request.route],
      body: request.requestBody ?? SOUND_BODY,
      headers,
    });
    request.status = res.statusCode;
    const stamp = res.headers['x-fuchsiacleat-server-stamp'];
    if (res.headers['content-length'] !== undefined)
      request.framing = FRAMING.length;
    else if (res.headers['transfer-encoding'] !== undefined)
      request.framing = FRAMING.chunks;
    else request.framing = FRAMING.close;
    request.stamp = typeof stamp === 'string' ? stamp : undefined;
    request.body = '';
    for await (const chunk of res.body) request.body += String(chunk);
    request.isComplete = true;
  }

  private clientOf({name, url}: CallerTarget): Client {
    let client = this.clients.get(name);
    if (client === undefined) {
      client = new Client(url, {
        headersTimeout: SOCKET_TIMEOUT_MS,
        bodyTimeout: SOCKET_TIMEOUT_MS,
        connect: {timeout: DEADLINE_MS},
      });
      this.clients.set(name, client);
    }
    return client;
  }

  private async closeClient({name}: CallerTarget): Promise<void> {
    const client = this.clients.get(name);
    this.clients.delete(name);
    await client?.destroy();
  }
}
