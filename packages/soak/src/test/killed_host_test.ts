import {mkdtemp} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {
  ANSWER_END,
  ROUTE_PATH,
  ReceivedAnswer,
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
  FRAMING,
  Framing,
  PlatformStoreStandin,
  RawWorker,
  RawWorkerRequest,
  encodeAnswer,
  rawAnswer,
} from '@fuchsiacleat/standins';
import {expect} from 'chai';
import {UNLIMITED_RETRIES} from '../lib/answers_run.js';
import {HostProcess} from '../lib/host_process.js';

const EVENTS = Buffer.from('id: 1\ndata: first\n\nid: 2\ndata: second\n\n');

/** More than a host buffers of a plain answer. */
const PLAIN = Buffer.alloc(600_000, 'a');

/** More than a host and its connection take of a plain answer that is not read. */
const UNREAD = Buffer.alloc(16_000_000, 'a');

/** Time between the two parts of a body, in milliseconds. */
const PAUSE_MS = 2_000;
const KILL_AFTER_MS = 500;
const UNREAD_MS = 1_000;
const POLL_MS = 50;

/** What a worker answers. */
interface Answer {
  path: string;
  body: Buffer;
  contentType: string;
  pauseMs: number;
}

const STREAM: Answer = {
  path: ROUTE_PATH.stream,
  body: EVENTS,
  contentType: 'text/event-stream',
  pauseMs: PAUSE_MS,
};
const PLAIN_ANSWER: Answer = {
  path: ROUTE_PATH.once,
  body: PLAIN,
  contentType: 'text/plain',
  pauseMs: PAUSE_MS,
};
const UNREAD_ANSWER: Answer = {...PLAIN_ANSWER, body: UNREAD, pauseMs: 0};

describe('A host that is killed while it passes on an answer', () => {
  let store: PlatformStoreStandin;
  let workers: RawWorker[];
  let host: HostProcess;
  let framing: Framing;
  let sent: Answer;

  function script({id}: RawWorkerRequest): AnswerScript {
    const {body, contentType, pauseMs} = sent;
    const headers = [`content-type: ${contentType}`];
    const parts = {id, signature: 'e1.1', body, framing, headers};
    const answer = rawAnswer({...parts, chunkBytes: body.length});
    const bytes = encodeAnswer(answer);
    const secondPart = -body.length / 2;
    return {
      answer,
      steps: [
        {type: 'write', bytes: bytes.subarray(0, secondPart)},
        {type: 'wait', ms: pauseMs},
        {type: 'write', bytes: bytes.subarray(secondPart)},
        {type: 'close'},
      ],
    };
  }

  beforeEach(async () => {
    store = new PlatformStoreStandin();
    await store.start();
    const {engines, plain} = SERVICE;
    workers = [
      new RawWorker({id: 'e1', service: engines, isEngine: true, script}),
      new RawWorker({id: 'p1', service: plain, isEngine: false, script}),
    ];
    for (const worker of workers) {
      await worker.start();
      store.put(STORE_TOPIC.targets, worker.id, worker.registration());
    }
    const teams = [{Name: 'team', ApiKeys: [TEAM_KEY]}];
    store.put(STORE_TOPIC.operator, 'config', platformConfig(1, teams));
    host = new HostProcess({
      name: 'host',
      zone: 'a',
      address: loopbackAddress(nextDeployment(), 0),
      storePort: Number(new URL(store.url).port),
      folder: await mkdtemp(join(tmpdir(), 'fuchsiacleat-killed-')),
      bounds: UNLIMITED_RETRIES,
    });
    await host.start();
    while (!(await host.isReady())) await sleep(POLL_MS);
  });

  afterEach(async () => {
    await host.dispose();
    for (const worker of workers) worker.stop();
    await store.stop();
  });

  /** Kills the host during an answer, and returns what its caller received. */
  async function callAndKill(
    answer: Answer,
    version: '1.0' | '1.1',
    unreadMs = 0,
  ): Promise<ReceivedAnswer> {
    sent = answer;
    const caller = await StrictCaller.open(host.url);
    const model = answer === STREAM ? 'm1' : undefined;
    const request = {path: answer.path, id: 'r1', model, version};
    const answered = caller.call(request, unreadMs);
    await sleep(KILL_AFTER_MS);
    await host.kill();
    const received = await answered;
    caller.destroy();
    return received;
  }

  for (const kind of [FRAMING.length, FRAMING.chunks, FRAMING.none]) {
    it(`does not end it as complete (${kind})`, async () => {
      framing = kind;
      const {body, end, status} = await callAndKill(STREAM, '1.1');
      expect(status).to.equal(200);
      expect(String(body)).to.include('first').and.not.include('second');
      expect(end).to.equal(ANSWER_END.broken);
    });

    it(`does not end a plain answer as complete (${kind})`, async () => {
      framing = kind;
      const {body, end, status} = await callAndKill(PLAIN_ANSWER, '1.1');
      expect(status).to.equal(200);
      expect(body.length).to.be.within(1, PLAIN.length - 1);
      expect(end).to.equal(ANSWER_END.broken);
    });

    it(`does not end an answer as complete that is read slowly (${kind})`, async () => {
      framing = kind;
      const received = await callAndKill(UNREAD_ANSWER, '1.1', UNREAD_MS);
      expect(received.status).to.equal(200);
      expect(received.body.length).to.be.below(UNREAD.length);
      expect(received.end).to.equal(ANSWER_END.broken);
    });

    for (const answer of [STREAM, PLAIN_ANSWER])
      it(`does not end it as complete for HTTP/1.0 (${kind}, ${answer.contentType})`, async () => {
        framing = kind;
        const {end} = await callAndKill(answer, '1.0');
        expect(end).to.equal(ANSWER_END.broken);
      });
  }
});
