import {mkdtemp} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {
  ROUTE_PATH,
  SERVICE,
  STORE_TOPIC,
  StrictCaller,
  TEAM_KEY,
  loopbackAddress,
  nextDeployment,
  platformConfig,
} from '@fuchsiacleat/local-cluster';
import {
  AnswerScript,
  PlatformStoreStandin,
  RawWorker,
  RawWorkerRequest,
  encodeAnswer,
  rawAnswer,
} from '@fuchsiacleat/standins';
import {expect} from 'chai';
import {UNLIMITED_RETRIES} from '../../lib/answers_run.js';
import {
  CrowdCaller,
  LAST_CHUNK,
  chunkedBody,
  crowdHead,
  whenSettled,
} from '../../lib/crowd.js';
import {HostProcess} from '../../lib/host_process.js';
import {ProcessUsage} from '../../lib/process_usage.js';

/**
 * Settings that describe the machine. The memory is that of the platform's
 * smallest machines; the descriptors are fewer, so that a small crowd suffices.
 */
const MACHINE = {MemoryMb: 210, MaxFds: 400} as const;
const BYTES_PER_MB = 1_000_000;

/** Largest body of the configuration. */
const MAX_BODY_BYTES = 4_194_304;

/** Bytes by which the bodies of crowds stop short of their end. */
const SHORT_BYTES = 100;

const ANSWER_BYTES = 200_000;
const SLOW_ANSWER_MS = 2_000;
const POLL_MS = 50;

const LARGE_ANSWER = Buffer.alloc(ANSWER_BYTES, 'a');

/** Answers with a large body, slowly, or at once, by the path. */
function script({id, target}: RawWorkerRequest): AnswerScript {
  const body = target.endsWith('large') ? LARGE_ANSWER : Buffer.from('ok');
  const answer = rawAnswer({id, signature: 'p1.1', body});
  const bytes = encodeAnswer(answer);
  const ms = target.endsWith('slow') ? SLOW_ANSWER_MS : 0;
  return {
    answer,
    steps: [
      {type: 'wait', ms},
      {type: 'write', bytes},
    ],
  };
}

/** Returns many copies of a piece. */
function* repeat(count: number, piece: Buffer): Generator<Buffer> {
  for (let i = 0; i < count; i++) yield piece;
}

