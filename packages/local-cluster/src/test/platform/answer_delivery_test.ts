import {subscribe, unsubscribe} from 'node:diagnostics_channel';
import {IncomingMessage} from 'node:http';
import {Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {FillingTarget} from '../../lib/filling_target.js';
import {
  PlatformWorld,
  ROUTE_PATH,
  SERVICE,
  STORE_TOPIC,
} from '../../lib/platform_world.js';
import {RawCaller} from '../../lib/raw_caller.js';

const REQUEST_CHANNEL = 'http.server.request.start';

const REQUESTS = {
  plain: {path: ROUTE_PATH.once, id: 'plain'},
  stream: {path: ROUTE_PATH.stream, id: 'stream', model: 'm1'},
};

describe('GatewayHost and a caller that does not read', () => {
  let world: PlatformWorld;
  let target: FillingTarget;
  /** Connections of callers at the host, by request id. */
  const sockets = new Map<unknown, Socket>();

  function recordSocket(message: unknown): void {
    const {request} = message as {request: IncomingMessage};
    if (request.headers['x-fuchsiacleat-key'] === undefined) return;
    sockets.set(request.headers['x-fuchsiacleat-attempt-id'], request.socket);
  }

  beforeEach(async () => {
    subscribe(REQUEST_CHANNEL, recordSocket);
    world = await PlatformWorld.start();
    target = new FillingTarget();
    await target.start();
    for (const id of ['p1', 'p2', 'e1'])
      world.store.put(STORE_TOPIC.targets, id, undefined);
    const services = [SERVICE.plain, SERVICE.engines];
    for (const service of services) {
      const registration = target.registration(service);
      world.store.put(STORE_TOPIC.targets, `filling-${service}`, registration);
    }
    await world.until(() => world.lines.some(isReport));
  });

  afterEach(async () => {
    await world.stop();
    target.stop();
    unsubscribe(REQUEST_CHANNEL, recordSocket);
  });

  function isReport(line: string): boolean {
    const id = `filling-${SERVICE.engines}`;
    return line.includes('event=target_report') && line.includes(id);
  }

  function lineOf(event: string, id: string): string | undefined {
    return world.lines.find(
      line => line.includes(`event=${event} `) && line.includes(`id=${id} `),
    );
  }

  /**
   * Sends a request and waits until its answer has ended at the host, with a
   * part of it that the caller's connection does not take.
   */
  async function fill(
    caller: RawCaller,
    request: (typeof REQUESTS)[keyof typeof REQUESTS],
  ): Promise<void> {
    const {id} = request;
    target.isFull = () => (sockets.get(id)?.writableLength ?? 0) > 0;
    caller.socket.pause();
    caller.send(request);
    await world.until(() => lineOf('request', id) !== undefined);
    expect(lineOf('request', id)).to.include('outcome=served');
    expect(sockets.get(id)?.writableLength).to.be.above(0);
  }

  for (const [kind, request] of Object.entries(REQUESTS)) {
    it(`reports that a ${kind} answer is not taken completely`, async () => {
      const caller = await RawCaller.open(world.callerUrl());
      await fill(caller, request);
      caller.socket.resetAndDestroy();
      const hasEnded = () => lineOf('answer_unsent', request.id) !== undefined;
      await world.until(hasEnded);
      const line = lineOf('answer_unsent', request.id);
      expect(line).to.match(/unsent_bytes=[1-9]/);
      expect(line).to.include('closed_by=caller').and.include('stopping=false');
    });
  }

  it('reports nothing about an answer that is taken completely', async () => {
    const caller = await RawCaller.open(world.callerUrl());
    await fill(caller, REQUESTS.plain);
    caller.socket.resume();
    await caller.waitForEnd();
    expect(caller.isAnswered).to.equal(true);
    caller.socket.destroy();
    await sleep(100);
    expect(lineOf('answer_unsent', REQUESTS.plain.id)).to.equal(undefined);
  });
});
