import {Worker} from 'node:worker_threads';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {LocalCluster, sampleDeclarations} from '../index.js';
import {HELD_MS, holdUp} from './platform/hold_up.js';
import {RawCaller} from '../lib/raw_caller.js';
import {ThreadAnswer} from './platform/caller_thread.js';

const HOST = 'a-1';

/** Time for which a stopping host accepts connections, in milliseconds. */
const GRACE_MS = 1_000;

/** Time of that before the timer of the host is due, in milliseconds. */
const LEAD_MS = 100;

/** Size of a request body that is refused unread, in bytes. */
const BODY_BYTES = 20_000;

/** Numbers of callers that connect while the event loop is held up. */
const QUEUE_LENGTHS = [1, 40];

/** Idle timeout of Node.js, and the time that it adds, in milliseconds. */
const NODE_IDLE_MS = 5_000;
const NODE_IDLE_MARGIN_MS = 1_000;

describe('Daemon with requests that it has not read yet', () => {
  let cluster: LocalCluster;

  beforeEach(async () => {
    cluster = await LocalCluster.start({
      hosts: [{name: HOST, zone: 'a'}],
      engines: [{name: 'pool-1', zone: 'a'}],
      services: [{name: 'registry-1', zone: 'a'}],
      graceMs: GRACE_MS,
    });
    await cluster.publish([
      ...cluster.platformObjects(),
      ...sampleDeclarations({services: ['registry-1']}),
    ]);
  });

  afterEach(() => cluster.kill());

  function send(caller: RawCaller, body = ''): void {
    caller.send({path: '/services/filing/cases', id: 'raw', body});
  }

  async function openKept(body?: string): Promise<RawCaller> {
    const caller = await RawCaller.open(cluster.callerUrl(HOST));
    send(caller, body);
    await caller.waitForEnd();
    expect(caller.isAnswered).to.equal(true);
    caller.text = '';
    return caller;
  }

  it('does not close a kept connection with a request in it when it stops', async () => {
    const caller = await openKept();
    const stopped = cluster.daemon(HOST).stop();
    await sleep(GRACE_MS - LEAD_MS);
    await holdUp(() => send(caller));
    await caller.waitForEnd();
    expect(caller.text).to.match(/^HTTP\/1\.1 /);
    await stopped;
  });

  for (const count of QUEUE_LENGTHS) {
    it(`does not close its listener with a queue of ${count} when it stops`, async () => {
      const file = new URL('./platform/caller_thread.js', import.meta.url);
      const workerData = {url: cluster.callerUrl(HOST), count};
      const thread = new Worker(file, {workerData});
      await new Promise(resolve => thread.once('message', resolve));
      const answers = new Promise<ThreadAnswer[]>(resolve =>
        thread.once('message', resolve),
      );
      const stopped = cluster.daemon(HOST).stop();
      await sleep(GRACE_MS - LEAD_MS);
      await holdUp(() => thread.postMessage('send'));
      const received = await answers;
      expect(received).to.have.lengthOf(count);
      for (const {text} of received) expect(text).to.match(/^HTTP\/1\.1 /);
      await stopped;
    });
  }

  it('does not close a connection as idle with a request in it', async () => {
    const caller = await openKept();
    await sleep(NODE_IDLE_MS - LEAD_MS);
    await holdUp(() => send(caller), NODE_IDLE_MARGIN_MS + HELD_MS);
    await caller.waitForEnd();
    expect(caller.text).to.match(/^HTTP\/1\.1 /);
  });

  it('closes connections that stay idle', async () => {
    const bodies = ['', 'x'.repeat(BODY_BYTES)];
    const callers = await Promise.all(bodies.map(body => openKept(body)));
    await sleep(NODE_IDLE_MS + NODE_IDLE_MARGIN_MS + HELD_MS);
    for (const {isClosed, text} of callers)
      expect({isClosed, text}).to.deep.equal({isClosed: true, text: ''});
  });
});
