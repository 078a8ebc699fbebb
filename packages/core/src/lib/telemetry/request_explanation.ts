/** Explanation of the outcome of a request from log lines. @packageDocumentation */

import {ParsedLine} from './log_line.js';

/**
 * Time before the end of a request in which other events are considered
 * related.
 */
const CONTEXT_MS = 12_000;

/**
 * Event of an added target. It is related to a request only if the request was
 * sent to that target.
 */
const TARGET_ADDED_EVENT = 'target_came';

/** Events that change a host's view of the system or its ability to serve. */
const HOST_STATE_EVENTS: ReadonlySet<string> = new Set([
  'started',
  'stopping',
  'stopped',
  'settings_reloaded',
  'dependency_lost',
  'dependency_regained',
  'configuration_read',
  'configuration_unreadable',
  'configuration_stale',
  'configuration_fresh',
  'order_lease_holder',
  'order_lease_holder_silent',
  'order_lease_claimed',
  'order_lease_resigned',
  'order_lease_log_unread',
  'order_lease_log_read',
  'residency_taken_over',
  TARGET_ADDED_EVENT,
  'target_gone',
  'target_leaving',
  'target_avoided',
  'target_limit',
  'target_trusted',
  'target_unreachable',
  'log_lines_dropped',
  'request_lines_omitted',
]);

/**
 * Events about models, which are related only if they name the request's model.
 */
const MODEL_EVENTS: ReadonlySet<string> = new Set([
  'swap_started',
  'swap_ended',
  'order',
  'stream_not_continued',
]);

/** Events about prompt parts, which are related if the request has the part. */
const PART_EVENTS: ReadonlySet<string> = new Set([
  'part_standing',
  'part_released',
]);

/** Event of a check whether the process of a target has ended. */
const END_CHECKED_EVENT = 'target_end_checked';

/** Descriptions of the causes of refusals and failures, by reason. */
const CAUSES_BY_REASON: Readonly<Record<string, string>> = {
  unauthenticated: 'the key is in no configuration that this host has',
  'unknown-route': 'no route of the configuration takes host and path',
  'over-rate': "the team's tokens were used up over all hosts",
  'no-capacity': 'no target could take it: see the waits and sends above',
  'config-too-old': 'the host had no recent word from the store',
  stopping: 'the host was stopping',
  quarantined: 'targets crashed on a part of its prompt: see their ends above',
  deadline: 'its time ran out: see where it waited or was sent',
  'target-lost': 'a target took it and gave no whole answer',
  'bad-request': 'the request was malformed',
  'too-large': 'the request was larger than the configuration allows',
};

/** Descriptions of what ended the last send of a request, by `ended_by`. */
const SEND_ENDS: Readonly<Record<string, string>> = {
  target: 'the target or its connection broke off',
  'head-timeout': 'this host, as no answer began in time',
  stall:
    'this host, as the stream made no progress while its target answered others',
  'target-ended': 'this host, as nothing listened at the address of the target',
  'target-unreachable': 'this host, as the target accepted no connections',
  quarantine: 'this host, as a part of the prompt was quarantined',
  deadline: 'the deadline',
  caller: 'the caller, who disconnected',
  'earlier-answer':
    "this host, which closed the caller's connection before the answer's turn",
  host: "this host, which closed the caller's connection",
  stop: 'this host, at the end of its stop',
};

/** Value of `answer` of a request whose answer ended after its head. */
const CUT_ANSWER = 'cut';

/** Explanation of a request. */
export interface RequestExplanation {
  /** Lines of the request and of related events, sorted by time. */
  lines: string[];
  /** Description of the outcome; undefined if no line reports the end. */
  cause: string | undefined;
}

/**
 * Explains the outcome of a request.
 *
 * @param id - id of the request.
 * @param parsed - log lines of one or more hosts, in any order.
 * @returns the explanation, or undefined if no line names the request.
 */
