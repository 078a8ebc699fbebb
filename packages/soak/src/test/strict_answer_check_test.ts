import {ANSWER_END, ReceivedAnswer} from '@fuchsiacleat/local-cluster';
import {AnswerScript, FRAMING, rawAnswer} from '@fuchsiacleat/standins';
import {expect} from 'chai';
import {
  CheckedRequest,
  VERDICT,
  checkAnswer,
} from '../lib/strict_answer_check.js';
import {NOT_RUN_HEADER, STREAM_EVENTS} from '../lib/random_answers.js';

const BODY = Buffer.from('the whole body');

function script(
  signature: string,
  parts: Partial<AnswerScript['answer']> = {},
  closedAfterBytes?: number,
): AnswerScript {
  const answer = rawAnswer({id: 'r1', signature, body: BODY, ...parts});
  return {answer, steps: [], closedAfterBytes};
}

function received(
  signature: string | undefined,
  parts: Partial<ReceivedAnswer> = {},
): ReceivedAnswer {
  const headers = new Map<string, string[]>();
  if (signature !== undefined) {
    headers.set('x-fuchsiacleat-server-stamp', [signature]);
    headers.set('x-fuchsiacleat-attempt-id', ['r1']);
  }
  const end = ANSWER_END.whole;
  const isCloseDelimited = false;
  return {status: 200, headers, body: BODY, end, isCloseDelimited, ...parts};
}

function check(
  scripts: AnswerScript[],
  answer: ReceivedAnswer,
  parts: Partial<CheckedRequest> = {},
): string {
  const verdict = checkAnswer({
    id: 'r1',
    isRepeatable: true,
    isStream: false,
    answer,
    surplus: Buffer.alloc(0),
    scripts,
    ...parts,
  });
  return typeof verdict === 'string' ? verdict : verdict.violation;
}

function events(from: number, to: number, text: string): Buffer {
  let body = '';
  for (let i = from; i <= to; i++) body += `id: ${i}\ndata: ${text}\n\n`;
  return Buffer.from(body);
}

describe('checkAnswer', () => {
  const part = BODY.subarray(0, 5);
  const none = {framing: FRAMING.none};

  it('accepts a whole answer, an own one and one that breaks off', () => {
    const sends = [script('a'), script('b')];
    expect(check(sends, received('b'))).to.equal(VERDICT.whole);
    const own = received(undefined, {status: 502});
    expect(check(sends, own)).to.equal(VERDICT.own);
    const broken = received('a', {body: part, end: ANSWER_END.broken});
    expect(check(sends, broken)).to.equal(VERDICT.broken);
  });

  it('accepts a part only of what its worker did not delimit and closed there', () => {
    const cut = received('a', {body: part});
    const closed = script('a', none, part.length);
    expect(check([closed], cut)).to.equal(VERDICT.cutInOrder);
    const not = 'not the whole body';
    expect(check([script('a', none, part.length + 1)], cut)).to.equal(not);
    expect(check([script('a', none)], cut)).to.equal(not);
    expect(check([script('a', {}, part.length)], cut)).to.equal(not);
  });

  it('finds answers whose end only the connection tells, whole ones too', () => {
    const hidden = 'end that a cut looks like';
    const isCloseDelimited = true;
    const whole = received('a', {isCloseDelimited});
    expect(check([script('a', none)], whole)).to.equal(hidden);
    const closed = script('a', none, part.length);
    expect(check([closed], {...whole, body: part})).to.equal(hidden);
  });

  it('finds answers that are not whole or not of one send', () => {
    const other = script('b', {body: Buffer.from('another body')});
    const sends = [script('a'), other];
    const mixed = Buffer.concat([part, other.answer.body]);
    expect(check(sends, received('a', {body: mixed}))).to.equal(
      'not the whole body',
    );
    expect(check(sends, received('c'))).to.equal('answer of another request');
    expect(check(sends, received('a', {status: 500}))).to.equal(
      'another status',
    );
    const headers = new Map(received('a').headers);
    headers.set('x-fuchsiacleat-attempt-id', ['r0', 'r1']);
    expect(check(sends, received('a', {headers}))).to.equal(
      'head of more than one answer',
    );
    expect(check(sends, received(undefined))).to.equal(
      'success without a signature',
    );
    expect(check(sends, received('a'), {surplus: part})).to.equal(
      'bytes behind the answer',
    );
    for (const [end, text] of [
      [ANSWER_END.malformed, 'no answer'],
      [ANSWER_END.unfinished, 'never ends'],
    ] as const)
      expect(check(sends, received('a', {end}))).to.equal(text);
  });

  it('finds requests that run twice, or although they were refused', () => {
    const isRepeatable = false;
    const refusal = script('a', {status: 503, headers: [NOT_RUN_HEADER]});
    const refused = received(undefined, {status: 503});
    const again = {isRepeatable};
    expect(check([refusal], refused, again)).to.equal(VERDICT.own);
    expect(check([refusal, script('b')], refused, again)).to.equal(
      'refused and has run',
    );
    expect(check([script('a'), script('b')], received('a'), again)).to.equal(
      'runs twice',
    );
  });

  it('finds streams that end early or are joined in the wrong way', () => {
    const whole = {body: events(1, STREAM_EVENTS, 'a')};
    const first = script('a', whole);
    const body = events(4, STREAM_EVENTS, 'b');
    const size = events(4, 7, 'b').length;
    const second = script('b', {...none, body}, size);
    const stream = (body: Buffer, sends = [first, second]) =>
      check(sends, received('a', {body}), {isStream: true});
    const unframed = [script('a', {...none, ...whole}), second];
    const start = events(1, 3, 'a');
    expect(stream(Buffer.concat([start, body]))).to.equal(VERDICT.whole);
    const cut = Buffer.concat([start, events(4, 7, 'b')]);
    expect(stream(cut)).to.equal('ends before its last event');
    expect(stream(cut, unframed)).to.equal(VERDICT.cutInOrder);
    expect(stream(start, unframed)).to.equal('ends before its last event');
    const back = Buffer.concat([start, events(4, 4, 'b'), events(5, 5, 'a')]);
    expect(stream(back)).to.equal('an event of another answer');
    expect(stream(events(2, 3, 'a'))).to.equal(
      'an event is missing or comes twice',
    );
    expect(stream(start.subarray(0, -1))).to.equal('ends within an event');
  });
});
