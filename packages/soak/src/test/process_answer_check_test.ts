import {ANSWER_END, ReceivedAnswer} from '@fuchsiacleat/local-cluster';
import {FRAMING, PlatformStoreStandin} from '@fuchsiacleat/standins';
import {expect} from 'chai';
import {ProcessRequest, judge, wholeBody} from '../lib/process_answer_check.js';
import {ProcessRun, WorkerProcess, WorkerSpan} from '../lib/worker_process.js';

const SENT_MS = 10_000;
const ENDED_MS = 10_800;
const NOT_RUN = new Map([['x-fuchsiacleat-not-executed', ['1']]]);

function workerWith(...spans: WorkerSpan[]): WorkerProcess {
  const options = {id: 'w1', service: 'engines', seed: 1};
  const worker = new WorkerProcess(options, new PlatformStoreStandin());
  worker.spans.push(...spans);
  return worker;
}

function span(kind: string, fromMs: number, toMs: number): WorkerSpan {
  return {kind, fromMs, toMs};
}

function run(parts: Partial<ProcessRun> = {}): ProcessRun {
  const {none: framing} = FRAMING;
  const state = {afterEvent: 0, isLeaving: false, startedMs: SENT_MS};
  return {id: 'r1', worker: 'w1', framing, ...state, ...parts};
}

function requestWith(
  answer: Partial<ReceivedAnswer>,
  parts: Partial<ProcessRequest> = {},
): ProcessRequest {
  const request: ProcessRequest = {
    id: 'r1',
    isRepeatable: false,
    isStream: true,
    answer: {
      status: 200,
      headers: new Map(),
      body: Buffer.alloc(0),
      isCloseDelimited: false,
      end: ANSWER_END.whole,
    },
    runs: [run()],
    sentMs: SENT_MS,
    endedMs: ENDED_MS,
    ...parts,
  };
  const body = Buffer.from(wholeBody(request));
  request.answer = {...request.answer, body, ...answer};
  return request;
}

/** Most of the stream of the request, which ends between two events. */
function partOfStream(): Buffer {
  const text = wholeBody(requestWith({}));
  return Buffer.from(text.slice(0, text.lastIndexOf('id: ')));
}

const KILLED = span('killed', ENDED_MS - 100, ENDED_MS - 90);

describe('judge', () => {
  it('accepts a whole answer', () => {
    const result = judge(requestWith({}), [workerWith(KILLED)]);
    expect(result).to.deep.equal({outcome: 'complete', violation: undefined});
  });

  it('detects a part that looks complete', () => {
    const request = requestWith({body: partOfStream()});
    const {violation} = judge(request, [workerWith(KILLED)]);
    expect(violation).to.equal('looks complete and is a part');
  });

  it('accepts a part that is seen to be cut, of a worker that was killed', () => {
    const answer = {body: partOfStream(), end: ANSWER_END.broken};
    const result = judge(requestWith(answer), [workerWith(KILLED)]);
    expect(result).to.deep.equal({outcome: 'broken', violation: undefined});
  });

  it('detects an event that comes twice in an answer that is cut', () => {
    const text = String(partOfStream());
    const body = Buffer.from(text + text.slice(text.lastIndexOf('id: ')));
    const answer = {body, end: ANSWER_END.broken};
    const {violation} = judge(requestWith(answer), [workerWith(KILLED)]);
    expect(violation).to.equal('is not the answer');
  });

  for (const parts of [{exitAfterMs: 10}, {isLeaving: true}]) {
    const name = Object.keys(parts)[0];
    const answer = {body: partOfStream(), end: ANSWER_END.broken};

    it(`counts a cut answer whose end is undecided (${name})`, () => {
      const request = requestWith(answer, {runs: [run(parts)]});
      const result = judge(request, [workerWith()]);
      const outcome = 'undecided-cut';
      expect(result).to.deep.equal({outcome, violation: undefined});
    });

    it(`detects that it does not run again though it may (${name})`, () => {
      const again = {runs: [run(parts)], isRepeatable: true};
      const {violation} = judge(requestWith(answer, again), [workerWith()]);
      expect(violation).to.equal('sound answer is cut');
    });

    it(`detects that an answer with a length is cut (${name})`, () => {
      const told = {...run(parts), framing: FRAMING.length};
      const request = requestWith(answer, {runs: [told]});
      const {violation} = judge(request, [workerWith()]);
      expect(violation).to.equal('sound answer is cut');
    });
  }

  it('detects that an answer of a process is cut that exits later', () => {
    const answer = {body: partOfStream(), end: ANSWER_END.broken};
    const request = requestWith(answer, {runs: [run({exitAfterMs: 60})]});
    const {violation} = judge(request, [workerWith()]);
    expect(violation).to.equal('sound answer is cut');
  });

  for (const kind of ['full', 'leaving']) {
    it(`detects that an answer of a worker that was only ${kind} is cut`, () => {
      const answer = {body: partOfStream(), end: ANSWER_END.broken};
      const worker = workerWith(span(kind, SENT_MS, Infinity));
      const result = judge(requestWith(answer), [worker]);
      const violation = 'sound answer is cut';
      expect(result).to.deep.equal({outcome: 'sound-cut', violation});
    });
  }

  it('detects that a plain answer of a calm worker is replaced by a failure', () => {
    const request = requestWith({status: 502}, {isStream: false});
    const {violation} = judge(request, [workerWith()]);
    expect(violation).to.equal('sound answer is cut');
  });

  it('accepts that a request is used up by a silence of another worker', () => {
    const other = new WorkerProcess(
      {id: 'w2', service: 'engines', seed: 1},
      new PlatformStoreStandin(),
    );
    other.spans.push(span('silent', SENT_MS, SENT_MS + 100));
    const times = {endedMs: SENT_MS + 3_000};
    const request = requestWith({status: 504}, times);
    const {outcome} = judge(request, [workerWith(), other]);
    expect(outcome).to.equal('refused');
  });

  it('detects a refusal of a request that has run', () => {
    const request = requestWith({status: 503, headers: NOT_RUN});
    const {violation} = judge(request, [workerWith(KILLED)]);
    expect(violation).to.equal('refused and has run');
  });

  it('detects a second run of a request that must run once', () => {
    const request = requestWith({}, {runs: [run(), run()]});
    const {violation} = judge(request, [workerWith(KILLED)]);
    expect(violation).to.equal('runs twice');
  });

  it('detects an answer that only the end of the connection delimits', () => {
    const request = requestWith({isCloseDelimited: true});
    const {violation} = judge(request, [workerWith()]);
    expect(violation).to.equal('end that a cut looks like');
  });
});