export function explainRequest(
  id: string,
  parsed: readonly ParsedLine[],
): RequestExplanation | undefined {
  const own = parsed.filter(line => line.get('id') === id).sort(byTime);
  if (own.length === 0) return undefined;
  const end = own.find(line => line.get('event') === 'request');
  const targets = new Set(own.flatMap(targetsOf));
  const related =
    end === undefined
      ? []
      : [
          ...findRelatedLines(end, targets, parsed),
          ...findPartLines(end, parsed),
        ];
  const lines = [...own, ...related].sort(byTime).map(formatLine);
  return {lines, cause: end && causeOf(end)};
}

/**
 * Returns related lines from before the end of a request: state changes of its
 * host, and model events of any host that name its model.
 */
function findRelatedLines(
  end: ParsedLine,
  targets: ReadonlySet<string>,
  parsed: readonly ParsedLine[],
): ParsedLine[] {
  const endMs = timeOf(end);
  const model = end.get('model');
  return parsed.filter(line => {
    const agoMs = endMs - timeOf(line);
    if (agoMs < 0 || agoMs > CONTEXT_MS) return false;
    const event = line.get('event') ?? '';
    if (MODEL_EVENTS.has(event)) {
      if (model === undefined) return false;
      const victims = line.get('victims')?.split(',') ?? [];
      return line.get('model') === model || victims.includes(model);
    }
    if (line.get('host') !== end.get('host')) return false;
    if (event === TARGET_ADDED_EVENT)
      return targets.has(line.get('target') ?? '');
    return HOST_STATE_EVENTS.has(event);
  });
}

/**
 * Returns what the host of a request knew about the parts of its prompt,
 * however long ago, and the ends of targets that it refers to.
 */
function findPartLines(
  end: ParsedLine,
  parsed: readonly ParsedLine[],
): ParsedLine[] {
  const parts = new Set(end.get('parts')?.split(',') ?? []);
  const untilMs = timeOf(end);
  const earlier = parsed.filter(line => timeOf(line) <= untilMs);
  const partLines = earlier.filter(
    line =>
      PART_EVENTS.has(line.get('event') ?? '') &&
      line.get('host') === end.get('host') &&
      parts.has(line.get('part') ?? ''),
  );
  const ended = new Set(partLines.flatMap(targetsOf));
  const endLines = earlier.filter(
    line =>
      line.get('event') === END_CHECKED_EVENT &&
      line.get('ended') === 'true' &&
      ended.has(line.get('target') ?? ''),
  );
  return [...partLines, ...endLines];
}

/** Returns the targets that a line names. */
function targetsOf(line: ParsedLine): string[] {
  const listed = line.get('targets')?.split(',') ?? [];
  const target = line.get('target');
  return target === undefined ? listed : [...listed, target];
}

function causeOf(end: ParsedLine): string {
  const outcome = end.get('outcome') ?? 'unknown';
  const reason = end.get('reason');
  if (reason === undefined)
    return `${outcome} with status ${end.get('status')}`;
  const cause = CAUSES_BY_REASON[reason] ?? reason;
  const detail = end.get('detail');
  const detailText = detail === undefined ? '' : ` (${detail})`;
  return `${outcome}, ${reason}: ${cause}${detailText}${cutTextOf(end)}`;
}

function cutTextOf(end: ParsedLine): string {
  if (end.get('answer') !== CUT_ANSWER) return '';
  const endedBy = end.get('ended_by') ?? 'unknown';
  return `; the answer was cut; its last send was ended by ${SEND_ENDS[endedBy] ?? endedBy}`;
}

function formatLine(line: ParsedLine): string {
  const shown: string[] = [];
  for (const [key, value] of line) {
    if (key === 'time' || key === 'level' || key === 'event') continue;
    if (key === 'host') continue;
    shown.push(`${key}=${value}`);
  }
  const head = [line.get('time'), line.get('host'), line.get('event')];
  return `${head.join('  ')}  ${shown.join(' ')}`;
}

function timeOf(line: ParsedLine): number {
  return Date.parse(line.get('time') ?? '');
}

function byTime(a: ParsedLine, b: ParsedLine): number {
  return timeOf(a) - timeOf(b);
}
