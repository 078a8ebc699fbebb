import {
  AnswerScript,
  AnswerStep,
  FRAMING,
  LAST_CHUNK,
  RawAnswer,
  RawWorker,
  RawWorkerRequest,
  encodeAnswer,
  encodeChunks,
  rawAnswer,
} from '@fuchsiacleat/standins';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {
  PlatformWorld,
  ROUTE_PATH,
  SERVICE,
  STORE_TOPIC,
} from '../../lib/platform_world.js';
import {
  ANSWER_END,
  ReceivedAnswer,
  StrictCaller,
} from '../../lib/strict_caller.js';

/** More than a host buffers of a plain answer. */
const PASSED_ON_BYTES = 300_000;
const LARGE_BYTES = 400_000;
const SMALL_BYTES = 800;
const EXCESS_BYTES = 640_000;

const EVENTS = 12;
/** Events before the first and the second break. */
const FIRST_CUT = 3;
const SECOND_CUT = 7;

/** Time in which bytes of another answer would arrive, in milliseconds. */
const SURPLUS_WAIT_MS = 100;

/** Lets a host read what was written before the connection is reset. */
const UNTIL_READ: AnswerStep = {type: 'wait', ms: 50};

const EVENT_STREAM = 'content-type: text/event-stream';

/** One answer of a worker; `send` counts the sends of the same request from 0. */
type Respond = (
  request: RawWorkerRequest,
  worker: string,
  send: number,
) => AnswerScript;

