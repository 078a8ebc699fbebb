import {FRAMING} from '@fuchsiacleat/core/gateway';
import {FAULTY_ANSWER, FaultyAnswer, WorkerRun} from '@fuchsiacleat/standins';
import {expect} from 'chai';
import {checkAnswers} from '../lib/answer_check.js';
import {checkAnswered} from '../lib/answered_check.js';
import {DisturbanceBook} from '../lib/disturbance_book.js';
import {RequestLedger, SentRequest} from '../lib/request_ledger.js';
import {
  PIECE_OF,
  PROMISE,
  PromiseName,
  SoakRecord,
} from '../lib/soak_checks.js';
import {wholeStream} from '../lib/stream_text.js';

const EVENTS = 4;
const WHOLE = wholeStream(EVENTS, PIECE_OF.v1);
const SHORT = wholeStream(EVENTS - 1, PIECE_OF.v1);

/** Returns a stream that looks complete, with changes. */
function stream(changes: Partial<SentRequest> = {}): SentRequest {
  return {
    id: 'r1',
    route: 'resumable',
    key: 'key',
    host: 'host-0',
    sentMs: 0,
    endedMs: 100,
    wasHostUndisturbed: true,
    status: 200,
    stamp: 's',
    framing: FRAMING.chunks,
    body: SHORT,
    isComplete: true,
    ...changes,
  };
}

function run(
  fault: FaultyAnswer | undefined,
  text: string,
  isEnded = true,
): WorkerRun {
  const progress = {text, isEnded};
  const request = {id: 'r1', method: 'POST', path: '/', body: 'x', headers: {}};
  return {...request, startedMs: 0, fault, progress};
}

/** Returns the record of one request, and of its runs at one worker. */
function recordOf(request: SentRequest, runs: WorkerRun[]): SoakRecord {
  const ledger = new RequestLedger();
  ledger.add(request);
  const worker = {name: 'e0', runs, orders: [], initialModels: 0};
  return {
    ledger,
    workers: [{...worker, modelCapacity: undefined}],
    withdrawn: [],
    drained: [],
    limit: {key: '', windowMs: 0, requests: 0},
    minOrderGapMs: 0,
    resumptionsMs: [],
    restoresMs: [],
    callersEndMs: 0,
    disturbances: new DisturbanceBook(0, 0),
    minTimeoutMs: 3_000,
    streamEvents: EVENTS,
    hostEndsMs: new Map(),
    crashesMs: [],
  };
}

function find(request: SentRequest, ...runs: WorkerRun[]): PromiseName[] {
  const violations = checkAnswers(recordOf(request, runs));
  return violations.map(({promise}) => promise);
}

describe('checkAnswers', () => {
  const {unframedEvents} = FAULTY_ANSWER;

  it('accepts whole streams, whatever fault the worker had', () => {
    const whole = stream({body: WHOLE});
    expect(find(whole, run(undefined, WHOLE))).to.deep.equal([]);
    expect(find(whole, run(FAULTY_ANSWER.cut, SHORT, false))).to.deep.equal([]);
  });

  it('accepts what a worker ended in order without a length', () => {
    for (const framing of [FRAMING.chunks, FRAMING.length]) {
      const found = find(stream({framing}), run(unframedEvents, SHORT));
      expect(found, framing).to.deep.equal([]);
    }
  });

  it('reports any success whose end only the connection tells', () => {
    for (const text of [SHORT, WHOLE]) {
      const unframed = stream({framing: FRAMING.close, body: text});
      const found = find(unframed, run(unframedEvents, text));
      expect(found).to.deep.equal([PROMISE.visibleEnd]);
    }
  });

  it('reports a part of what the worker sent without a length', () => {
    const found = [
      find(stream(), run(unframedEvents, SHORT, false)),
      find(stream({body: ''}), run(unframedEvents, SHORT)),
      find(stream(), run(FAULTY_ANSWER.unframed, WHOLE, false)),
      find(stream(), run(FAULTY_ANSWER.cut, SHORT, false)),
    ];
    for (const promises of found)
      expect(promises).to.deep.equal([PROMISE.wholeDespiteFault]);
  });

  it('reports streams that lack events of a sound worker', () => {
    const found = find(stream(), run(undefined, WHOLE));
    expect(found).to.deep.equal([PROMISE.wholeAnswer]);
  });

  it('reports streams that break off after other events than the first', () => {
    const isComplete = false;
    const sound = run(undefined, WHOLE, false);
    expect(find(stream({isComplete}), sound)).to.deep.equal([]);
    const twice = stream({isComplete, body: SHORT + SHORT});
    expect(find(twice, sound)).to.deep.equal([PROMISE.rightPart]);
  });

  it('reports unsigned successes and signed failures', () => {
    const unsigned = stream({body: WHOLE, isComplete: false, stamp: undefined});
    expect(find(unsigned)).to.deep.equal([PROMISE.wholeAnswer]);
    const signed = stream({body: '', status: 502});
    expect(find(signed)).to.deep.equal([PROMISE.wholeAnswer]);
    expect(find({...signed, stamp: undefined})).to.deep.equal([]);
  });
});

describe('checkAnswered', () => {
  const broken = stream({isComplete: false});

  it('excuses requests whose worker broke its answer off', () => {
    const record = recordOf(broken, [run(FAULTY_ANSWER.cut, SHORT, false)]);
    expect(checkAnswered(record)).to.deep.equal([]);
  });

  it('reports requests whose worker had another fault', () => {
    const {otherId, unframed, unsigned} = FAULTY_ANSWER;
    for (const fault of [otherId, unframed, unsigned, undefined]) {
      const record = recordOf(broken, [run(fault, WHOLE)]);
      expect(checkAnswered(record), fault).to.have.lengthOf(1);
    }
  });
});
