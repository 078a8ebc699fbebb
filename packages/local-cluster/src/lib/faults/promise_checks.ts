/** Checks every promise against the records of the stand-ins. @packageDocumentation */

import {EngineRun} from '@fuchsiacleat/standins';
import {CALLER_END} from '../caller.js';
import {describeEnd} from './end_report.js';
import {FaultSchedule} from './fault_schedule.js';
import {FaultScenario, TEAM_BURST, TEAM_RATE} from './fault_scenario.js';
import {LoopLag} from './loop_lag.js';
import {PlacementMonitor} from './placement_monitor.js';
import {JournalEntry, RequestJournal} from './request_journal.js';

const MAX_DELAY_MS = 100;
const WITHDRAWAL_TIMEOUT_MS = 5_000;
const LEAVING_TIMEOUT_MS = 3_000;
const MS_PER_SECOND = 1_000;
const KEY_MARKERS = ['fc-kept-', 'fc-loose-', 'fc-nobody'];
const MAX_SHOWN_VIOLATIONS = 5;

/** Records of a fault run. */
export interface RunRecord {
  scenario: FaultScenario;
  schedule: FaultSchedule;
  journal: RequestJournal;
  monitor: PlacementMonitor;
  lag: LoopLag;
}

/** Verdict on one promise. */
export interface PromiseVerdict {
  slug: string;
  /** Number of checked facts. */
  checked: number;
  /** Description of each violation. */
  violations: string[];
}

type Check = (record: RunRecord) => Omit<PromiseVerdict, 'slug'>;

/** Check of each promise, in the order of the promises. */
const CHECKS: Readonly<Record<string, Check>> = {
  'replicas-as-decided': checkReplicas,
  memory: checkMemory,
  'served-or-refused': checkServedOrRefused,
  'team-only': checkTeamOnly,
  'caller-key-hidden': checkKeyHidden,
  'key-withdrawn': checkKeyWithdrawn,
  'team-rate': checkTeamRate,
  'whole-answer': checkWholeAnswer,
  'not-run-true': checkNotRun,
  'at-most-once': checkAtMostOnce,
  'leaving-target': checkLeaving,
  'graceful-stop': checkGracefulStop,
  'configuration-in-force': checkConfiguration,
};

/** @returns the verdicts on all promises. */
export function checkPromises(record: RunRecord): PromiseVerdict[] {
  return Object.entries(CHECKS).map(([slug, check]) => ({
    slug,
    ...check(record),
  }));
}

/** @returns whether a promise was exercised and kept. */
export function isKept({checked, violations}: PromiseVerdict): boolean {
  return checked > 0 && violations.length === 0;
}

/** @returns a verdict as one line, followed by a line for each violation. */
export function formatVerdict(verdict: PromiseVerdict): string {
  const {slug, checked, violations} = verdict;
  const broken = violations.length > 0 ? 'BROKEN' : 'not exercised';
  const state = isKept(verdict) ? 'ok' : broken;
  const count = `${checked} checked, ${violations.length} broken`;
  const shown = violations.slice(0, MAX_SHOWN_VIOLATIONS);
  const line = `promise ${slug}: ${state} (${count})`;
  return [line, ...shown.map(text => `  ${text}`)].join('\n');
}

function checkReplicas({scenario, monitor}: RunRecord) {
  const {engines} = scenario.cluster;
  const loads = [...engines.values()].flatMap(({orders}) =>
    orders.filter(({order}) => order.kind === 'load'),
  );
  const violations = [
    ...monitor.replicaViolations,
    ...undecidedLoads(scenario),
  ];
  return {checked: loads.length, violations};
}

/** @returns descriptions of executed loads without a recorded decision. */
export function undecidedLoads({cluster}: FaultScenario): string[] {
  const {log, engines} = cluster;
  const decided = new Set<string>();
  for (const stream of log.streamNames()) {
    for (const {body} of log.records(stream)) {
      const id = decisionId(body);
      if (id !== undefined) decided.add(id);
    }
  }
  const undecided: string[] = [];
  for (const [name, engine] of engines) {
    for (const {id, order} of engine.orders) {
      if (order.kind !== 'load' || decided.has(id)) continue;
      undecided.push(`${name} loaded ${order.model} without a decision`);
    }
  }
  return undecided;
}

function decisionId(body: unknown): string | undefined {
  const record = body as {type?: string; body?: {decision?: {id: string}}};
  return record.type === 'replica-decision'
    ? record.body?.decision?.id
    : undefined;
}

function checkMemory({scenario}: RunRecord) {
  const violations: string[] = [];
  let checked = 0;
  for (const [name, {memory, orders}] of scenario.cluster.engines) {
    checked += orders.length;
    if (memory.overcommits === 0) continue;
    violations.push(`${name}: ${memory.overcommits} loads did not fit`);
  }
  return {checked, violations};
}

