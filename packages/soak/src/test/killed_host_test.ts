import {mkdtemp} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {
  ANSWER_END,
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

const BODY = Buffer.from('id: 1\ndata: first\n\nid: 2\ndata: second\n\n');
const SECOND_EVENT_BYTES = BODY.length / 2;

/** Time between the two events, in milliseconds. */
const PAUSE_MS = 2_000;
const KILL_AFTER_MS = 500;
const POLL_MS = 50;

describe('A host that is killed while it passes on an answer', () => {
  let store: PlatformStoreStandin;
  let worker: RawWorker;
  let host: HostProcess;
  let framing: Framing;

  function script({id}: RawWorkerRequest): AnswerScript {
    const headers = ['content-type: text/event-stream'];
    const parts = {id, signature: 'e1.1', body: BODY, framing, headers};
    const answer = rawAnswer({...parts, chunkBytes: BODY.length});
    const bytes = encodeAnswer(answer);
    const first = bytes.subarray(0, -SECOND_EVENT_BYTES);
    const rest = bytes.subarray(-SECOND_EVENT_BYTES);
    return {
      answer,
      steps: [
        {type: 'write', bytes: first},
        {type: 'wait', ms: PAUSE_MS},
        {type: 'write', bytes: rest},
        {type: 'close'},
      ],
    };
  }

  beforeEach(async () => {
    store = new PlatformStoreStandin();
    await store.start();
    const service = SERVICE.engines;
    worker = new RawWorker({id: 'e1', service, isEngine: true, script});
    await worker.start();
    store.put(STORE_TOPIC.targets, worker.id, worker.registration());
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
    worker.stop();
    await store.stop();
  });

  for (const kind of [FRAMING.length, FRAMING.chunks, FRAMING.none]) {
    it(`does not end it as complete (${kind})`, async () => {
      framing = kind;
      const caller = await StrictCaller.open(host.url);
      const request = {path: ROUTE_PATH.stream, id: 'r1', model: 'm1'};
      const answered = caller.call(request);
      await sleep(KILL_AFTER_MS);
      await host.kill();
      const {body, end, status} = await answered;
      caller.destroy();
      expect(status).to.equal(200);
      expect(String(body)).to.include('first').and.not.include('second');
      expect(end).to.equal(ANSWER_END.broken);
    });
  }
});
