/** Runs real hosts beside workers that are processes of their own. @packageDocumentation */

import {mkdtemp, readFile} from 'node:fs/promises';
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
import {FRAMING, PlatformStoreStandin} from '@fuchsiacleat/standins';
import {UNLIMITED_RETRIES} from './answers_run.js';
import {HostProcess} from './host_process.js';
import {
  OUTCOME,
  ProcessRequest,
  judge,
  wholeBody,
} from './process_answer_check.js';
import {saysNotRun} from './strict_answer_check.js';
import {WorkerProcess} from './worker_process.js';
import {WorkerProcessFaults} from './worker_process_faults.js';

const MODEL = 'm1';
const WORKERS_PER_SERVICE = 3;
const CALLERS = 20;

/** Properties of the routes, in milliseconds. */
const ROUTES = {timeoutMs: 3_000, resumableObjectiveMs: 500} as const;

const READY_TIMEOUT_MS = 15_000;
const POLL_MS = 50;

/** Range of a caller's pause between two requests, in milliseconds. */
const PAUSE_MS = {min: 0, max: 50} as const;

/** Time in which a refused request might still run, in milliseconds. */
const LATE_RUN_MS = 500;

/** Most requests whose log lines are read. */
const MAX_LOGGED = 20;

/** Options of {@link runWorkerProcesses}. */
export interface WorkerProcessRunOptions {
  seed: number;
  durationMs: number;
  /** Number of hosts. */
  processes: number;
}

/** Result of {@link runWorkerProcesses}. */
export interface WorkerProcessResult {
  requests: number;
  /** Number of requests by outcome. */
  outcomes: Record<string, number>;
  /** Number of answers that looked complete, by the framing of the last run. */
  complete: Record<string, number>;
  /** Number of answers that were under way at a worker that was killed, by framing. */
  cutRuns: Record<string, number>;
  /** Number of faults of workers, by name. */
  faults: Record<string, number>;
  /** Number of requests that full workers refused. */
  refusals: number;
  violations: string[];
  /** Folder with the logs of the hosts. */
  folder: string;
}

interface Run {
  endMs: number;
  hosts: readonly HostProcess[];
  workers: readonly WorkerProcess[];
  requests: ProcessRequest[];
}

/**
 * Sends requests to hosts beside workers that are killed, stop or leave amid
 * their answers, and checks each answer.
 *
 * @param options - see {@link WorkerProcessRunOptions}.
 */
export async function runWorkerProcesses(
  options: WorkerProcessRunOptions,
): Promise<WorkerProcessResult> {
  const {durationMs, processes, seed} = options;
  const random = new Random(seed);
  const folder = await mkdtemp(join(tmpdir(), 'fuchsiacleat-workers-'));
  const store = new PlatformStoreStandin();
  const services = Object.values(SERVICE).map(service =>
    createWorkers(service, seed, store),
  );
  const workers = services.flat();
  const hosts: HostProcess[] = [];
  const requests: ProcessRequest[] = [];
  const faults = services.map(
    each => new WorkerProcessFaults(each, new Random(random.int(0, 1e9))),
  );
  try {
    await store.start();
    await Promise.all(workers.map(worker => worker.start()));
    const teams = [{Name: 'team', ApiKeys: [TEAM_KEY]}];
    const config = platformConfig(1, teams, ROUTES, [MODEL]);
    store.put(STORE_TOPIC.operator, 'config', config);
    await startHosts(hosts, processes, folder, store);
    const endMs = performance.now() + durationMs;
    const run = {endMs, hosts, workers, requests};
    const callers = Array.from({length: CALLERS}, (unusedItem, i) =>
      runCaller(`c${i}`, new Random(random.int(0, 1e9)), run),
    );
    await Promise.all([...callers, ...faults.map(each => each.run(endMs))]);
    await sleep(LATE_RUN_MS);
  } finally {
    for (const host of hosts) await host.dispose();
    for (const worker of workers) await worker.dispose();
    await store.stop();
  }
  const result: WorkerProcessResult = {
    requests: requests.length,
    outcomes: {},
    complete: {},
    cutRuns: {},
    faults: {},
    refusals: 0,
    violations: [],
    folder,
  };
  for (const {cutRuns, refusals, unexpectedExits} of workers) {
    addAll(result.cutRuns, cutRuns);
    result.refusals += refusals;
    result.violations.push(...unexpectedExits.map(exit => `ended: ${exit}`));
  }
  for (const {counts} of faults) addAll(result.faults, counts);
  for (const {unexpectedExits} of hosts)
    result.violations.push(...unexpectedExits.map(exit => `ended: ${exit}`));
  if (!(FRAMING.none in result.cutRuns))
    result.violations.push('no answer without a length was amid a kill');
  await judgeAll(requests, workers, result);
  return result;
}

function createWorkers(
  service: string,
  seed: number,
  store: PlatformStoreStandin,
): WorkerProcess[] {
  const models = service === SERVICE.engines ? [MODEL] : undefined;
  return Array.from({length: WORKERS_PER_SERVICE}, (unusedItem, i) => {
    const id = `${service}-${i}`;
    return new WorkerProcess({id, service, models, seed}, store);
  });
}

