/** Runs real hosts beside workers whose answers have faults. @packageDocumentation */

import {mkdtemp} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {Random} from '@fuchsiacleat/core';
import {
  ROUTE_PATH,
  SERVICE,
  STORE_TOPIC,
  StrictCaller,
  TEAM_KEY,
  loopbackAddress,
  nextDeployment,
  platformConfig,
} from '@fuchsiacleat/local-cluster';
import {PlatformStoreStandin, RawWorker} from '@fuchsiacleat/standins';
import {
  CheckedRequest,
  checkAnswer,
  isRefusal,
  saysNotRun,
} from './strict_answer_check.js';
import {HostProcess} from './host_process.js';
import {AnswerMix, MIXED_ANSWERS, RandomAnswers} from './random_answers.js';

const MODEL = 'm1';
const PLAIN_WORKERS = 4;
const ENGINE_WORKERS = 4;
const CALLERS = 40;

/** Paths of the requests; most of them are plain, which are served sooner. */
const PATHS: readonly string[] = [
  ...Object.values(ROUTE_PATH),
  ROUTE_PATH.once,
  ROUTE_PATH.repeatable,
];

/** Settings of hosts without a limit on retries, which faults would use up. */
export const UNLIMITED_RETRIES = {
  ConfigApplyMs: 3_000,
  DrainTimeoutMs: 3_000,
  RevokeMs: 5_000,
  GraceS: 4,
  LeaseMs: 3_000,
  RetryBudgetRatio: 1,
  BudgetSlack: 1_000_000,
  BudgetWindowS: 10,
  QuotaWindowS: 8,
  QuotaOverage: 0.1,
  QuotaSlack: 400,
} as const;

const READY_TIMEOUT_MS = 15_000;
const POLL_MS = 50;

/** Range of a caller's pause between two requests, in milliseconds. */
const PAUSE_MS = {min: 0, max: 30} as const;

/** Fraction of the answers that callers read late, and by how much at most. */
const UNREAD_FRACTION = 0.1;
const MAX_UNREAD_MS = 200;

/** How long a host stands still, and the time between, in milliseconds. */
const STILL_MS = {min: 50, max: 400} as const;
const BETWEEN_MS = {min: 500, max: 2_000} as const;

/** Time in which a refused request might still run, in milliseconds. */
const LATE_RUN_MS = 500;

/** Most bytes of an answer that a violation shows. */
const SHOWN_BYTES = 200;

/** Options of {@link runAnswers}. */
export interface AnswersOptions {
  seed: number;
  durationMs: number;
  /** Number of hosts. */
  processes: number;
  /** Which answers workers give; {@link MIXED_ANSWERS} by default. */
  mix?: AnswerMix;
  /** Node.js arguments of the hosts; see `HostOptions.args`. */
  args?: readonly string[];
}

/** Result of {@link runAnswers}. */
export interface AnswersResult {
  requests: number;
  /** Number of answers by verdict. */
  verdicts: Record<string, number>;
  /** Number of sends by fault. */
  faults: Record<string, number>;
  /** Number of violations by kind, framing and first fault. */
  violationCounts: Record<string, number>;
  violations: string[];
  /** Folder with the logs of the hosts. */
  folder: string;
}

/**
 * Sends requests to hosts that are held up at times, beside workers whose
 * answers have faults, and checks each answer.
 *
 * @param options - see {@link AnswersOptions}.
 */
export async function runAnswers(
  options: AnswersOptions,
): Promise<AnswersResult> {
  const {args, mix = MIXED_ANSWERS, processes, seed} = options;
  const random = new Random(seed);
  const folder = await mkdtemp(join(tmpdir(), 'fuchsiacleat-answers-'));
  const store = new PlatformStoreStandin();
  const workers = createWorkers(random, mix);
  const deployment = nextDeployment();
  const result: AnswersResult = {
    requests: 0,
    verdicts: {},
    faults: {},
    violationCounts: {},
    violations: [],
    folder,
  };
  const hosts: HostProcess[] = [];
  try {
    await store.start();
    for (const worker of workers) {
      await worker.start();
      store.put(STORE_TOPIC.targets, worker.id, worker.registration());
    }
    const teams = [{Name: 'team', ApiKeys: [TEAM_KEY]}];
    store.put(STORE_TOPIC.operator, 'config', platformConfig(1, teams));
    for (let i = 0; i < processes; i++) {
      const host = new HostProcess({
        name: `host-${i}`,
        zone: 'a',
        address: loopbackAddress(deployment, i),
        storePort: Number(new URL(store.url).port),
        folder,
        bounds: UNLIMITED_RETRIES,
        args,
      });
      hosts.push(host);
      await host.start();
    }
    await untilReady(hosts);
    const endMs = performance.now() + options.durationMs;
    const refused: string[] = [];
    const run = {endMs, hosts, refused, result, workers};
    const callers = Array.from({length: CALLERS}, (unusedItem, i) =>
      runCaller(`c${i}`, new Random(random.int(0, 1e9)), run),
    );
    const holds = hosts.map(host =>
      holdUp(host, new Random(random.int(0, 1e9)), endMs),
    );
    await Promise.all([...callers, ...holds]);
    await sleep(LATE_RUN_MS);
    const late = refused.filter(id => hasRun(workers, id));
    result.violations.push(...late.map(id => `refused and runs later: ${id}`));
    const exits = hosts.flatMap(({unexpectedExits}) => unexpectedExits);
    result.violations.push(...exits.map(exit => `host ended: ${exit}`));
  } finally {
    for (const host of hosts) await host.dispose();
    for (const worker of workers) worker.stop();
    await store.stop();
  }
  const scripts = workers.flatMap(({runs}) => [...runs.values()].flat());
  for (const {fault} of scripts) count(result.faults, fault ?? 'none');
  return result;
}

