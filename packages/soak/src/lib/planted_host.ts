/** A faulty host, which shows that each check can fail. @packageDocumentation */

import {IncomingMessage, Server, ServerResponse, createServer} from 'node:http';
import {AddressInfo} from 'node:net';
import {FAULTY_ANSWER} from '@fuchsiacleat/standins';
import {Dispatcher, request} from 'undici';
import {SentRequest} from './request_ledger.js';
import {PIECE_OF, PROMISE, PromiseName} from './soak_checks.js';
import {LinkedWorker, SoakWorld} from './soak_world.js';

/** Its name as a host, and as the holder that sends its orders. */
const PLANTED_NAME = 'planted';

/** Fencing number of its first orders. */
const PLANTED_FENCING = 1_000;

const ORDER_INTERVAL_MS = 100;
const ATTEMPT_ID_HEADER = 'x-fuchsiacleat-attempt-id';
const STAMP_HEADER = 'x-fuchsiacleat-server-stamp';

/** Promises that orders break. */
const ORDER_FAULTS: readonly PromiseName[] = [
  PROMISE.singleHolder,
  PROMISE.risingNumber,
  PROMISE.ownNumber,
  PROMISE.memory,
];

/** Forwards requests to workers and breaks one chosen promise. */
export class PlantedHost {
  private readonly server: Server;
  private timer: NodeJS.Timeout | undefined;
  private loads = 0;

  /**
   * @param world - deployment whose workers it uses.
   * @param fault - the promise to break; the run itself breaks some of them.
   */
  constructor(
    private readonly world: SoakWorld,
    private readonly fault: PromiseName,
  ) {
    this.server = createServer((req, res) => {
      // A failed request gets no response, so that it adds no other violation.
      this.handle(req, res).catch(() => res.destroy());
    });
  }

  /** URL for callers; valid once the host is started. */
  get url(): string {
    const {port} = this.server.address() as AddressInfo;
    return `http://127.0.0.1:${port}`;
  }

  /** Starts listening, and sending orders or requests if the fault requires it. */
  async start(): Promise<void> {
    await new Promise<void>(resolve =>
      this.server.listen(0, '127.0.0.1', resolve),
    );
    if (this.fault === PROMISE.limit) await this.exceedLimit();
    if (!ORDER_FAULTS.includes(this.fault)) return;
    this.timer = setInterval(() => void this.sendOrder(), ORDER_INTERVAL_MS);
  }

  /** Closes all connections and stops listening. */
  async stop(): Promise<void> {
    clearInterval(this.timer);
    this.server.closeAllConnections();
    await new Promise(resolve => this.server.close(resolve));
  }

