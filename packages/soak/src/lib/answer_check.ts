/** Checks that callers receive what their workers answered. @packageDocumentation */

import {FRAMING} from '@fuchsiacleat/core/gateway';
import {
  FAULTY_ANSWER,
  FaultyAnswer,
  LARGE_BYTES,
  WorkerRun,
  plainBody,
} from '@fuchsiacleat/standins';
import {SentRequest, isStream} from './request_ledger.js';
import {
  LARGE_BODY,
  PIECE_OF,
  PROMISE,
  SoakRecord,
  Violation,
  runsById,
} from './soak_checks.js';
import {versionsIn, wholeStream} from './stream_text.js';

const OK = 200;

/** Longest part of a body that is shown, in characters. */
const MAX_SHOWN = 400;

/**
 * Time after the end of an answer in which the exit of its host may be noticed,
 * in milliseconds.
 */
const HOST_END_SLACK_MS = 500;

/** Responses without a length that end in order before they are whole. */
const SHORT_UNFRAMED: ReadonlySet<FaultyAnswer> = new Set([
  FAULTY_ANSWER.unframedShort,
  FAULTY_ANSWER.unframedEvents,
]);

/**
 * A success that looks complete bears the signature of its worker and is the
 * whole body, whatever faults its workers had. One that breaks off is a part of
 * the right body up to there. The end of the connection delimits no answer, as
 * that of a killed host looks the same. The workers of the soak sign no failures.
 *
 * @param record - the records of the run.
 * @returns the violations.
 */
export function checkAnswers(record: SoakRecord): Violation[] {
  const runs = runsById(record.workers);
  return record.ledger.all().flatMap(request => {
    const own = runs.get(request.id) ?? [];
    const promise = brokenPromise(request, own, record.streamEvents);
    if (promise === undefined) return [];
    return [{promise, detail: describe(request, own, record)}];
  });
}

function brokenPromise(
  request: SentRequest,
  runs: readonly WorkerRun[],
  streamEvents: number,
): Violation['promise'] | undefined {
  const {framing, isComplete, stamp, status} = request;
  if (status === undefined) return undefined;
  if (status !== OK)
    return stamp === undefined ? undefined : PROMISE.wholeAnswer;
  if (stamp === undefined) return PROMISE.wholeAnswer;
  if (framing === FRAMING.close) return PROMISE.visibleEnd;
  if (isComplete) {
    if (isWhole(request, streamEvents) || isEndHidden(request, runs))
      return undefined;
    const isFaulty = runs.some(({fault}) => fault !== undefined);
    return isFaulty ? PROMISE.wholeDespiteFault : PROMISE.wholeAnswer;
  }
  return isPart(request, streamEvents) ? undefined : PROMISE.rightPart;
}

function isWhole(request: SentRequest, streamEvents: number): boolean {
  const text = textOf(request);
  if (isJoined(request)) return true;
  return expectedTexts(request, streamEvents).includes(text);
}

function isPart(request: SentRequest, streamEvents: number): boolean {
  const text = textOf(request);
  if (isJoined(request)) return true;
  return expectedTexts(request, streamEvents).some(whole =>
    whole.startsWith(text),
  );
}

/** Whether a stream was joined from two versions, which breaks another promise. */
function isJoined(request: SentRequest): boolean {
  return isStream(request.route) && versionsIn(textOf(request)).length > 1;
}

/**
 * Whether the host cannot know that a body is not whole: all that the worker
 * sent, without a length, up to an end in order.
 */
function isEndHidden({body}: SentRequest, runs: readonly WorkerRun[]): boolean {
  return runs.some(
    ({fault, progress}) =>
      fault !== undefined &&
      SHORT_UNFRAMED.has(fault) &&
      progress.isEnded &&
      progress.text === body,
  );
}

/** @returns what a caller has of a body, with the part that it takes up. */
function textOf({body = '', resumed}: SentRequest): string {
  return (resumed?.text ?? '') + body;
}

function expectedTexts(
  {id, requestBody, route}: SentRequest,
  streamEvents: number,
): string[] {
  if (isStream(route))
    return Object.values(PIECE_OF).map(piece =>
      wholeStream(streamEvents, piece),
    );
  const bytes = requestBody === LARGE_BODY ? LARGE_BYTES : undefined;
  return [plainBody(id, bytes)];
}

function describe(
  request: SentRequest,
  runs: readonly WorkerRun[],
  {hostEndsMs, streamEvents}: SoakRecord,
): string {
  const {
    body = '',
    endedMs = Infinity,
    framing,
    host,
    id,
    isComplete,
  } = request;
  const {resumed, route, sentMs, stamp, status} = request;
  const shown = JSON.stringify(body.slice(0, MAX_SHOWN));
  const taken = resumed === undefined ? '' : `, takes ${resumed.id} up`;
  const differs = expectedTexts(request, streamEvents).map(whole =>
    differenceOf(textOf(request), whole),
  );
  const ends = (hostEndsMs.get(host) ?? [])
    .filter(ms => ms >= sentMs && ms <= endedMs + HOST_END_SLACK_MS)
    .map(ms => `${Math.round(ms - endedMs)} ms`);
  const parts = [
    `${id} (${route}${taken}) at ${host}: ${status}`,
    `${isComplete ? 'complete' : 'broken'}, framing ${framing}`,
    `stamp ${stamp}, ${body.length} characters: ${shown}`,
    `differs from ${Math.max(...differs)}`,
    `host killed or exited, from the end of the answer: ${ends.join(', ') || 'no'}`,
    `runs: ${runs.map(describeRun).join(', ') || 'none'}`,
  ];
  return parts.join('; ');
}

function describeRun({fault, progress, startedMs}: WorkerRun): string {
  const {isEnded, text} = progress;
  const end = isEnded ? 'ended' : 'not ended';
  const at = Math.round(startedMs);
  return `at ${at} ms, fault ${fault ?? 'none'}, sent ${text.length} characters, ${end}`;
}

/** @returns the index from which two texts differ. */
function differenceOf(text: string, whole: string): number {
  let index = 0;
  while (index < text.length && text[index] === whole[index]) index += 1;
  return index;
}
