/** The tables of the capacity page. @packageDocumentation */

import {CONTROL_BUDGET, DESIGN_SIZE, LOG_APPENDS_PER_S} from './design_size.js';
import {StoredResults} from './results.js';

const SECONDS_PER_HOUR = 3_600;
const SECONDS_PER_DAY = 24 * SECONDS_PER_HOUR;
const MS_PER_SECOND = 1_000;
const RENEWALS_PER_S = 0.5;
const KEYED_REQUESTS = 0.01;
const RECORDS_PER_KEYED_REQUEST = 2;

/** The tables by the names that the page gives them. */
export const CAPACITY_TABLES: Readonly<
  Record<string, (results: StoredResults) => string>
> = {control, path: requestPath, configuration, placement, limits, log: logUse};

function control(results: StoredResults): string {
  const {bytesPerS, corePercent, memoryMb} = CONTROL_BUDGET;
  const rows = ['member', 'controller'].flatMap(role => [
    budgetRow(role, 'bytes', 'B/s', bytesPerS, results),
    budgetRow(role, 'cpu', '% of a core', corePercent, results),
    budgetRow(role, 'memory', 'MB', memoryMb, results),
  ]);
  const head = ['role', 'resource', 'at the design size', 'budget', 'verdict'];
  return table(head, rows);
}

function budgetRow(
  role: string,
  resource: string,
  unit: string,
  budget: number,
  results: StoredResults,
): string[] {
  const value = results.get(`control.${resource}_${role}_at_design`);
  const verdict = value <= budget ? 'within' : '**over**';
  return [
    role,
    resource,
    withUnit(value, unit),
    withUnit(budget, unit),
    verdict,
  ];
}

function requestPath(results: StoredResults): string {
  const {requestsPerS, tokensPerS, nodes, tokenGapMs} = DESIGN_SIZE;
  const tokens = tokensPerS / requestsPerS;
  const streams = (requestsPerS * tokens * tokenGapMs) / MS_PER_SECOND / nodes;
  const heldMib = results.get('path.held_streams_resident');
  const rows = [
    [
      'requests',
      withUnit(requestsPerS / nodes, '/s'),
      withUnit(results.get('path.saturation_requests'), '/s'),
    ],
    [
      'tokens',
      withUnit(tokensPerS / nodes, '/s'),
      withUnit(results.get('path.saturation_tokens'), '/s'),
    ],
    [
      'streams at once',
      withUnit(streams, ''),
      `1,000 in ${withUnit(heldMib, 'MiB')}`,
    ],
  ];
  return table(['load', 'a host at the design size', 'measured'], rows);
}

function configuration(results: StoredResults): string {
  const metric = (name: string) => results.get(`configuration.${name}`);
  const rows = [
    ['heap of the configuration', withUnit(metric('heap'), 'MiB')],
    ['snapshot', withUnit(metric('snapshot'), 'MiB')],
    ['one change, p95', withUnit(metric('change_p95'), 'ms')],
    ['1,100 changes', withUnit(metric('all_changes'), 'ms')],
    ['append to in force, 9 hosts', withUnit(metric('all_linked_max'), 's')],
    [
      'the same, a zone without the log',
      withUnit(metric('zone_without_log_max'), 's'),
    ],
  ];
  return table(['590 models, 16,000 adapters', 'measured'], rows);
}

function placement(results: StoredResults): string {
  const metric = (name: string) => results.get(`placement.large.${name}`);
  const rows = [
    ['decision, p50', withUnit(metric('decision_p50'), 'ms')],
    ['decision, p99', withUnit(metric('decision_p99'), 'ms')],
    ['memory', withUnit(metric('memory'), 'MiB')],
  ];
  return table(['90 targets, 590 models, 16,000 adapters', 'measured'], rows);
}

function limits(results: StoredResults): string {
  const rows = ['saurashtra', 'upplysingavefur'].map(user => [
    user,
    withUnit(results.get(`limits.${user}.healthy.shared.sent_per_host`), 'B/s'),
    withUnit(
      results.get(`limits.${user}.greedy_all.shared.sent_per_host`),
      'B/s',
    ),
  ]);
  const admission = withUnit(results.get('limits.admission.added_p95'), 'ms');
  const head = [
    'user',
    'sent by a host, healthy',
    'one team at 5 times its rate',
  ];
  return `${table(head, rows)}\n\nAdded p95 of an admission: ${admission}.`;
}

function logUse(): string {
  const size = DESIGN_SIZE;
  const wakes = (size.models * size.changingPerHour) / SECONDS_PER_HOUR;
  const comings = size.replacementsPerDay + size.failuresPerDay;
  const keyed = size.requestsPerS * KEYED_REQUESTS;
  const kinds: Array<[string, number]> = [
    ['lease renewals, one zone each 2 s', size.zones * RENEWALS_PER_S],
    ['joins and leaves', (2 * comings) / SECONDS_PER_DAY],
    ['replica decisions, a load and an eviction each', 2 * wakes],
    ['publications', size.changesPerDay / SECONDS_PER_DAY],
    ['keyed requests, 1 in 100', keyed * RECORDS_PER_KEYED_REQUEST],
  ];
  const total = kinds.reduce((sum, [, appends]) => sum + appends, 0);
  const rows = kinds.map(([kind, appends]) => [kind, withUnit(appends, '/s')]);
  rows.push(['all', withUnit(total, '/s')]);
  rows.push(['the log takes', withUnit(LOG_APPENDS_PER_S, '/s')]);
  return table(['kind of record', 'appends at the design size'], rows);
}

function table(head: readonly string[], rows: readonly string[][]): string {
  const line = (cells: readonly string[]) => `| ${cells.join(' | ')} |`;
  const rule = line(head.map(() => '---'));
  return [line(head), rule, ...rows.map(line)].join('\n');
}

function withUnit(value: number, unit: string): string {
  const rounded = Number(value.toPrecision(3));
  return `${rounded.toLocaleString('en-US')} ${unit}`.trim();
}
