/** Generates the tables of the capacity page. @packageDocumentation */

import {CONTROL_BUDGET, DESIGN_SIZE, LOG_APPENDS_PER_S} from './design_size.js';
import {StoredResults} from './results.js';

const SECONDS_PER_HOUR = 3_600;
const SECONDS_PER_DAY = 24 * SECONDS_PER_HOUR;
const MS_PER_SECOND = 1_000;
const HELD_STREAMS = 1_000;
const RENEWALS_PER_S = 0.5;
const KEYED_REQUESTS = 0.01;
const RECORDS_PER_KEYED_REQUEST = 2;

/** Generators of the tables, by the names in the page's markers. */
export const CAPACITY_TABLES: Readonly<
  Record<string, (results: StoredResults) => string>
> = {
  roles,
  control,
  slopes,
  path: requestPath,
  configuration,
  placement,
  limits,
  log: logUse,
};

/** Returns the number of open streams per host at peak load. */
function streamsPerHost(): number {
  const {tokensPerS, tokenGapMs, nodes} = DESIGN_SIZE;
  return (tokensPerS * tokenGapMs) / MS_PER_SECOND / nodes;
}

function roles(results: StoredResults): string {
  const {tokensPerS, requestsPerS, nodes, models, changingPerHour, zones} =
    DESIGN_SIZE;
  const streams = streamsPerHost();
  const tokens = tokensPerS / nodes;
  const streamMib = results.get('path.held_streams_resident') / HELD_STREAMS;
  const heap = results.get('configuration.heap');
  const saturation = results.get('path.saturation_tokens');
  const loads = (models * changingPerHour) / zones;
  const percent = (value: number) => withUnit(value, '% of a core');
  const role = (name: string, state: string, messages: string) => [
    `zone ${name}`,
    state,
    messages,
    percent(results.get(`control.cpu_${name}_at_design`)),
    withUnit(results.get(`control.memory_${name}_at_design`), 'MB'),
  ];
  const bytes = (name: string) =>
    withUnit(results.get(`control.bytes_${name}_at_design`), 'B/s');
  const sent = Math.max(
    ...['saurashtra', 'upplysingavefur'].map(user =>
      results.get(`limits.${user}.greedy_all.shared.sent_per_host`),
    ),
  );
  const rows = [
    [
      'entry host on the request path',
      withUnit(streams, 'streams'),
      `${withUnit(requestsPerS / nodes, 'requests/s')}, ` +
        withUnit(tokens, 'tokens/s'),
      percent((100 * tokens) / saturation),
      `at most ${withUnit(streams * streamMib, 'MiB')}`,
    ],
    role('member', 'configuration, members, zone view', bytes('member')),
    role(
      'controller',
      `ledger of ${DESIGN_SIZE.targetsPerZone} targets`,
      `${bytes('controller')}; ${withUnit(loads, 'loads/h')}`,
    ),
    [
      'home of a float, lender and borrower',
      'a bucket for each team, loans by host',
      `${withUnit(sent, 'B/s')} at the sizes of today`,
      'part of a member',
      'part of a member',
    ],
    [
      'log writer and reader',
      'position and 2,000 record ids of each stream',
      withUnit(appendsPerS() / nodes, 'appends/s'),
      'part of a member',
      'part of a member',
    ],
    [
      'operator tool',
      'the configuration twice',
      'one call for each command',
      `${withUnit(results.get('configuration.first_publication'), 'ms')} once`,
      withUnit(2 * heap, 'MiB'),
    ],
  ];
  const head = ['role', 'state', 'messages', 'processor time', 'memory'];
  return table(head, rows);
}

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

function slopes(results: StoredResults): string {
  const {hostsPerZone, zones, models, adapters} = DESIGN_SIZE;
  const sizes = {peers: hostsPerZone, zones, models, adapters};
  const rows = Object.entries(sizes).map(([name, size]) => {
    const slope = (resource: string) =>
      results.get(`control.${resource}_slope_by_${name}`).toPrecision(3);
    const points = results.measuredAt(`control.bytes_by_${name}_controller`);
    const reach = size / Math.max(...points);
    return [
      name,
      points.join(', '),
      slope('bytes'),
      slope('cpu'),
      slope('memory'),
      withUnit(reach, 'times'),
    ];
  });
  const head = ['by', 'points', 'B/s', '% of a core', 'MB', 'extrapolated'];
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
  const {requestsPerS, tokensPerS, nodes} = DESIGN_SIZE;
  const streams = streamsPerHost();
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

/** Returns the kinds of log record with their appends per second. */
function recordKinds(): Array<[string, number]> {
  const size = DESIGN_SIZE;
  const wakeUps = (size.models * size.changingPerHour) / SECONDS_PER_HOUR;
  const arrivals = size.replacementsPerDay + size.failuresPerDay;
  const keyed = size.requestsPerS * KEYED_REQUESTS;
  return [
    ['lease renewals, one zone each 2 s', size.zones * RENEWALS_PER_S],
    ['joins and leaves', (2 * arrivals) / SECONDS_PER_DAY],
    ['replica decisions, a load and an eviction each', 2 * wakeUps],
    ['publications', size.changesPerDay / SECONDS_PER_DAY],
    ['keyed requests, 1 in 100', keyed * RECORDS_PER_KEYED_REQUEST],
  ];
}

function appendsPerS(): number {
  return recordKinds().reduce((sum, [, appends]) => sum + appends, 0);
}

function logUse(): string {
  const total = appendsPerS();
  const rows = recordKinds().map(([kind, appends]) => [
    kind,
    withUnit(appends, '/s'),
  ]);
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