  private async handle(
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<void> {
    let body = '';
    for await (const chunk of req) body += String(chunk);
    const id = String(req.headers[ATTEMPT_ID_HEADER]);
    const isStream = req.headers['x-fuchsiacleat-model'] !== undefined;
    const part =
      this.fault === PROMISE.wholeDespiteFault
        ? await this.receivePart(id, isStream, body)
        : '';
    const answer = await this.forward(id, isStream, body);
    if (this.fault === PROMISE.runsOnce) await this.forward(id, isStream, body);
    if (this.fault === PROMISE.answered) {
      res.destroy();
      return;
    }
    if (this.fault === PROMISE.truthfulRefusal) {
      res.writeHead(503).end();
      return;
    }
    // As many bytes as the announced length; the rest is dropped.
    const text =
      part === ''
        ? this.spoil(answer.body)
        : (part + answer.body).slice(0, answer.body.length);
    if (answer.stamp !== undefined) res.setHeader(STAMP_HEADER, answer.stamp);
    if (this.fault === PROMISE.visibleEnd)
      res.useChunkedEncodingByDefault = false;
    else res.setHeader('content-length', Buffer.byteLength(text));
    res.writeHead(answer.status);
    if (this.fault === PROMISE.rightPart)
      res.write(text.slice(1), () => res.destroy());
    else res.end(text);
  }

  /** Returns what a worker sends before it breaks its answer off. */
  private async receivePart(
    id: string,
    isStream: boolean,
    body: string,
  ): Promise<string> {
    const {standin} = this.workerFor(isStream);
    standin.plannedFaults.set(id, [FAULTY_ANSWER.cut]);
    const res = await this.send(id, isStream, body);
    let part = '';
    try {
      for await (const chunk of res.body) part += String(chunk);
    } catch {
      // The worker broke off, as planned.
    }
    return part;
  }

  /**
   * Passes one request of the limited team more on than a whole window allows.
   * How many the callers send depends on the machine.
   */
  private async exceedLimit(): Promise<void> {
    const {requests} = this.world.limit;
    const sent: Array<Promise<void>> = [];
    for (let i = 0; i <= requests; i++)
      sent.push(this.sendLimited(`${PLANTED_NAME}-${i}`));
    await Promise.all(sent);
  }

  /** Sends a request of the limited team, as one of its callers would. */
  private async sendLimited(id: string): Promise<void> {
    const request: SentRequest = {
      id,
      route: 'once',
      key: this.world.limit.key,
      host: PLANTED_NAME,
      sentMs: performance.now(),
      wasHostUndisturbed: true,
      isComplete: false,
    };
    this.world.ledger.add(request);
    const {body, stamp, status} = await this.forward(id, false, '');
    const endedMs = performance.now();
    Object.assign(request, {body, endedMs, isComplete: true, stamp, status});
  }

  /** Returns the body that the caller gets. */
  private spoil(body: string): string {
    if (this.fault === PROMISE.wholeAnswer)
      return body.slice(0, body.length / 2);
    if (this.fault !== PROMISE.oneVersion) return body;
    return body.replace(PIECE_OF.v1, PIECE_OF.v2);
  }

  private async forward(
    id: string,
    isStream: boolean,
    requestBody: string,
  ): Promise<{status: number; body: string; stamp?: string}> {
    const res = await this.send(id, isStream, requestBody);
    const stamp = res.headers[STAMP_HEADER];
    return {
      status: res.statusCode,
      body: await res.body.text(),
      stamp: typeof stamp === 'string' ? stamp : undefined,
    };
  }

  private send(
    id: string,
    isStream: boolean,
    requestBody: string,
  ): Promise<Dispatcher.ResponseData> {
    const headers: Record<string, string> = {[ATTEMPT_ID_HEADER]: id};
    if (isStream) headers['x-fuchsiacleat-model'] = 'm1';
    const url = `http://127.0.0.1:${this.workerFor(isStream).standin.port}/`;
    return request(url, {method: 'POST', body: requestBody, headers});
  }

  private workerFor(isStream: boolean): LinkedWorker {
    return this.world.workers.find(({isEngine}) => isEngine === isStream)!;
  }

  private async sendOrder(): Promise<void> {
    const engine = this.world.workers.find(({isEngine}) => isEngine)!;
    const takesTurns =
      this.fault === PROMISE.singleHolder || this.fault === PROMISE.ownNumber;
    const isOtherHolder = takesTurns && this.loads % 2 === 0;
    const Holder = isOtherHolder ? `${PLANTED_NAME}-other` : PLANTED_NAME;
    // For `memory` one holder only loads.
    const Op = this.fault === PROMISE.memory ? 'load' : 'unload';
    this.loads += 1;
    const isFalling = this.fault === PROMISE.risingNumber;
    const Fence = isFalling ? PLANTED_FENCING - this.loads : PLANTED_FENCING;
    const body = JSON.stringify({Op, Model: `m${this.loads}`, Holder, Fence});
    const url = `http://127.0.0.1:${engine.standin.port}/order`;
    try {
      const res = await request(url, {method: 'POST', body});
      await res.body.dump();
    } catch {
      // The worker is being stopped at the end of the run.
    }
  }
}