function checkServedOrRefused(record: RunRecord) {
  const {journal, lag, schedule} = record;
  const violations: string[] = [];
  for (const entry of journal.entries) {
    const {sentMs, endedMs, deadlineMs, answer, text, host} = entry;
    if (answer.end === CALLER_END.cut && !wasHostDown(schedule, entry)) {
      const report = describeEnd(entry, record);
      violations.push(`${text} at ${host}: cut without an outcome; ${report}`);
    }
    const lateMs =
      endedMs - sentMs - deadlineMs - lag.lagWithin(sentMs, endedMs);
    if (lateMs <= MAX_DELAY_MS) continue;
    const report = describeEnd(entry, record);
    violations.push(
      `${text} at ${host}: ${Math.round(lateMs)} ms late; ${report}`,
    );
  }
  return {checked: journal.entries.length, violations};
}

/** Whether the host was killed or restarted while it handled the request. */
function wasHostDown(schedule: FaultSchedule, entry: JournalEntry): boolean {
  return overlaps(schedule, entry, ['host-killed']);
}

function overlaps(
  {episodes}: FaultSchedule,
  {host, sentMs, endedMs}: JournalEntry,
  faults: readonly string[],
): boolean {
  return episodes.some(
    episode =>
      faults.includes(episode.fault) &&
      episode.subject === host &&
      episode.fromMs <= endedMs &&
      episode.toMs >= sentMs,
  );
}

function checkTeamOnly({scenario, journal}: RunRecord) {
  const runs = countRuns(scenario);
  const unentitled = journal.entries.filter(entry => !entry.isEntitled);
  const violations = unentitled
    // A repeat under an idempotency key may share the text of an entitled call.
    .filter(entry => entry.idempotencyKey === undefined)
    .filter(({text}) => (runs.get(text) ?? 0) > 0)
    .map(({text, team, route}) => `${text}: ran for ${team} on ${route}`);
  return {checked: unentitled.length, violations};
}

function checkKeyHidden({scenario}: RunRecord) {
  const violations: string[] = [];
  const {engines, services} = scenario.cluster;
  const records = [
    ...[...engines.values()].flatMap(engine => engine.runs),
    ...[...services.values()].flatMap(service => service.runs),
  ];
  for (const record of records) {
    const text = JSON.stringify(record);
    if (KEY_MARKERS.some(mark => text.includes(mark))) violations.push(text);
  }
  return {checked: records.length, violations};
}

function checkKeyWithdrawn({scenario, journal, schedule}: RunRecord) {
  const runs = countRuns(scenario);
  const violations: string[] = [];
  let checked = 0;
  for (const entry of journal.entries) {
    if (!entry.usesRevocableKey || entry.idempotencyKey !== undefined) continue;
    const withdrawn = schedule.withdrawals.some(
      ({team, fromMs, toMs}) =>
        team === entry.team &&
        entry.sentMs > fromMs + WITHDRAWAL_TIMEOUT_MS &&
        entry.endedMs < toMs,
    );
    if (!withdrawn || wasDisconnected(schedule, entry)) continue;
    checked += 1;
    if ((runs.get(entry.text) ?? 0) === 0) continue;
    violations.push(`${entry.text} at ${entry.host}: ran with a withdrawn key`);
  }
  return {checked, violations};
}

/**
 * Whether a host may have been disconnected from both the log and its peers
 * within the withdrawal timeout before a request arrived.
 */
function wasDisconnected(
  {episodes}: FaultSchedule,
  {sentMs, host}: JournalEntry,
): boolean {
  const from = sentMs - WITHDRAWAL_TIMEOUT_MS;
  const cuts = ['log-down', 'log-answers-lost'];
  return episodes.some(
    ({fault, subject, fromMs, toMs}) =>
      (cuts.includes(fault) || (fault === 'zone-cut' && subject === host[0])) &&
      fromMs <= sentMs &&
      toMs >= from,
  );
}

function checkTeamRate({scenario, journal}: RunRecord) {
  const teamOf = new Map(journal.entries.map(({text, team}) => [text, team]));
  const times = new Map<string, number[]>();
  for (const run of engineRuns(scenario)) {
    const team = teamOf.get(run.text) ?? '';
    times.set(team, [...(times.get(team) ?? []), ...run.tokenTimesMs]);
  }
  const violations: string[] = [];
  let checked = 0;
  const clocks = [...scenario.clocks.values()];
  const jumpedMs = clocks.reduce((sum, clock) => sum + clock.totalJumpMs, 0);
  for (const [team, unsorted] of times) {
    const sorted = unsorted.sort((a, b) => a - b);
    checked += sorted.length;
    const excess = maxExcess(sorted, jumpedMs);
    if (excess <= 0) continue;
    violations.push(`${team}: ${Math.ceil(excess)} tokens over its limit`);
  }
  return {checked, violations};
}

