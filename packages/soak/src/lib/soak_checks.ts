/** Checks the promises against the records of callers and workers. @packageDocumentation */

import {OrderCall, WorkerRun} from '@fuchsiacleat/standins';
import {DisturbanceBook} from './disturbance_book.js';
import {RequestLedger, isStream} from './request_ledger.js';
import {versionsIn} from './stream_text.js';

/** The promises that are checked. */
export const PROMISE = {
  runsOnce: 'runs-once',
  truthfulRefusal: 'not-run-is-true',
  wholeAnswer: 'whole-answer',
  wholeDespiteFault: 'whole-despite-fault',
  rightPart: 'right-part',
  visibleEnd: 'visible-end',
  answered: 'answered',
  withdrawnKey: 'withdrawn-key',
  drain: 'drain',
  limit: 'limit',
  singleHolder: 'one-giver',
  risingNumber: 'rising-number',
  ownNumber: 'own-number',
  ordersReturn: 'orders-return',
  memory: 'memory',
  recovery: 'recovery',
  staysUp: 'stays-up',
  oneVersion: 'one-version',
  crashBudget: 'crash-budget',
} as const;

/** One of {@link PROMISE}. */
export type PromiseName = (typeof PROMISE)[keyof typeof PROMISE];

/** A violation of a promise. */
export interface Violation {
  promise: PromiseName;
  detail: string;
}

/** A time span in which a key or worker must not be used. */
export interface ForbiddenSpan {
  /** Key or worker. */
  name: string;
  /** Start of the span, after the time that hosts have to react. */
  fromMs: number;
  toMs: number;
}

/** Requests and orders that a worker received. */
export interface WorkerRecord {
  name: string;
  runs: readonly WorkerRun[];
  orders: readonly OrderCall[];
  /** Number of models that the worker can hold; undefined for a plain service. */
  modelCapacity: number | undefined;
  /** Number of models that the worker held at the start. */
  initialModels: number;
}

/** A team with a limit, by its key. */
export interface TeamLimit {
  key: string;
  /** Length of the sliding window, in milliseconds. */
  windowMs: number;
  /** Most requests that may run in a window. */
  requests: number;
}

/** Records of a run to be checked. */
export interface SoakRecord {
  ledger: RequestLedger;
  workers: readonly WorkerRecord[];
  withdrawn: readonly ForbiddenSpan[];
  drained: readonly ForbiddenSpan[];
  /** The only limited team. */
  limit: TeamLimit;
  /** Shortest time between orders of two hosts to one worker. */
  minOrderGapMs: number;
  /** Times at which hosts resumed or links recovered; delayed orders may follow. */
  resumptionsMs: readonly number[];
  /** Times at which the store came back from an older copy. */
  restoresMs: readonly number[];
  /** Time at which the callers stopped. */
  callersEndMs: number;
  disturbances: DisturbanceBook;
  /** Shortest time limit of requests in any configuration. */
  minTimeoutMs: number;
  /** Number of events of each stream. */
  streamEvents: number;
  /** Times at which the processes of a host were killed or exited, by its name. */
  hostEndsMs: ReadonlyMap<string, readonly number[]>;
  /** Times at which workers crashed on the request that crashes them. */
  crashesMs: readonly number[];
}

/** Statuses that guarantee that a request did not run and never will. */
const NOT_RUN = new Set([408, 421, 429, 503]);

/** What events hold, by the software version of the worker. */
export const PIECE_OF = {v1: 'piece', v2: 'piece of v2'} as const;

/** Body of the request on which workers crash. */
export const CRASHING_BODY = 'crashing';

/** Body of requests whose answers are large. */
export const LARGE_BODY = 'large';

/** Ends under a request after which hosts have to know it, and in what time. */
const KNOWN_CRASHES = 3;
const CRASH_KNOWN_MS = 3_000;

/** Most runs of the request after that. */
const MAX_LATE_CRASHES = 3;

/** @returns every violation that the records show. */
export function checkRecords(record: SoakRecord): Violation[] {
  return [
    ...checkRuns(record),
    ...checkForbiddenUse(record),
    ...checkLimit(record),
    ...checkVersions(record),
    ...checkCrashes(record),
  ];
}