interface AnswersRun {
  endMs: number;
  hosts: readonly HostProcess[];
  /** Ids of requests whose callers were told that they never run. */
  refused: string[];
  result: AnswersResult;
  workers: readonly RawWorker[];
}

function createWorkers(random: Random, mix: AnswerMix): RawWorker[] {
  const workers: RawWorker[] = [];
  for (let i = 0; i < PLAIN_WORKERS + ENGINE_WORKERS; i++) {
    const isEngine = i >= PLAIN_WORKERS;
    const id = `${isEngine ? 'e' : 'p'}${i}`;
    const answers = new RandomAnswers(id, new Random(random.int(0, 1e9)), mix);
    const service = isEngine ? SERVICE.engines : SERVICE.plain;
    const script = answers.script.bind(answers);
    workers.push(new RawWorker({id, service, isEngine, script}));
  }
  return workers;
}

async function untilReady(hosts: readonly HostProcess[]): Promise<void> {
  const endMs = performance.now() + READY_TIMEOUT_MS;
  for (const host of hosts) {
    while (!(await host.isReady())) {
      if (performance.now() > endMs) throw new Error('a host is not ready');
      await sleep(POLL_MS);
    }
  }
}

/** Holds a host up for short times, as a machine that is busy does. */
async function holdUp(
  host: HostProcess,
  random: Random,
  endMs: number,
): Promise<void> {
  while (performance.now() < endMs) {
    await sleep(random.int(BETWEEN_MS.min, BETWEEN_MS.max));
    host.signal('SIGSTOP');
    await sleep(random.int(STILL_MS.min, STILL_MS.max));
    host.signal('SIGCONT');
  }
}

/** Sends requests one after another, over a kept connection where it can. */
async function runCaller(
  name: string,
  random: Random,
  {endMs, hosts, refused, result, workers}: AnswersRun,
): Promise<void> {
  let caller: StrictCaller | undefined;
  for (let i = 0; performance.now() < endMs; i++) {
    caller ??= await StrictCaller.open(random.pick(hosts).url);
    const id = `${name}-${i}`;
    const path = random.pick(PATHS);
    const isStream =
      path === ROUTE_PATH.stream || path === ROUTE_PATH.resumable;
    const isRepeatable =
      path === ROUTE_PATH.repeatable || path === ROUTE_PATH.resumable;
    const model = isStream ? MODEL : undefined;
    const isUnread = random.float() < UNREAD_FRACTION;
    const unreadMs = isUnread ? random.int(1, MAX_UNREAD_MS) : 0;
    const answer = await caller.call({path, id, body: id, model}, unreadMs);
    // What follows the answer may arrive a little later.
    await sleep(random.int(PAUSE_MS.min, PAUSE_MS.max));
    const {surplus} = caller;
    const scripts = workers
      .flatMap(({runs}) => runs.get(id) ?? [])
      .sort((a, b) => a.startedMs - b.startedMs);
    const request = {id, isRepeatable, isStream, answer, surplus, scripts};
    const verdict = checkAnswer(request);
    result.requests += 1;
    if (typeof verdict === 'string') {
      count(result.verdicts, verdict);
      if (!isRepeatable && saysNotRun(answer)) refused.push(id);
    } else {
      const {violation} = verdict;
      count(result.violationCounts, `${violation}; ${originOf(request)}`);
      result.violations.push(`${violation}: ${path} ${describe(request)}`);
    }
    if (caller.isOpen && surplus.length === 0) continue;
    caller.destroy();
    caller = undefined;
  }
  caller?.destroy();
}

/** Returns the framing that the caller got, and the first fault of the sends. */
function originOf({answer, scripts}: CheckedRequest): string {
  const framing = answer.isCloseDelimited
    ? 'no framing'
    : answer.headers.has('content-length')
      ? 'a length'
      : 'chunks';
  const fault = scripts.find(each => each.fault !== undefined)?.fault;
  return `caller got ${framing}; first fault: ${fault ?? 'none'}`;
}

function describe(request: CheckedRequest): string {
  const {answer, id, scripts, surplus} = request;
  const show = (bytes: Buffer) =>
    JSON.stringify(bytes.toString('latin1').slice(0, SHOWN_BYTES));
  const sends = scripts.map(
    ({answer: {body, framing, signature, status}, fault}) =>
      `${signature} ${status} ${framing} ${body.length} ${fault ?? 'none'}`,
  );
  const heads = [...answer.headers].map(([name, values]) =>
    [name, ...values].join('='),
  );
  return [
    `${id} ${answer.status} ${answer.end} with ${answer.body.length} bytes`,
    originOf(request),
    `sends: ${sends.join(', ')}`,
    `head: ${heads.join(' ')}`,
    `body: ${show(answer.body)}`,
    `behind: ${show(surplus)}`,
  ].join('; ');
}

function hasRun(workers: readonly RawWorker[], id: string): boolean {
  const scripts = workers.flatMap(({runs}) => runs.get(id) ?? []);
  return scripts.some(({answer}) => !isRefusal(answer));
}

function count(counts: Record<string, number>, name: string): void {
  counts[name] = (counts[name] ?? 0) + 1;
}
