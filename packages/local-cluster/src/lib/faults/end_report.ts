/** Describes a request that ended without an outcome or late. @packageDocumentation */

import {hrTimeToMilliseconds} from '@opentelemetry/core';
import {formatTrace} from '../trace_view.js';
import {Episode} from './fault_schedule.js';
import {RunRecord} from './promise_checks.js';
import {JournalEntry} from './request_journal.js';

/** Time before a request within which faults are named, in milliseconds. */
const FAULT_MARGIN_MS = 2_000;

/**
 * Returns how a request and its connection ended, which faults were active, and
 * its trace through all hosts. Times are relative to the request's start.
 *
 * @param entry - the request.
 * @param record - records of the run.
 */
export function describeEnd(
  {
    answer,
    sentMs,
    endedMs,
    deadlineMs,
    team,
    route,
    tokens,
    traceId,
  }: JournalEntry,
  {schedule, scenario, lag}: RunRecord,
): string {
  const lifeMs = Math.round(endedMs - sentMs);
  const lagMs = Math.round(lag.lagWithin(sentMs, endedMs));
  const faults = schedule.episodes
    .filter(({fromMs, toMs}) => {
      return fromMs <= endedMs && toMs >= sentMs - FAULT_MARGIN_MS;
    })
    .map(episode => formatEpisode(episode, sentMs));
  const spans = scenario.spans
    .getFinishedSpans()
    .filter(span => span.spanContext().traceId === traceId);
  const starts = spans.map(
    ({name, startTime, status}) =>
      `${name}@${Math.round(hrTimeToMilliseconds(startTime) - performance.timeOrigin - sentMs)}` +
      (status.message === undefined ? '' : `:${status.message}`),
  );
  return [
    `${team} on ${route}, status ${answer.status}, ` +
      `${answer.text.length} characters for ${tokens} tokens, ` +
      `${answer.closed ?? answer.code ?? answer.end} after ${lifeMs} ms of ${deadlineMs} (lag ${lagMs} ms)`,
    `faults: ${faults.join(', ') || 'none'}`,
    `spans: ${starts.join(', ') || 'none'}`,
    ...formatTrace(spans),
  ].join('\n    ');
}

function formatEpisode(
  {fault, subject, fromMs, toMs}: Episode,
  originMs: number,
): string {
  const [from, to] = [fromMs, toMs].map(ms => Math.round(ms - originMs));
  return `${fault} ${subject} (${from} to ${to} ms)`;
}
