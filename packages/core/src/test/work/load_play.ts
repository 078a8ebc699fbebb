/** Load of many hosts on targets of different pace, without a network. @packageDocumentation */

import {chooseTarget} from '../../lib/gateway/target_choice.js';
import {KnownTarget, TargetTable} from '../../lib/gateway/target_table.js';
import {ManualClock} from '../../lib/time/manual_clock.js';
import {Random} from '../../lib/time/random.js';
import {decodeWork} from '../../lib/work/work_messages.js';
import {WorkModel} from '../../lib/work/work_model.js';
import {WorkPublication} from '../../lib/work/work_publication.js';
import {WorkReports} from '../../lib/work/work_reports.js';
import {WorkTable} from '../../lib/work/work_table.js';
import {ENGINE_SERVICE} from '../gateway/gateway_fixtures.js';
import {SLOTS, engineTarget, workModel} from './work_fixtures.js';

const HOSTS = 30;
const TARGETS = 24;
const PACES = [0.6, 1, 1.6];
const SLOW_SHARE = 0.15;
const SLOW_FACTOR = 2.5;
const SLOW_MS = 600;
const STEP_MS = 10;
const REPORT_MS = 150;
const VIEW_MS = 300;
const FIRST_MS = 30;
const TOKENS_PER_MS = 40;
const PAUSE_MS = 45;
const OBJECTIVE_MS = 400;

/** Time until hosts have heard of each other's first requests. */
const START_MS = 1_200;

/** Requests per second, at about 0.85 of what the targets can serve. */
const PER_SECOND = 350;

interface Run {
  size: {promptTokens: number; memoryTokens: number};
  events: number;
  sentMs: number;
  /** Called for each event, and once it has ended. */
  onEvent: () => void;
  onEnd: () => void;
  nextMs: number;
}

/** A target that runs as many requests as it has slots, in the order of arrival. */
class PlayedTarget {
  readonly running: Run[] = [];
  readonly queue: Run[] = [];
  isSlow = false;
  endedCount = 0;
  /** Sum of the duration factors over time, for their average. */
  workMs = 0;

  constructor(readonly pace: number) {}

  get factor(): number {
    return this.pace * (this.isSlow ? SLOW_FACTOR : 1);
  }

  get requests(): number {
    return this.running.length + this.queue.length;
  }

  step(nowMs: number): void {
    this.workMs += STEP_MS / this.factor;
    while (this.running.length < SLOTS && this.queue.length > 0) {
      const run = this.queue.shift()!;
      const prefillMs = run.size.promptTokens / TOKENS_PER_MS;
      run.nextMs = nowMs + this.factor * (FIRST_MS + prefillMs);
      this.running.push(run);
    }
    for (const run of [...this.running]) {
      if (run.nextMs > nowMs) continue;
      run.onEvent();
      run.events -= 1;
      run.nextMs += this.factor * PAUSE_MS;
      if (run.events > 0) continue;
      this.running.splice(this.running.indexOf(run), 1);
      this.endedCount += 1;
      run.onEnd();
    }
  }
}

interface PlayedHost {
  table: TargetTable;
  targets: readonly KnownTarget[];
  model: WorkModel;
  reports: WorkReports;
  waiting: Array<{arrivedMs: number; size: Run['size']; events: number}>;
}

/** What a play has shown. */
export interface PlayResult {
  /** Most requests at a target after the start, as a multiple of its slots. */
  maxLoad: number;
  /** Share of first events that came after the objective. */
  lateShare: number;
  /** Requests that ended at each target, relative to its share by pace. */
  relativeWork: number[];
}

