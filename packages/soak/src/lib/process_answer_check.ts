/** Checks answers of workers that are processes. @packageDocumentation */

import {ANSWER_END, ReceivedAnswer} from '@fuchsiacleat/local-cluster';
import {FRAMING, plainBody} from '@fuchsiacleat/standins';
import {saysNotRun} from './strict_answer_check.js';
import {wholeStream} from './stream_text.js';
import {PROCESS_STREAM_EVENTS} from './worker_messages.js';
import {ProcessRun, WorkerProcess, WorkerSpan} from './worker_process.js';

const OK = 200;

/**
 * Time before and after an answer in which a kill or a silence of its worker
 * excuses that it was cut, in milliseconds.
 */
const NEAR_MS = 500;

/** Duration of requests from which a silence of any worker may have used it up. */
const LONG_MS = 2_000;

/** Time in which an exit after an answer is taken for a kill, in milliseconds. */
const EXIT_MS = 50;

/** Spans that cut sound answers, or hold them up. */
const TROUBLES: readonly string[] = ['killed', 'silent'];

/** A request, what its caller got, and its runs. */
export interface ProcessRequest {
  id: string;
  isRepeatable: boolean;
  isStream: boolean;
  answer: ReceivedAnswer;
  runs: readonly ProcessRun[];
  sentMs: number;
  endedMs: number;
}

/** What became of a request. */
export const OUTCOME = {
  complete: 'complete',
  /** Its caller can tell that the answer is not complete. */
  broken: 'broken',
  /** The answer is the host's own. */
  refused: 'refused',
  /** As broken or refused, though only sound workers ran it. */
  soundCut: 'sound-cut',
  /** The same, where {@link isEndUndecided} holds. */
  undecidedCut: 'undecided-cut',
} as const;

/** One of {@link OUTCOME}. */
export type Outcome = (typeof OUTCOME)[keyof typeof OUTCOME];

/** @returns what became of a request; the second part tells what is wrong. */
export function judge(
  request: ProcessRequest,
  workers: readonly WorkerProcess[],
): {outcome: Outcome; violation?: string} {
  const {answer, isRepeatable, runs} = request;
  const {body, end, isCloseDelimited, status} = answer;
  const text = body.toString('latin1');
  const whole = wholeBody(request);
  const isAnswer = status === OK;
  const isComplete = isAnswer && end === ANSWER_END.whole;
  let outcome: Outcome = isAnswer ? OUTCOME.broken : OUTCOME.refused;
  if (isComplete) outcome = OUTCOME.complete;
  else if (isSound(request, workers))
    outcome = isEndUndecided(request, workers)
      ? OUTCOME.undecidedCut
      : OUTCOME.soundCut;
  const result = (violation?: string) => ({outcome, violation});
  if (end === ANSWER_END.malformed) return result('no answer');
  if (end === ANSWER_END.unfinished) return result('never ends');
  if (isAnswer && isCloseDelimited) return result('end that a cut looks like');
  if (isComplete && text !== whole) {
    const isPart = whole.startsWith(text);
    return result(`looks complete and is ${isPart ? 'a part' : 'another'}`);
  }
  if (isAnswer && !whole.startsWith(text)) return result('is not the answer');
  if (!isRepeatable && runs.length > 1) return result('runs twice');
  if (!isRepeatable && runs.length > 0 && saysNotRun(answer))
    return result('refused and has run');
  if (outcome === OUTCOME.soundCut) return result('sound answer is cut');
  return result();
}

/** @returns the whole answer to a request. */
export function wholeBody({id, isStream}: ProcessRequest): string {
  return isStream
    ? wholeStream(PROCESS_STREAM_EVENTS, id)
    : plainBody(id, undefined);
}

/** Whether only workers ran a request that were neither killed nor silent then. */
function isSound(
  {endedMs, runs, sentMs}: ProcessRequest,
  workers: readonly WorkerProcess[],
): boolean {
  if (runs.length === 0) return false;
  const isLong = endedMs - sentMs > LONG_MS;
  const overlaps = ({fromMs, kind, toMs}: WorkerSpan) =>
    TROUBLES.includes(kind) &&
    fromMs < endedMs + NEAR_MS &&
    toMs > sentMs - NEAR_MS;
  return !workers
    .filter(
      ({options}) => isLong || runs.some(run => run.worker === options.id),
    )
    .some(({spans}) => spans.some(overlaps));
}

/**
 * Whether a cut answer is a case that docs/incidents/connection-delimited-answers.md
 * names as undecided: an answer without a length of a process that exits right
 * after it, or that can't be watched as it has stopped listening. A request that
 * may run again has to do so, unless other workers have faults.
 */
function isEndUndecided(
  {endedMs, isRepeatable, runs}: ProcessRequest,
  workers: readonly WorkerProcess[],
): boolean {
  const {exitAfterMs = Infinity, framing, isLeaving, worker} = runs.at(-1)!;
  const isNamed = exitAfterMs <= EXIT_MS || isLeaving;
  if (framing !== FRAMING.none || !isNamed) return false;
  if (!isRepeatable || runs.length > 1) return true;
  const {service} = workers.find(({options}) => options.id === worker)!.options;
  return workers
    .filter(({options}) => options.service === service && options.id !== worker)
    .some(({spans}) =>
      spans.some(
        ({fromMs, toMs}) =>
          fromMs < endedMs + NEAR_MS && toMs > endedMs - NEAR_MS,
      ),
    );
}