function checkRuns({ledger, workers}: SoakRecord): Violation[] {
  const runs = runsById(workers);
  const found: Violation[] = [];
  for (const request of ledger.all()) {
    const {id, route, status} = request;
    const count = runs.get(id)?.length ?? 0;
    const mayRepeat = route === 'repeatable' || route === 'resumable';
    if (!mayRepeat && count > 1) {
      found.push(violation(PROMISE.runsOnce, `${id} ran ${count} times`));
    }
    if (count > 0 && status !== undefined && NOT_RUN.has(status)) {
      const detail = `${id} got ${status} and ran`;
      found.push(violation(PROMISE.truthfulRefusal, detail));
    }
  }
  return found;
}

/** A caller receives a stream of one version, over all its attempts. */
function checkVersions({ledger}: SoakRecord): Violation[] {
  const found: Violation[] = [];
  for (const {body = '', id, resumed, route} of ledger.all()) {
    if (!isStream(route)) continue;
    const versions = versionsIn((resumed?.text ?? '') + body);
    if (versions.length <= 1) continue;
    const begun = resumed === undefined ? '' : `, begun as ${resumed.id}`;
    const detail = `${id} got ${versions.join(' and ')}${begun}`;
    found.push(violation(PROMISE.oneVersion, detail));
  }
  return found;
}

/** A request that has ended three workers reaches few further ones. */
function checkCrashes({crashesMs, ledger, workers}: SoakRecord): Violation[] {
  const knownMs = (crashesMs[KNOWN_CRASHES - 1] ?? Infinity) + CRASH_KNOWN_MS;
  const late = workers
    .flatMap(({runs}) => runs)
    .filter(
      ({body, startedMs}) => body === CRASHING_BODY && startedMs > knownMs,
    )
    .filter(({id}) => ledger.get(id)?.wasHostUndisturbed);
  if (late.length <= MAX_LATE_CRASHES) return [];
  const detail = `${late.length} runs of a request that had ended three workers`;
  return [violation(PROMISE.crashBudget, detail)];
}

function checkForbiddenUse(record: SoakRecord): Violation[] {
  const {drained, ledger, withdrawn, workers} = record;
  const found: Violation[] = [];
  for (const {name, runs} of workers) {
    for (const {startedMs: atMs, id} of runs) {
      const request = ledger.get(id);
      if (request === undefined) continue;
      const {key, wasHostUndisturbed, sentMs} = request;
      if (isForbidden(withdrawn, key, sentMs, atMs)) {
        found.push(violation(PROMISE.withdrawnKey, `${id} ran with ${key}`));
      }
      if (wasHostUndisturbed && isForbidden(drained, name, sentMs, atMs)) {
        found.push(violation(PROMISE.drain, `${id} ran at ${name}`));
      }
    }
  }
  return found;
}

function isForbidden(
  spans: readonly ForbiddenSpan[],
  name: string,
  sentMs: number,
  atMs: number,
): boolean {
  return spans.some(
    span => span.name === name && sentMs > span.fromMs && atMs < span.toMs,
  );
}

function checkLimit({ledger, limit, workers}: SoakRecord): Violation[] {
  const times = workers
    .flatMap(({runs}) => runs)
    .filter(({id}) => ledger.get(id)?.key === limit.key)
    .map(({startedMs: atMs}) => atMs)
    .sort((a, b) => a - b);
  for (let first = 0, last = 0; last < times.length; last++) {
    while (times[last] - times[first] > limit.windowMs) first += 1;
    const count = last - first + 1;
    if (count <= limit.requests) continue;
    const detail = `${count} requests in a window for ${limit.requests}`;
    return [violation(PROMISE.limit, detail)];
  }
  return [];
}

/** @returns the runs of each request, by id. */
export function runsById(
  workers: readonly WorkerRecord[],
): Map<string, WorkerRun[]> {
  const runs = new Map<string, WorkerRun[]>();
  for (const run of workers.flatMap(worker => worker.runs)) {
    const others = runs.get(run.id);
    if (others === undefined) runs.set(run.id, [run]);
    else others.push(run);
  }
  return runs;
}

function violation(promise: PromiseName, detail: string): Violation {
  return {promise, detail};
}