async function startHosts(
  hosts: HostProcess[],
  count: number,
  folder: string,
  store: PlatformStoreStandin,
): Promise<void> {
  const deployment = nextDeployment();
  for (let i = 0; i < count; i++) {
    const host = new HostProcess({
      name: `host-${i}`,
      zone: 'a',
      address: loopbackAddress(deployment, i),
      storePort: Number(new URL(store.url).port),
      folder,
      bounds: UNLIMITED_RETRIES,
    });
    hosts.push(host);
    await host.start();
  }
  const endMs = performance.now() + READY_TIMEOUT_MS;
  for (const host of hosts) {
    while (!(await host.isReady())) {
      if (performance.now() > endMs) throw new Error('a host is not ready');
      await sleep(POLL_MS);
    }
  }
}

/** Sends requests one after another, over a kept connection where it can. */
async function runCaller(
  name: string,
  random: Random,
  {endMs, hosts, requests, workers}: Run,
): Promise<void> {
  let caller: StrictCaller | undefined;
  for (let i = 0; performance.now() < endMs; i++) {
    caller ??= await StrictCaller.open(random.pick(hosts).url);
    const id = `${name}-${i}`;
    const path = random.pick(Object.values(ROUTE_PATH));
    const isStream =
      path === ROUTE_PATH.stream || path === ROUTE_PATH.resumable;
    const isRepeatable =
      path === ROUTE_PATH.repeatable || path === ROUTE_PATH.resumable;
    const model = isStream ? MODEL : undefined;
    const sentMs = performance.now();
    const answer = await caller.call({path, id, body: id, model});
    const endedMs = performance.now();
    await sleep(random.int(PAUSE_MS.min, PAUSE_MS.max));
    const runs = workers
      .flatMap(worker => worker.runs.filter(run => run.id === id))
      .sort((a, b) => a.startedMs - b.startedMs);
    const times = {sentMs, endedMs};
    requests.push({id, isRepeatable, isStream, answer, runs, ...times});
    if (caller.isOpen && caller.surplus.length === 0) continue;
    caller.destroy();
    caller = undefined;
  }
  caller?.destroy();
}

async function judgeAll(
  requests: readonly ProcessRequest[],
  workers: readonly WorkerProcess[],
  {complete, folder, outcomes, violations}: WorkerProcessResult,
): Promise<void> {
  for (const request of requests) {
    const {answer, id, runs} = request;
    const {outcome, violation} = judge(request, workers);
    addAll(outcomes, {[outcome]: 1});
    if (outcome === OUTCOME.complete)
      addAll(complete, {[runs.at(-1)?.framing ?? 'unknown']: 1});
    if (violation !== undefined) {
      const lines =
        violations.length < MAX_LOGGED ? await readLines(folder, id) : [];
      const text = `${violation}: ${describe(request, workers)}`;
      violations.push([text, ...lines].join('\n  '));
      continue;
    }
    if (!request.isRepeatable && saysNotRun(answer) && hasRun(workers, id))
      violations.push(`refused and runs later: ${id}`);
  }
}

function hasRun(workers: readonly WorkerProcess[], id: string): boolean {
  return workers.some(({runs}) => runs.some(run => run.id === id));
}

/** Returns the lines of the hosts' logs that name a request. */
async function readLines(folder: string, id: string): Promise<string[]> {
  const lines: string[] = [];
  const mentions = new RegExp(`\\bid=${id}\\b`);
  for (let i = 0; ; i++) {
    const path = join(folder, `host-${i}.log`);
    const text = await readFile(path, 'utf8').catch(() => undefined);
    if (text === undefined) return lines;
    lines.push(...text.split('\n').filter(line => mentions.test(line)));
  }
}

function describe(
  request: ProcessRequest,
  workers: readonly WorkerProcess[],
): string {
  const {answer, endedMs, id, isRepeatable, isStream, runs, sentMs} = request;
  const after = (ms: number) => Math.round(ms - sentMs);
  const sends = runs.map(
    ({afterEvent, exitAfterMs, framing, isLeaving, startedMs, worker}) =>
      `${worker}${isLeaving ? ' (leaving)' : ''} by ${framing} at ${after(startedMs)} ms` +
      ` from event ${afterEvent + 1}, exits ${exitAfterMs ?? 'not'} ms after it`,
  );
  const spans = workers
    .filter(({options}) => runs.some(run => run.worker === options.id))
    .flatMap(({options, spans}) =>
      spans
        .filter(({fromMs, toMs}) => fromMs < endedMs && toMs > sentMs)
        .map(
          ({fromMs, kind, toMs}) =>
            `${options.id} ${kind} ${after(fromMs)} to ${after(toMs)} ms`,
        ),
    );
  return [
    `${id} ${isRepeatable ? 'repeatable' : 'once'} ${isStream ? 'stream' : 'plain'}`,
    `${answer.status} ${answer.end} at ${after(endedMs)} ms`,
    `${answer.body.length} of ${wholeBody(request).length} bytes`,
    `runs: ${sends.join(', ')}`,
    `faults: ${spans.join(', ')}`,
  ].join('; ');
}

function addAll(
  counts: Record<string, number>,
  more: Readonly<Record<string, number>>,
): void {
  for (const [name, number] of Object.entries(more))
    counts[name] = (counts[name] ?? 0) + number;
}