describe('GatewayHost and answers that break off', () => {
  let world: PlatformWorld;
  let workers: RawWorker[];
  let caller: StrictCaller;

  async function start(respond: Respond, count = 2): Promise<void> {
    const sends = new Map<string, number>();
    workers = [];
    for (const service of [SERVICE.plain, SERVICE.engines]) {
      for (let i = 0; i < count; i++) {
        const id = `${service}-${i}`;
        const script = (request: RawWorkerRequest) => {
          const send = sends.get(request.id) ?? 0;
          sends.set(request.id, send + 1);
          return respond(request, id, send);
        };
        const isEngine = service === SERVICE.engines;
        workers.push(new RawWorker({id, service, isEngine, script}));
      }
    }
    const prepare = async ({store}: PlatformWorld) => {
      for (const worker of workers) {
        await worker.start();
        store.put(STORE_TOPIC.targets, worker.id, worker.registration());
      }
    };
    world = await PlatformWorld.start(1, 0, {plainCount: 0, prepare});
    if (count > 0) await world.until(() => world.lines.some(isReport));
    caller = await StrictCaller.open(world.callerUrl());
  }

  afterEach(async () => {
    caller.destroy();
    await world.stop();
    for (const worker of workers) worker.stop();
  });

  function isReport(line: string): boolean {
    return line.includes('event=target_report');
  }

  /** Expects that an answer that looks complete is a body of its request. */
  async function expectOwnOrBroken(
    id: string,
    {body, end}: ReceivedAnswer,
  ): Promise<void> {
    await sleep(SURPLUS_WAIT_MS);
    expect(caller.surplus.toString('latin1').slice(0, 80)).to.equal('');
    if (end === ANSWER_END.broken) return;
    const runs = workers.flatMap(worker => worker.runs.get(id) ?? []);
    const isOwn = runs.some(({answer}) => answer.body.equals(body));
    const text = `${end} with ${body.length} bytes, after ${runs.length} sends`;
    expect(end === ANSWER_END.whole && isOwn, text).to.equal(true);
  }

  /** Expects that requests are still served, on a new connection if need be. */
  async function expectServed(id: string): Promise<void> {
    if (!caller.isOpen) caller = await StrictCaller.open(world.callerUrl());
    const res = await caller.call({path: ROUTE_PATH.repeatable, id});
    expect(res.status).to.equal(200);
    await expectOwnOrBroken(id, res);
  }

  for (const framing of [FRAMING.length, FRAMING.chunks]) {
    for (const end of ['close', 'reset'] as const) {
      it(`does not continue a plain answer with that of another send (${framing}, ${end})`, async () => {
        await start(({id}, worker, send) => {
          const isBroken = id === 'broken' && send === 0;
          const size = id === 'broken' ? LARGE_BYTES : SMALL_BYTES;
          const body = fill(`${worker} ${id} ${send};`, size);
          const signature = `${worker}.${send}`;
          const answer = rawAnswer({id, signature, body, framing});
          const bytes = encodeAnswer(answer).subarray(0, PASSED_ON_BYTES);
          return isBroken
            ? script(answer, [write(bytes), UNTIL_READ, {type: end}])
            : whole(answer);
        });
        const request = {path: ROUTE_PATH.repeatable, id: 'broken'};
        await expectOwnOrBroken('broken', await caller.call(request));
        await expectServed('next');
      });
    }
  }

  it('does not continue a small answer in chunks that goes on past its end', async () => {
    await start(({id}, worker, send) => {
      const body = fill(`${worker} ${id} ${send};`, SMALL_BYTES);
      const signature = `${worker}.${send}`;
      const framing = FRAMING.chunks;
      const answer = rawAnswer({id, signature, body, framing});
      if (id !== 'excess' || send > 0) return whole(answer);
      const start = encodeAnswer(answer).subarray(0, -LAST_CHUNK.length);
      const excess = encodeChunks(Buffer.alloc(EXCESS_BYTES, '!'), 16_384);
      const steps = [write(start), write(excess), UNTIL_READ];
      return script(answer, [...steps, {type: 'reset'}]);
    });
    const request = {path: ROUTE_PATH.repeatable, id: 'excess'};
    await expectOwnOrBroken('excess', await caller.call(request));
    await expectServed('next');
  });

  it("does not leave bytes of another answer on the caller's connection", async () => {
    await start(({id}, worker, send) => {
      const isBroken = id === 'broken' && send === 0;
      const size = isBroken ? PASSED_ON_BYTES + 1 : LARGE_BYTES;
      const body = fill(`${worker} ${id} ${send};`, size);
      const answer = rawAnswer({id, signature: `${worker}.${send}`, body});
      if (!isBroken) return whole(answer);
      const bytes = encodeAnswer(answer).subarray(0, -1);
      return script(answer, [write(bytes), {type: 'close'}]);
    });
    const first = {path: ROUTE_PATH.repeatable, id: 'broken'};
    const {end} = await caller.call(first);
    if (!caller.isOpen) {
      expect(end).to.equal(ANSWER_END.broken);
      return;
    }
    const next = {path: ROUTE_PATH.repeatable, id: 'next'};
    const res = await caller.call(next);
    expect(`${res.end} ${res.status}`).to.equal('whole 200');
    await expectOwnOrBroken('next', res);
  });

  /** Starts workers of which the first send of `resumed` breaks off. */
  async function startStreams(
    first: Partial<RawAnswer>,
    second: Partial<RawAnswer>,
    secondPiece: string,
    secondCut?: number,
  ): Promise<void> {
    await start(({afterEvent, id}, worker, send) => {
      const isFirst = send === 0;
      const piece = isFirst ? 'piece' : secondPiece;
      const events = (to: number) => eventsOf(piece, afterEvent, to);
      const parts = {id, signature: `${worker}.${send}`, body: events(EVENTS)};
      const headers = [EVENT_STREAM];
      const framing = FRAMING.chunks;
      const kind = isFirst ? first : second;
      const answer = rawAnswer({...parts, headers, framing, ...kind});
      const cut = isFirst ? FIRST_CUT : secondCut;
      if (cut === undefined) return whole(answer);
      const bytes = encodeAnswer(answer);
      // Whole events lie within whole chunks, if there are any.
      const size = encodeAnswer({...answer, body: events(cut)}).length;
      const left = answer.framing === FRAMING.chunks ? LAST_CHUNK.length : 0;
      return script(answer, [
        write(bytes.subarray(0, size - left)),
        {type: 'close'},
      ]);
    });
  }

  const callStream = () =>
    caller.call({path: ROUTE_PATH.resumable, id: 'resumed', model: 'm1'});

  /** Expects that a stream that looks complete has each event once. */
  async function expectEventsOrBroken({
    body,
    end,
  }: ReceivedAnswer): Promise<void> {
    await sleep(SURPLUS_WAIT_MS);
    expect(caller.surplus.toString('latin1')).to.equal('');
    const ids = [...String(body).matchAll(/^id: (\d+)$/gm)].map(
      ([, id]) => +id,
    );
    expect(ids).to.deep.equal(ids.map((unusedId, i) => i + 1));
    if (end === ANSWER_END.broken) return;
    expect(`${end} after event ${ids.length}`).to.equal(
      `whole after event ${EVENTS}`,
    );
    expect(String(body)).to.match(/\n\n$/);
  }

  for (const framing of [FRAMING.length, FRAMING.chunks]) {
    it(`does not end a stream as complete because the connection of a target without a length ended (${framing} before)`, async () => {
      const perEvent = eventsOf('piece', 0, 1).length;
      const first = {framing, chunkBytes: perEvent};
      await startStreams(first, {framing: FRAMING.none}, 'piece', SECOND_CUT);
      await expectEventsOrBroken(await callStream());
      expect(
        workers.flatMap(each => each.runs.get('resumed') ?? []),
      ).to.have.lengthOf(2);
    });
  }

  for (const [text, piece] of [
    ['longer', 'a longer piece'],
    ['shorter', 'p'],
  ]) {
    it(`does not pass on the length of one target for ${text} events of another`, async () => {
      await startStreams({framing: FRAMING.length}, {}, piece);
      await expectEventsOrBroken(await callStream());
      expect(
        workers.flatMap(each => each.runs.get('resumed') ?? []),
      ).to.have.lengthOf(2);
    });
  }

  it('does not pass on as complete an answer whose transfer encoding is not in chunks', async () => {
    await start(({id}, worker, send) => {
      const body = fill(`${worker} ${id} ${send};`, SMALL_BYTES);
      const signature = `${worker}.${send}`;
      const headers = ['transfer-encoding: identity'];
      const framing = FRAMING.none;
      const answer = rawAnswer({id, signature, body, framing, headers});
      const bytes = encodeAnswer(answer).subarray(0, -SMALL_BYTES / 2);
      return script(answer, [write(bytes), {type: 'close'}]);
    });
    const {body, end, isCloseDelimited, headers} = await caller.call({
      path: ROUTE_PATH.repeatable,
      id: 'identity',
    });
    const isFramed = end === ANSWER_END.whole && !isCloseDelimited;
    const isSigned = headers.has('x-fuchsiacleat-server-stamp');
    expect(isFramed && isSigned, `${body.length} bytes as complete`).to.equal(
      false,
    );
  });

  describe('where a broken copy of the last one precedes them', () => {
    /**
     * Sends requests over the only connection to a worker; before each answer, a
     * copy of the one before that ends within its head.
     */
    async function callBehindCopies(
      copied: Partial<RawAnswer>,
      next: Partial<RawAnswer>,
      cut: (head: string) => number,
    ): Promise<ReceivedAnswer> {
      await start(({id}, worker, send) => {
        const body = fill(`${worker} ${id} ${send};`, SMALL_BYTES);
        const isFirst = id === 'first';
        const signature = `${worker}.${id}`;
        const kind = isFirst ? copied : next;
        const answer = rawAnswer({id, signature, body, ...kind});
        if (!isFirst) return whole(answer);
        const bytes = encodeAnswer(answer);
        const copy = bytes.subarray(0, cut(bytes.toString('latin1')));
        return script(answer, [write(bytes), {type: 'owe', bytes: copy}]);
      }, 1);
      await caller.call({path: ROUTE_PATH.once, id: 'first'});
      return caller.call({path: ROUTE_PATH.once, id: 'second'});
    }

    /** Expects the worker's own answer, or one of the host. */
    function expectOwnHead(res: ReceivedAnswer): void {
      const signatures = res.headers.get('x-fuchsiacleat-server-stamp') ?? [];
      const [run] = workers.flatMap(each => each.runs.get('second') ?? []);
      if (signatures.length === 0) {
        expect(res.status).to.equal(502);
        return;
      }
      expect(signatures).to.deep.equal([run.answer.signature]);
      const ids = res.headers.get('x-fuchsiacleat-attempt-id');
      expect(ids).to.deep.equal(['second']);
      expect(res.status).to.equal(run.answer.status);
    }

    it('passes on no head with two request ids', async () => {
      const cut = (head: string) => head.indexOf('first') + 2;
      expectOwnHead(await callBehindCopies({}, {}, cut));
    });

    it('passes on no head with two signatures', async () => {
      const headers = ['x-more: more'];
      const cut = (head: string) => head.indexOf('more\r\n') + 2;
      expectOwnHead(await callBehindCopies({headers}, {}, cut));
    });

    const error = {status: 500, reason: 'Internal Server Error'};
    const ok = {status: 200, reason: 'OK'};
    const refusal = {status: 503, reason: 'Service Unavailable'};
    for (const [copied, next] of [
      [error, ok],
      [ok, error],
      [refusal, ok],
    ]) {
      it(`passes on no ${next.status} with the status ${copied.status} of the copy`, async () => {
        const cut = (head: string) => head.indexOf('\r\n') - 1;
        expectOwnHead(await callBehindCopies(copied, next, cut));
      });
    }

    it('passes on no status of a copy that ends ahead of its id', async () => {
      const copied = {...refusal, firstHeaders: ['server: worker']};
      const cut = (head: string) => head.indexOf('worker') + 2;
      expectOwnHead(await callBehindCopies(copied, ok, cut));
    });

    it('does not take a request for one that has not run', async () => {
      const headers = ['x-fuchsiacleat-not-executed: 1'];
      const copied = {...refusal, headers};
      const name = 'not-executed: ';
      const cut = (head: string) => head.indexOf(name) + name.length;
      const res = await callBehindCopies(copied, ok, cut);
      expectOwnHead(res);
      const runs = workers.flatMap(each => each.runs.get('second') ?? []);
      expect(runs).to.have.lengthOf(1);
    });
  });

  describe('where a copy comes within their bodies', () => {
    /** Writes an answer up to a byte, then all of the copy of another one. */
    function interrupted(answer: RawAnswer, cut: number, copy: RawAnswer) {
      const bytes = encodeAnswer(answer).subarray(0, cut);
      return script(answer, [
        write(bytes),
        write(encodeAnswer(copy)),
        UNTIL_READ,
        {type: 'reset'},
      ]);
    }

    /** Length of the head of an answer, with the blank line. */
    function headBytes(answer: RawAnswer): number {
      return encodeAnswer(answer).indexOf('\r\n\r\n') + 4;
    }

    for (const kind of ['earlier', 'same']) {
      for (const framing of [FRAMING.length, FRAMING.chunks]) {
        it(`does not take a copy of the ${kind} answer for the rest of a body (${framing})`, async () => {
          await start(({id}, worker, send) => {
            const answerTo = (subject: string) =>
              rawAnswer({
                id: subject,
                signature: `${worker}.${subject}`,
                body: fill(`${worker} ${subject} ${send};`, SMALL_BYTES),
                framing,
              });
            const answer = answerTo(id);
            if (id === 'first' || send > 0) return whole(answer);
            const copy = kind === 'same' ? answer : answerTo('first');
            // The first chunk ends where the copy has its blank line.
            const missing = headBytes(copy) - 2;
            const left = framing === FRAMING.chunks ? LAST_CHUNK.length + 2 : 0;
            const cut = encodeAnswer(answer).length - left - missing;
            return interrupted(answer, cut, copy);
          }, 1);
          const path = ROUTE_PATH.once;
          await caller.call({path, id: 'first'});
          await expectOwnOrBroken(
            'second',
            await caller.call({path, id: 'second'}),
          );
        });
      }
    }

    it('does not pass on the head of a copy as an event', async () => {
      await start(({afterEvent, id}, worker, send) => {
        const body = eventsOf('piece', afterEvent, EVENTS);
        const headers = [EVENT_STREAM];
        const framing = FRAMING.chunks;
        const chunkBytes = body.length;
        const signature = `${worker}.${send}`;
        const parts = {id, signature, body, headers, framing, chunkBytes};
        const answer = rawAnswer(parts);
        if (send > 0) return whole(answer);
        const cut = encodeAnswer(answer).indexOf('id: 04\n') + 9;
        return interrupted(answer, cut, answer);
      });
      const {body} = await callStream();
      expect(String(body)).to.not.include('HTTP/1.1');
    });
  });

  const notRun = 'x-fuchsiacleat-not-executed: 1\r\n';
  const noBody = 'content-length: 0\r\n\r\n';
  const stray = {
    'a marked refusal': `HTTP/1.1 503 Unavailable\r\n${notRun}${noBody}`,
    'a refusal': `HTTP/1.1 503 Unavailable\r\n${noBody}`,
    'a 421': `HTTP/1.1 421 Misdirected Request\r\n${noBody}`,
  };
  for (const [kind, text] of Object.entries(stray)) {
    it(`does not take ${kind} without an id behind an answer for that of the next request`, async () => {
      await start(({id}, worker, send) => {
        const body = fill(`${worker} ${id} ${send};`, SMALL_BYTES);
        const signature = `${worker}.${id}.${send}`;
        const answer = rawAnswer({id, signature, body});
        const steps = [write(encodeAnswer(answer))];
        if (id !== 'first') return script(answer, steps);
        return script(answer, [
          ...steps,
          {type: 'owe', bytes: Buffer.from(text)},
        ]);
      }, 1);
      await caller.call({path: ROUTE_PATH.once, id: 'first'});
      const res = await caller.call({path: ROUTE_PATH.once, id: 'second'});
      const runs = workers.flatMap(each => each.runs.get('second') ?? []);
      expect(runs).to.have.lengthOf(1);
      expect([200, 502]).to.include(res.status);
    });
  }
});

function write(bytes: Buffer): AnswerStep {
  return {type: 'write', bytes};
}

function script(answer: RawAnswer, steps: AnswerStep[]): AnswerScript {
  return {answer, steps};
}

function whole(answer: RawAnswer): AnswerScript {
  return script(answer, [write(encodeAnswer(answer))]);
}

function fill(text: string, size: number): Buffer {
  return Buffer.alloc(size, text);
}

function eventsOf(piece: string, after: number, to: number): Buffer {
  let text = '';
  for (let i = after + 1; i <= to; i++) {
    text += `id: ${String(i).padStart(2, '0')}\ndata: ${piece}\n\n`;
  }
  return Buffer.from(text);
}