describe('A host with untrusted callers', () => {
  let store: PlatformStoreStandin;
  let worker: RawWorker;
  let host: HostProcess;
  let usage: ProcessUsage;
  let crowd: CrowdCaller[];

  beforeEach(async () => {
    crowd = [];
    store = new PlatformStoreStandin();
    await store.start();
    worker = new RawWorker({id: 'p1', service: SERVICE.plain, script});
    await worker.start();
    store.put(STORE_TOPIC.targets, worker.id, worker.registration());
    const teams = [{Name: 'team', ApiKeys: [TEAM_KEY]}];
    store.put(STORE_TOPIC.operator, 'config', platformConfig(1, teams));
    host = new HostProcess({
      name: 'host',
      zone: 'a',
      address: loopbackAddress(nextDeployment(), 0),
      storePort: Number(new URL(store.url).port),
      folder: await mkdtemp(join(tmpdir(), 'fuchsiacleat-callers-')),
      bounds: UNLIMITED_RETRIES,
      machine: MACHINE,
    });
    await host.start();
    while (!(await host.isReady())) await sleep(POLL_MS);
    usage = new ProcessUsage(host.pid!);
  });

  afterEach(async () => {
    for (const caller of crowd) caller.destroy();
    usage.stop();
    await host.dispose();
    worker.stop();
    await store.stop();
  });

  function open(count: number, reads = true): CrowdCaller[] {
    for (let i = 0; i < count; i++)
      crowd.push(new CrowdCaller(host.url, reads));
    return crowd;
  }

  /** Lets all callers of the crowd send, each a request of its own. */
  async function sendAll(
    pieces: (id: string) => Iterable<Buffer>,
  ): Promise<void> {
    crowd.forEach((caller, i) => void caller.send(pieces(`c${i}`)));
    await whenSettled(crowd);
  }

  /** Sends one ordinary request and returns the status of its answer. */
  async function callOnce(): Promise<number> {
    const caller = await StrictCaller.open(host.url);
    const {status} = await caller.call({path: ROUTE_PATH.once, id: 'ordinary'});
    caller.destroy();
    return status;
  }

  /**
   * Checks that the process runs within the machine's limits, and that it
   * answers an ordinary request while the crowd's connections are open.
   */
  async function expectServing(): Promise<void> {
    expect(host.unexpectedExits, 'ends').to.deep.equal([]);
    const status = await callOnce();
    const bytes = (await usage.maxResidentBytes()) ?? Infinity;
    const {MemoryMb, MaxFds} = MACHINE;
    expect(host.unexpectedExits, 'ends').to.deep.equal([]);
    expect(bytes / BYTES_PER_MB, 'memory in MB').to.be.at.most(MemoryMb);
    expect(usage.maxDescriptors, 'descriptors').to.be.at.most(MaxFds);
    expect(status, 'status of the ordinary request').to.equal(200);
  }

  function* stopShort(id: string, bytes: number, chunk: number, key?: string) {
    yield crowdHead({id, key});
    yield* chunkedBody(bytes - SHORT_BYTES, chunk);
  }

  for (const [name, callers, bytes, chunk] of [
    ['64 KiB', 60, MAX_BODY_BYTES, 65_536],
    ['700-byte', 40, MAX_BODY_BYTES, 700],
    ['1-byte', 10, 524_288, 1],
  ] as const) {
    it(`serves others while bodies in ${name} chunks stop short and stay open`, async () => {
      open(callers);
      await sendAll(id => stopShort(id, bytes, chunk));
      await expectServing();
    });
  }

  it('serves others while requests are pipelined ahead of slow answers', async () => {
    const bytes = 3_000_000;
    open(12);
    await sendAll(function* (id) {
      for (let i = 0; i < 10; i++) {
        yield crowdHead({id: `${id}-${i}`, path: 'slow', length: bytes});
        yield* repeat(50, Buffer.alloc(bytes / 50, 'a'));
      }
    });
    await expectServing();
  });

  it('serves others while bodies of an unknown key stop short and stay open', async () => {
    open(60);
    await sendAll(id => stopShort(id, MAX_BODY_BYTES, 65_536, 'unknown'));
    await expectServing();
  });

  it('lets all callers that announce a body over the limit read the refusal', async () => {
    const piece = Buffer.alloc(65_536, 'a');
    open(40);
    await sendAll(function* (id) {
      yield crowdHead({id, length: 2 ** 30});
      yield* repeat(400, piece);
    });
    const refused = crowd.filter(({text}) => text.startsWith('HTTP/1.1 413 '));
    expect(refused).to.have.lengthOf(crowd.length);
    await expectServing();
  });

  it('serves others while bodies exceed the limit without an announcement', async () => {
    open(40);
    await sendAll(function* (id) {
      yield crowdHead({id});
      yield* chunkedBody(5 * MAX_BODY_BYTES, 65_536);
    });
    await expectServing();
  });

  /** Opens connections that send a first piece, and a byte a second from then on. */
  async function trickle(first: (id: string) => Buffer): Promise<void> {
    const callers = open(450);
    await sendAll(id => [first(id)]);
    const next = Buffer.from('a');
    void (async () => {
      while (callers === crowd) {
        for (const caller of callers) void caller.send([next]);
        await sleep(1_000);
      }
    })();
    await sleep(3_000);
  }

  it('serves others while bodies arrive at a byte a second', async () => {
    await trickle(id => crowdHead({id, length: 10_000}));
    await expectServing();
  });

  it('serves others while heads never end', async () => {
    await trickle(id => Buffer.from(`GET /once/${id} HTTP/1.1\r\nx-a: `));
    await expectServing();
  });

  it('serves others while callers do not read their answers', async () => {
    open(20, false);
    await sendAll(function* (id) {
      for (let i = 0; i < 60; i++)
        yield crowdHead({id: `${id}-${i}`, path: 'large', length: 0});
    });
    await sleep(SLOW_ANSWER_MS);
    await expectServing();
  });

  // The limits of the sections above must not be met by a single caller.
  it('serves a body of exactly the limit in 1-byte chunks', async () => {
    const [caller] = open(1);
    await sendAll(function* (id) {
      yield crowdHead({id});
      yield* chunkedBody(MAX_BODY_BYTES, 1);
      yield LAST_CHUNK;
    });
    while (caller.text === '' && !caller.isClosed) await sleep(POLL_MS);
    expect(caller.text).to.match(/^HTTP\/1\.1 200 /);
    await expectServing();
  });
});
