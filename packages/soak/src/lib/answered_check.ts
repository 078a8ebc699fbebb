/** Checks that requests that were read are answered. @packageDocumentation */

import {SentRequest} from './request_ledger.js';
import {PROMISE, SoakRecord, Violation, countRuns} from './soak_checks.js';

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

/**
 * A request that a host has read whole ends with a complete answer or a status,
 * unless something unplanned excuses it.
 *
 * @param record - the records of the run.
 * @returns the violations.
 */
export function checkAnswered(record: SoakRecord): Violation[] {
  const {ledger, workers} = record;
  const runs = countRuns(workers);
  const isFaulty = (id: string) =>
    workers.some(({faultyIds}) => faultyIds.has(id));
  return ledger
    .all()
    .filter(({id, isComplete}) => !isComplete && !isFaulty(id))
    .filter(request => isOwed(record, request, runs.get(request.id) ?? 0))
    .map(request => ({promise: PROMISE.answered, detail: describe(request)}));
}

function isOwed(
  {disturbances, minTimeoutMs}: SoakRecord,
  {endedMs, error, host, sentMs, status}: SentRequest,
  runs: number,
): boolean {
  if (endedMs === undefined || NOT_SENT.has(error ?? '')) return false;
  const ageMs = endedMs - sentMs;
  if (ageMs > minTimeoutMs - LIMIT_MARGIN_MS) return false;
  const isRead = status !== undefined || runs > 0 || ageMs > READ_MS;
  return isRead && disturbances.isCalm(host, sentMs, endedMs);
}

function describe(request: SentRequest): string {
  const {endedMs = 0, error, host, id, route, sentMs, status} = request;
  const ageMs = Math.round(endedMs - sentMs);
  const head = status === undefined ? 'no head' : `head ${status}`;
  return `${id} (${route}) at ${host}: ${error}, ${head}, after ${ageMs} ms`;
}
