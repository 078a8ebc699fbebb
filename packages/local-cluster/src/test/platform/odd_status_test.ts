import {
  AnswerScript,
  FRAMING,
  Framing,
  RawWorker,
  RawWorkerRequest,
  closesConnection,
  encodeAnswer,
  rawAnswer,
} from '@fuchsiacleat/standins';
import {expect} from 'chai';
import {
  PlatformWorld,
  ROUTE_PATH,
  SERVICE,
  STORE_TOPIC,
} from '../../lib/platform_world.js';
import {StrictCaller} from '../../lib/strict_caller.js';

/** Numbers that are no status of a final answer: HTTP knows 200 to 599 as such. */
const ODD_STATUSES = [0, 99, 101, 199, 600, 999];
const FRAMINGS: Framing[] = [FRAMING.length, FRAMING.chunks, FRAMING.none];
const ROUTES = [
  ROUTE_PATH.once,
  ROUTE_PATH.repeatable,
  ROUTE_PATH.stream,
  ROUTE_PATH.resumable,
];
const BODY = Buffer.from('id: 1\ndata: piece\n\n');

/** Statuses of a host for requests without an answer of a target. */
const OWN_STATUSES = [502, 504];

/** Answers with the status and the framing that the id of the request names. */
function respond({id}: RawWorkerRequest): AnswerScript {
  const [status, framing, size] = id.split('_');
  const answer = rawAnswer({
    id,
    signature: 's',
    body: size === 'empty' ? Buffer.alloc(0) : BODY,
    status: Number(status),
    reason: 'Odd',
    framing: framing as Framing,
    headers: ['content-type: text/event-stream'],
  });
  const steps: AnswerScript['steps'] = [
    {type: 'write', bytes: encodeAnswer(answer)},
  ];
  if (closesConnection(answer)) steps.push({type: 'close'});
  return {answer, steps};
}

describe('GatewayHost and statuses that HTTP does not have', () => {
  let world: PlatformWorld;
  let workers: RawWorker[];

  beforeEach(async () => {
    workers = [SERVICE.plain, SERVICE.engines].map(service => {
      const isEngine = service === SERVICE.engines;
      return new RawWorker({id: service, service, isEngine, script: respond});
    });
    const prepare = async ({store}: PlatformWorld) => {
      for (const worker of workers) {
        await worker.start();
        store.put(STORE_TOPIC.targets, worker.id, worker.registration());
      }
    };
    world = await PlatformWorld.start(1, 0, {plainCount: 0, prepare});
    await world.until(() =>
      world.lines.some(line => line.includes('event=target_report')),
    );
  });

  afterEach(async () => {
    await world.stop();
    for (const worker of workers) worker.stop();
  });

  /** Returns the status that a caller gets, and whether it bears a signature. */
  async function call(path: string, id: string): Promise<[number, boolean]> {
    const caller = await StrictCaller.open(world.callerUrl());
    const isPlain = path === ROUTE_PATH.once || path === ROUTE_PATH.repeatable;
    const model = isPlain ? undefined : 'm1';
    const {headers, status} = await caller.call({path, id, model});
    caller.destroy();
    return [status, headers.has('x-fuchsiacleat-server-stamp')];
  }

  // A client may read an unknown status as it likes, as a success too.
  for (const odd of ODD_STATUSES)
    it(`passes on no answer with status ${odd}`, async () => {
      const ids = FRAMINGS.map(framing => `${odd}_${framing}_body`);
      ids.push(`${odd}_${FRAMING.length}_empty`);
      const calls = ROUTES.flatMap(path =>
        ids.map(async id => {
          const [status, isSigned] = await call(path, `${id}_${path}`);
          const text = `${status} for ${path}, ${id}`;
          expect(status, text).to.be.oneOf(OWN_STATUSES);
          expect(isSigned, text).to.equal(false);
        }),
      );
      await Promise.all(calls);
      const [next] = await call(ROUTE_PATH.once, `200_${FRAMING.length}_body`);
      expect(next, 'next request').to.equal(200);
    });

  it('passes on each final status that HTTP has', async () => {
    for (const known of [200, 299, 302, 404, 418, 499, 599]) {
      const id = `${known}_${FRAMING.length}_body`;
      const [status, isSigned] = await call(ROUTE_PATH.once, id);
      expect([status, isSigned]).to.deep.equal([known, true]);
    }
  });
});