/**
 * Returns the maximum excess of any window over rate * window + burst. A host
 * refills the bucket for the time by which its clock jumped, so the bound
 * includes that time.
 */
function maxExcess(timesMs: readonly number[], jumpedMs: number): number {
  const perMs = TEAM_RATE / MS_PER_SECOND;
  const bound = TEAM_BURST + perMs * jumpedMs;
  let excess = -Infinity;
  let minLevel = Infinity;
  timesMs.forEach((atMs, index) => {
    const refilled = perMs * atMs;
    minLevel = Math.min(minLevel, index - refilled);
    excess = Math.max(excess, index + 1 - refilled - minLevel - bound);
  });
  return excess;
}

function checkWholeAnswer({journal}: RunRecord) {
  const violations: string[] = [];
  let checked = 0;
  for (const {expected, answer, text} of journal.entries) {
    if (expected === undefined) continue;
    checked += 1;
    const isServed = answer.end === CALLER_END.served;
    const isCorrect = isServed
      ? answer.text === expected
      : expected.startsWith(answer.text);
    if (!isCorrect) violations.push(`${text}: got another text`);
  }
  return {checked, violations};
}

function checkNotRun({scenario, journal}: RunRecord) {
  const runs = countRuns(scenario);
  const refused = journal.entries.filter(
    ({answer, idempotencyKey}) =>
      answer.end === CALLER_END.notRun && idempotencyKey === undefined,
  );
  const violations = refused
    .filter(({text}) => (runs.get(text) ?? 0) > 0)
    .map(({text, answer}) => `${text}: ran, but was refused: ${answer.code}`);
  return {checked: refused.length, violations};
}

function checkAtMostOnce({scenario}: RunRecord) {
  const runs = new Map<string, number>();
  for (const service of scenario.cluster.services.values()) {
    for (const {body} of service.runs) {
      runs.set(body, (runs.get(body) ?? 0) + 1);
    }
  }
  const violations = [...runs]
    .filter(([, count]) => count > 1)
    .map(([body, count]) => `${body}: ran ${count} times`);
  return {checked: runs.size, violations};
}

function checkLeaving({scenario, monitor, lag}: RunRecord) {
  const violations: string[] = [];
  let checked = 0;
  for (const {target, fromMs, toMs = Infinity} of monitor.leavePeriods) {
    const engine = scenario.cluster.engines.get(target)!;
    const missedMs = lag.lagWithin(fromMs, fromMs + LEAVING_TIMEOUT_MS);
    const limitMs = fromMs + LEAVING_TIMEOUT_MS + missedMs;
    checked += 1;
    const late = engine.runs.filter(
      ({startedMs}) => startedMs > limitMs && startedMs < toMs,
    );
    if (late.length === 0) continue;
    violations.push(`${target}: ${late.length} new runs while leaving`);
  }
  return {checked, violations};
}

function checkGracefulStop(record: RunRecord) {
  const {journal, schedule} = record;
  const stops = journal.entries.filter(entry =>
    overlaps(schedule, entry, ['host-stopped']),
  );
  const violations = stops
    .filter(({answer}) => answer.end === CALLER_END.cut)
    .map(entry => {
      const report = describeEnd(entry, record);
      return `${entry.text}: cut by the stop of ${entry.host}; ${report}`;
    });
  return {checked: stops.length, violations};
}

function checkConfiguration({scenario, monitor}: RunRecord) {
  const violations = [...monitor.versionRegressions];
  const versions = [...scenario.cluster.daemons].map(
    ([host, daemon]) => [host, daemon.configVersion] as const,
  );
  const newest = Math.max(...versions.map(([, version]) => version));
  for (const [host, version] of versions) {
    if (version === newest) continue;
    violations.push(`${host}: version ${version} instead of ${newest}`);
  }
  return {checked: versions.length, violations};
}

function engineRuns(scenario: FaultScenario): EngineRun[] {
  return [...scenario.cluster.engines.values()].flatMap(engine => engine.runs);
}

/** Counts how often stand-ins ran the request with each text. */
function countRuns(scenario: FaultScenario): Map<string, number> {
  const runs = new Map<string, number>();
  const add = (text: string) => runs.set(text, (runs.get(text) ?? 0) + 1);
  for (const {text} of engineRuns(scenario)) add(text);
  for (const service of scenario.cluster.services.values()) {
    for (const {body} of service.runs) add(body);
  }
  return runs;
}
