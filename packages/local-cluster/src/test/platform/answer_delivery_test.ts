import {subscribe, unsubscribe} from 'node:diagnostics_channel';
import {IncomingMessage} from 'node:http';
import {Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {FillingTarget, LAST_EVENT} from '../../lib/filling_target.js';
import {
  PlatformWorld,
  ROUTE_PATH,
  SERVICE,
  STORE_TOPIC,
} from '../../lib/platform_world.js';
import {RawCaller} from '../../lib/raw_caller.js';

/** Time after the stop for which connections are accepted, in milliseconds. */
const ACCEPT_TIME_MS = 2_600;

/** Within the time that is left after it. */
const READ_DELAY_MS = 300;

const LATE_REQUEST_MS = 500;
const GRACE_MS = 4_000;

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

  /** Connects to the host; a kept connection has brought an answer before. */
  async function open(isKept: boolean): Promise<RawCaller> {
    const caller = await RawCaller.open(world.callerUrl());
    if (!isKept) return caller;
    target.isFull = () => true;
    caller.send({path: ROUTE_PATH.once, id: 'first'});
    await caller.waitForEnd();
    caller.text = '';
    return caller;
  }

  for (const [kind, request] of Object.entries(REQUESTS)) {
    for (const isKept of [false, true]) {
      const connection = isKept ? 'kept' : 'new';
      it(`does not cut an answered ${kind} request on a ${connection} connection when it stops`, async () => {
        const caller = await open(isKept);
        await fill(caller, request);
        const stopped = world.hosts[0].stop();
        await sleep(ACCEPT_TIME_MS + READ_DELAY_MS);
        caller.socket.resume();
        await caller.waitForEnd();
        expect(caller.isAnswered).to.equal(true);
        expect(caller.text).to.include(LAST_EVENT);
        await stopped;
        expect(lineOf('answer_unsent', request.id)).to.equal(undefined);
      });

      it(`does not cut a ${kind} request that it answers on a ${connection} connection while it stops`, async () => {
        const caller = await open(isKept);
        const readMs = performance.now() + ACCEPT_TIME_MS + READ_DELAY_MS;
        const stopped = world.hosts[0].stop();
        await sleep(LATE_REQUEST_MS);
        await fill(caller, request);
        await sleep(Math.max(0, readMs - performance.now()));
        caller.socket.resume();
        await caller.waitForEnd();
        expect(caller.isAnswered).to.equal(true);
        expect(caller.text).to.include(LAST_EVENT);
        await stopped;
        expect(lineOf('answer_unsent', request.id)).to.equal(undefined);
      });
    }
  }

  it('closes idle connections while it waits for an answer to be read', async () => {
    const idle = await open(true);
    const unread = await open(false);
    await fill(unread, REQUESTS.plain);
    const stopped = world.hosts[0].stop();
    await sleep(ACCEPT_TIME_MS + READ_DELAY_MS);
    expect(idle.isClosed).to.equal(true);
    expect(unread.isClosed).to.equal(false);
    unread.socket.resume();
    await unread.waitForEnd();
    expect(unread.isAnswered).to.equal(true);
    await sleep(READ_DELAY_MS);
    expect(unread.isClosed).to.equal(true);
    await stopped;
  });

  it('stops within the grace period although an answer is not read', async () => {
    const caller = await open(false);
    await fill(caller, REQUESTS.plain);
    const startMs = performance.now();
    await world.hosts[0].stop();
    expect(performance.now() - startMs).to.be.within(3_000, GRACE_MS);
    const line = lineOf('answer_unsent', REQUESTS.plain.id);
    expect(line).to.match(/unsent_bytes=[1-9]/);
    expect(line).to.include('closed_by=host').and.include('stopping=true');
  });
});
