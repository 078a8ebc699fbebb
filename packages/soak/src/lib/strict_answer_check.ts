/** Checks what callers got against what workers had for them. @packageDocumentation */

import {
  AnswerScript,
  RawAnswer,
  isCloseDelimited,
} from '@fuchsiacleat/standins';
import {ANSWER_END, ReceivedAnswer} from '@fuchsiacleat/local-cluster';
import {NOT_RUN_HEADER, STREAM_EVENTS} from './random_answers.js';

const SIGNATURE_HEADER = 'x-fuchsiacleat-server-stamp';
const ID_HEADER = 'x-fuchsiacleat-attempt-id';
const EVENT_END = '\n\n';

/** Statuses that say that a request has not run and never will. */
const NOT_RUN_STATUSES: readonly number[] = [408, 421, 429, 503];

const SUCCESS = {first: 200, last: 299} as const;

/** A request, what its caller got, and what the workers did. */
export interface CheckedRequest {
  id: string;
  /** Whether it may run again. */
  isRepeatable: boolean;
  isStream: boolean;
  answer: ReceivedAnswer;
  /** Bytes that the caller got behind the answer. */
  surplus: Buffer;
  /** All sends that reached a worker, in order. */
  scripts: readonly AnswerScript[];
}

/** Verdict about an answer. */
export const VERDICT = {
  /** It is complete, and a worker's. */
  whole: 'whole',
  /** It is the host's own. */
  own: 'own',
  /** Its caller can tell that it is not complete. */
  broken: 'broken',
  /** It looks complete with what {@link isCutInOrder} allows. */
  cutInOrder: 'cut-in-order',
} as const;

/** One of {@link VERDICT}. */
export type Verdict = (typeof VERDICT)[keyof typeof VERDICT];

/** What is wrong with an answer. */
export interface AnswerViolation {
  violation: string;
}

/** Judges an answer. */
export function checkAnswer(
  request: CheckedRequest,
): Verdict | AnswerViolation {
  const {answer, id, isRepeatable, isStream, scripts, surplus} = request;
  const runs = scripts.filter(({answer}) => !isRefusal(answer));
  if (!isRepeatable && runs.length > 1) return violation('runs twice');
  if (surplus.length > 0) return violation('bytes behind the answer');
  if (answer.end === ANSWER_END.malformed) return violation('no answer');
  if (answer.end === ANSWER_END.unfinished) return violation('never ends');
  if (answer.end === ANSWER_END.broken) return VERDICT.broken;
  const {body, headers, status} = answer;
  if (saysNotRun(answer) && !isRepeatable && runs.length > 0)
    return violation('refused and has run');
  const signatures = headers.get(SIGNATURE_HEADER) ?? [];
  if (signatures.length === 0) {
    const isSuccess = status >= SUCCESS.first && status <= SUCCESS.last;
    return isSuccess ? violation('success without a signature') : VERDICT.own;
  }
  if (answer.isCloseDelimited) return violation('end that a cut looks like');
  const ids = headers.get(ID_HEADER) ?? [];
  if (signatures.length > 1 || ids.length !== 1 || ids[0] !== id)
    return violation('head of more than one answer');
  const script = scripts.find(each => each.answer.signature === signatures[0]);
  if (script === undefined) return violation('answer of another request');
  if (script.answer.status !== status) return violation('another status');
  if (isStream && status === SUCCESS.first)
    return checkEvents(answer, script, scripts);
  if (script.answer.body.equals(body)) return VERDICT.whole;
  if (isCutInOrder(script, script, body)) return VERDICT.cutInOrder;
  return violation('not the whole body');
}

/** Expects each event once, from runs that follow one another. */
function checkEvents(
  answer: ReceivedAnswer,
  begun: AnswerScript,
  scripts: readonly AnswerScript[],
): Verdict | AnswerViolation {
  const text = answer.body.toString('latin1');
  const events = text.split(EVENT_END);
  if (events.pop() !== '') return violation('ends within an event');
  let from = 0;
  for (const [i, event] of events.entries()) {
    if (!event.startsWith(`id: ${i + 1}\n`))
      return violation('an event is missing or comes twice');
    const sources = scripts.slice(from).map(each => eventsOf(each.answer));
    const next = sources.findIndex(each => each.includes(event));
    if (next < 0) return violation('an event of another answer');
    from += next;
  }
  if (events.length === STREAM_EVENTS) return VERDICT.whole;
  const last = scripts[from];
  const own = last === undefined ? [] : eventsOf(last.answer);
  const lastEvents = own.slice(0, own.indexOf(events.at(-1) ?? '') + 1);
  const body = Buffer.from(lastEvents.map(each => each + EVENT_END).join(''));
  if (last !== undefined && isCutInOrder(begun, last, body))
    return VERDICT.cutInOrder;
  return violation('ends before its last event');
}

/**
 * Returns whether an answer may look complete although its worker broke it off:
 * no worker announced how the body ends, the last one closed the connection in
 * order, and the caller got exactly the bytes of the body that it had written
 * until then. A reset is never the end of an answer.
 *
 * @param begun - the send whose head the caller got.
 * @param last - the send that the answer ends with.
 * @param body - the bytes that come from the last send.
 */
function isCutInOrder(
  begun: AnswerScript,
  last: AnswerScript,
  body: Buffer,
): boolean {
  return (
    isCloseDelimited(begun.answer) &&
    isCloseDelimited(last.answer) &&
    last.closedAfterBytes === body.length &&
    last.answer.body.subarray(0, body.length).equals(body)
  );
}

function eventsOf({body}: RawAnswer): string[] {
  return body.toString('latin1').split(EVENT_END).slice(0, -1);
}

/** Returns whether an answer says that its request has not run and never will. */
export function saysNotRun({status}: ReceivedAnswer): boolean {
  return NOT_RUN_STATUSES.includes(status);
}

/** Returns whether a worker's answer says that it has not run the request. */
export function isRefusal({headers}: RawAnswer): boolean {
  return headers.includes(NOT_RUN_HEADER);
}

function violation(text: string): AnswerViolation {
  return {violation: text};
}
