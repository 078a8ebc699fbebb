import {Worker} from 'node:worker_threads';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {
  PlatformWorld,
  ROUTE_PATH,
  SERVICE,
  STORE_TOPIC,
} from '../../lib/platform_world.js';
import {HELD_MS, holdUp} from './hold_up.js';
import {RawCaller} from '../../lib/raw_caller.js';
import {ThreadAnswer} from './caller_thread.js';

/** Time after the stop for which connections are accepted, in milliseconds. */
const ACCEPT_TIME_MS = 2_600;

/** Time that Node.js adds to the idle timeout, in milliseconds. */
const NODE_IDLE_MARGIN_MS = 1_000;

/** Time of that before the timer of the host is due, in milliseconds. */
const LEAD_MS = 100;

const IDLE_TIMEOUT_MS = 1_000;
const OLDEST_IDLE_MS = (IDLE_TIMEOUT_MS * 4) / 5;

/** Time after the stop at which the host ends what is left. */
const GRACE_END_MS = 3_600;

const SEND_AFTER_STOP_MS = 1_900;

/** Age of a new connection at its first request, in milliseconds. */
const FIRST_REQUEST_AFTER_MS = 300;

/** What callers send that leads to no request. */
const STALLED_PARTS = {
  'a part of a request': 'POST /once/ HTTP/1.1\r\nhost: ',
  'an empty line': '\r\n',
} as const;

describe('GatewayHost with requests that it has not read yet', () => {
  let world: PlatformWorld;

  beforeEach(async () => {
    world = await PlatformWorld.start();
  });

  afterEach(async () => {
    await world.stop();
  });

  /** Starts again with a short idle timeout. */
  async function shortenIdleTimeout(): Promise<void> {
    await world.stop();
    const routes = {idleTimeoutMs: IDLE_TIMEOUT_MS};
    world = await PlatformWorld.start(1, 1, {routes});
  }

  async function openKept(): Promise<RawCaller> {
    const caller = await RawCaller.open(world.callerUrl());
    caller.send({path: ROUTE_PATH.once, id: 'first'});
    await caller.waitForEnd();
    expect(caller.isAnswered).to.equal(true);
    caller.text = '';
    return caller;
  }

  it('does not close a connection as idle with a request in it', async () => {
    await shortenIdleTimeout();
    const caller = await openKept();
    await sleep(OLDEST_IDLE_MS);
    const send = () => caller.send({path: ROUTE_PATH.once, id: 'second'});
    await holdUp(send, NODE_IDLE_MARGIN_MS + HELD_MS);
    await caller.waitForEnd();
    expect(caller.text).to.include('done second');
  });

  it('closes a connection that stays idle', async () => {
    await shortenIdleTimeout();
    const caller = await openKept();
    await holdUp(() => {});
    await sleep(2 * IDLE_TIMEOUT_MS);
    expect(caller.isClosed).to.equal(true);
  });

  it('does not close a kept connection with a request in it when it stops', async () => {
    const caller = await openKept();
    const stopped = world.hosts[0].stop();
    await sleep(ACCEPT_TIME_MS - LEAD_MS);
    await holdUp(() => caller.send({path: ROUTE_PATH.once, id: 'second'}));
    await caller.waitForEnd();
    expect(caller.text).to.match(/^HTTP\/1\.1 (200|503) /);
    await stopped;
  });

  for (const count of [1, 40]) {
    it(`does not close its listener with a queue of ${count} when it stops`, async () => {
      const file = new URL('./caller_thread.js', import.meta.url);
      const workerData = {url: world.callerUrl(), count};
      const thread = new Worker(file, {workerData});
      await new Promise(resolve => thread.once('message', resolve));
      const answers = new Promise<ThreadAnswer[]>(resolve =>
        thread.once('message', resolve),
      );
      const stopped = world.hosts[0].stop();
      await sleep(ACCEPT_TIME_MS - LEAD_MS);
      await holdUp(() => thread.postMessage('send'));
      for (const {text} of await answers)
        expect(text).to.match(/^HTTP\/1\.1 (200|503) /);
      const log = world.lines.join('\n');
      expect(log).to.match(/event=event_loop_held .*held_ms=/);
      await stopped;
    });
  }

  it('does not close a new connection with its first request in it when it stops', async () => {
    const stopped = world.hosts[0].stop();
    await sleep(ACCEPT_TIME_MS - LEAD_MS);
    const caller = await RawCaller.open(world.callerUrl());
    await sleep(FIRST_REQUEST_AFTER_MS);
    await holdUp(() => caller.send({path: ROUTE_PATH.once, id: 'fresh'}));
    await caller.waitForEnd();
    expect(caller.text).to.match(/^HTTP\/1\.1 503 /);
    await stopped;
  });

  for (const [part, text] of Object.entries(STALLED_PARTS)) {
    it(`does not wait for ${part} when it stops`, async () => {
      const caller = await openKept();
      caller.socket.write(text);
      const startMs = performance.now();
      await world.hosts[0].stop();
      expect(performance.now() - startMs).to.be.below(GRACE_END_MS);
    });
  }

  it('does not cut an answer that it has not read when its grace period ends', async () => {
    const file = new URL('./target_thread.js', import.meta.url);
    const lastEventAfterMs = GRACE_END_MS - SEND_AFTER_STOP_MS - LEAD_MS;
    const thread = new Worker(file, {workerData: {lastEventAfterMs}});
    const port = await new Promise(resolve => thread.once('message', resolve));
    const entry = world.engine.registration();
    world.store.put(STORE_TOPIC.targets, 'e1', undefined);
    world.store.put(STORE_TOPIC.targets, 'thread', {
      ...entry,
      Service: SERVICE.engines,
      Addr: `127.0.0.1:${String(port)}`,
    });
    const knows = (line: string) => line.includes('target=thread');
    await world.until(() => world.lines.some(knows));
    const caller = await RawCaller.open(world.callerUrl());
    const stopped = world.hosts[0].stop();
    await sleep(SEND_AFTER_STOP_MS);
    caller.send({path: ROUTE_PATH.stream, id: 'last', model: 'm1'});
    await sleep(lastEventAfterMs - LEAD_MS);
    await holdUp(() => {}, 2 * HELD_MS);
    await caller.waitForEnd();
    expect(caller.text)
      .to.include('data: last')
      .and.match(/\r\n0\r\n\r\n$/);
    await stopped;
    await thread.terminate();
  });
});