/** Plays the load with the model of work, or without it. */
export async function playLoad(
  usesWork: boolean,
  durationMs: number,
  seed: number,
): Promise<PlayResult> {
  const clock = new ManualClock();
  const random = new Random(seed);
  const played = Array.from(
    {length: TARGETS},
    (unused, i) => new PlayedTarget(PACES[i % PACES.length]),
  );
  const hosts = Array.from({length: HOSTS}, (unused, i) => startHost(clock, i));
  const table = new WorkTable();
  const publication = new WorkPublication(clock, table, () => SLOTS);
  let maxLoad = 0;
  let lateCount = 0;
  let firstCount = 0;
  const send = (host: PlayedHost): boolean => {
    const [{arrivedMs, size, events}] = host.waiting;
    const service = host.model.ofService(ENGINE_SERVICE)!;
    const work = {service, size, objectiveMs: OBJECTIVE_MS};
    const options = {zone: 'a', tried: new Set<string>(), draw: random.float()};
    const target = chooseTarget(
      host.targets,
      usesWork ? {...options, work} : options,
    );
    if (target === undefined) return false;
    host.waiting.shift();
    target.beginRequest(undefined);
    const sent = host.model.begin(target, work, true);
    let isFirst = true;
    const onEvent = () => {
      sent.recordChunk();
      if (!isFirst) return;
      isFirst = false;
      firstCount += 1;
      if (clock.now() - arrivedMs > OBJECTIVE_MS) lateCount += 1;
    };
    const onEnd = () => {
      sent.end(true);
      target.endRequest(undefined);
    };
    const i = Number(target.registration.id.slice(1));
    const sentMs = clock.now();
    played[i].queue.push({size, events, sentMs, onEvent, onEnd, nextMs: 0});
    if (sentMs >= START_MS)
      maxLoad = Math.max(maxLoad, played[i].requests / SLOTS);
    return true;
  };
  for (let ms = 0; ms < durationMs; ms += STEP_MS) {
    await clock.advance(STEP_MS);
    if (ms % SLOW_MS === 0)
      for (const target of played) target.isSlow = random.float() < SLOW_SHARE;
    for (const target of played) target.step(clock.now());
    for (let i = 0; i < HOSTS; i++) {
      const isReportDue = (ms + i * STEP_MS) % REPORT_MS === 0;
      const report = isReportDue ? hosts[i].reports.take(false) : undefined;
      if (report !== undefined) table.report(`h${i}`, report);
    }
    if (ms % VIEW_MS === 0) publish(hosts, publication);
    const arrivals = (PER_SECOND * STEP_MS) / 1_000;
    for (let n = Math.floor(arrivals + random.float()); n > 0; n--) {
      const promptTokens = random.int(100, 3_000);
      const size = {promptTokens, memoryTokens: promptTokens + 100};
      const events = random.int(10, 30);
      const request = {arrivedMs: clock.now(), size, events};
      random.pick(hosts).waiting.push(request);
    }
    for (const host of hosts) while (host.waiting.length > 0 && send(host));
  }
  const ended = played.reduce((sum, {endedCount}) => sum + endedCount, 0);
  const workMs = played.reduce((sum, target) => sum + target.workMs, 0);
  const relativeWork = played.map(
    target => target.endedCount / ended / (target.workMs / workMs),
  );
  return {maxLoad, lateShare: lateCount / firstCount, relativeWork};
}

function startHost(clock: ManualClock, seed: number): PlayedHost {
  const table = new TargetTable(clock);
  for (let i = 0; i < TARGETS; i++) table.put(engineTarget(`t${i}`), true);
  const targets = table.ofService(ENGINE_SERVICE);
  const model = workModel(clock, HOSTS, seed);
  const reports = new WorkReports(clock, table);
  return {table, targets, model, reports, waiting: []};
}

function publish(hosts: PlayedHost[], publication: WorkPublication): void {
  for (const entry of publication.take()) {
    const report = decodeWork(entry);
    const {waiting, running} = report.sums;
    for (const {model, table} of hosts) {
      const target = table.get(entry[0])!;
      target.setReportedLoad((waiting + running) / SLOTS);
      model.applyPublished(target, report);
    }
  }
}
