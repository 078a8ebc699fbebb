/** Checks that requests that were read are answered. @packageDocumentation */

import {FAULTY_ANSWER, FaultyAnswer, WorkerRun} from '@fuchsiacleat/standins';
import {SentRequest} from './request_ledger.js';
import {PROMISE, SoakRecord, Violation, runsById} from './soak_checks.js';

/**
 * Time after which a request that no worker ran counts as read by its host; a
 * request that crosses the close of an idle connection is not.
 */
const READ_MS = 500;

/** Time before the time limit of a request in which it may end, in milliseconds. */
const LIMIT_MARGIN_MS = 200;

/** Errors of requests that were not sent. */
const NOT_SENT: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/** Faults by which a worker breaks its answer off. */
const BREAKS_OFF: ReadonlySet<FaultyAnswer> = new Set([
  FAULTY_ANSWER.lose,
  FAULTY_ANSWER.cut,
  FAULTY_ANSWER.unframedShort,
  FAULTY_ANSWER.unframedEvents,
]);

/**
 * A request that a host has read whole ends with a complete answer or a status,
 * unless a worker broke its answer off or something unplanned excuses it.
 *
 * @param record - the records of the run.
 * @returns the violations.
 */
export function checkAnswered(record: SoakRecord): Violation[] {
  const {ledger, workers} = record;
  const runs = runsById(workers);
  return ledger
    .all()
    .filter(({isComplete}) => !isComplete)
    .filter(request => isOwed(record, request, runs.get(request.id) ?? []))
    .map(request => ({promise: PROMISE.answered, detail: describe(request)}));
}

function isOwed(
  {disturbances, minTimeoutMs}: SoakRecord,
  {endedMs, error, host, sentMs, status}: SentRequest,
  runs: readonly WorkerRun[],
): boolean {
  if (runs.some(({fault}) => fault !== undefined && BREAKS_OFF.has(fault)))
    return false;
  if (endedMs === undefined || NOT_SENT.has(error ?? '')) return false;
  const ageMs = endedMs - sentMs;
  if (ageMs > minTimeoutMs - LIMIT_MARGIN_MS) return false;
  const isRead = status !== undefined || runs.length > 0 || ageMs > READ_MS;
  return isRead && disturbances.isCalm(host, sentMs, endedMs);
}

function describe(request: SentRequest): string {
  const {endedMs = 0, error, host, id, route, sentMs, status} = request;
  const ageMs = Math.round(endedMs - sentMs);
  const head = status === undefined ? 'no head' : `head ${status}`;
  return `${id} (${route}) at ${host}: ${error}, ${head}, after ${ageMs} ms`;
}
