/** `npm run soak`: runs real hosts under faults, then checks every promise. @packageDocumentation */

import {formatFields} from '@fuchsiacleat/core';
import {Command} from 'commander';
import {AnswersOptions, runAnswers} from './lib/answers_run.js';
import {buildDeployed} from './lib/deployed_program.js';
import {buildEarlier} from './lib/earlier_build.js';
import {
  FaultName,
  OLDER_STORE_FAULTS,
  PLANNED_FAULTS,
} from './lib/fault_names.js';
import {PROMISE, PromiseName} from './lib/soak_checks.js';
import {SoakOptions, runSoak} from './lib/soak_run.js';
import {
  WorkerProcessRunOptions,
  runWorkerProcesses,
} from './lib/worker_process_run.js';

const DEFAULT_SEED = 1;
const DEFAULT_MINUTES = 1;
const DEFAULT_PROCESSES = 4;
const MAX_PROCESSES = 60;
const MS_PER_MINUTE = 60_000;
const MAX_SHOWN = 20;

interface Options {
  seed: number;
  minutes: number;
  processes: number;
  answers?: boolean;
  faults: boolean;
  workers?: boolean;
  plant?: PromiseName;
  planned?: boolean;
  olderStore?: boolean;
  upgradeFrom?: string;
  upgradeTo?: string;
}

function out(line: string): void {
  process.stdout.write(`${line}\n`);
}

async function checkAnswers(options: AnswersOptions): Promise<number> {
  const {processes, seed} = options;
  const result = await runAnswers(options);
  const {faults, folder, requests, verdicts, violations} = result;
  out(`seed ${seed}, ${processes} hosts, ${requests} requests`);
  out(`answers: ${formatFields(verdicts)}`);
  out(`sends by fault: ${formatFields(faults)}`);
  for (const [kind, number] of Object.entries(result.violationCounts))
    out(`broken: ${number} ${kind}`);
  for (const violation of violations.slice(0, MAX_SHOWN)) out(violation);
  out(`${violations.length} broken; logs in ${folder}`);
  return violations.length === 0 ? 0 : 1;
}

async function checkWorkers(options: WorkerProcessRunOptions): Promise<number> {
  const {processes, seed} = options;
  const result = await runWorkerProcesses(options);
  const {complete, cutRuns, faults, folder, outcomes, violations} = result;
  out(`seed ${seed}, ${processes} hosts, ${result.requests} requests`);
  out(`outcomes: ${formatFields(outcomes)}`);
  out(`complete by framing: ${formatFields(complete)}`);
  out(`amid a kill by framing: ${formatFields(cutRuns)}`);
  out(`faults: ${formatFields(faults)}; ${result.refusals} refusals`);
  for (const violation of violations.slice(0, MAX_SHOWN)) out(violation);
  out(`${violations.length} broken; logs in ${folder}`);
  return violations.length === 0 ? 0 : 1;
}

/** Returns the kinds of faults to choose from; undefined for all. */
function chooseFaults({
  olderStore,
  planned,
}: Options): readonly FaultName[] | undefined {
  if (planned) return PLANNED_FAULTS;
  return olderStore ? OLDER_STORE_FAULTS : undefined;
}

/** Returns the builds to replace one by the other; undefined for none. */
async function buildUpgrade({
  upgradeFrom,
  upgradeTo,
}: Options): Promise<SoakOptions['upgrade']> {
  if (upgradeFrom === undefined && upgradeTo === undefined) return undefined;
  const build = (commit: string | undefined) =>
    commit === undefined ? buildDeployed() : buildEarlier(commit);
  return {from: await build(upgradeFrom), to: await build(upgradeTo)};
}

async function main(options: Options): Promise<number> {
  const {minutes, plant, seed} = options;
  const processes = Math.min(MAX_PROCESSES, options.processes);
  const durationMs = minutes * MS_PER_MINUTE;
  if (options.answers) return checkAnswers({seed, durationMs, processes});
  if (options.workers) return checkWorkers({seed, durationMs, processes});
  const result = await runSoak({
    seed,
    durationMs,
    processes,
    plant,
    faults: chooseFaults(options),
    hasFaults: options.faults,
    upgrade: await buildUpgrade(options),
  });
  const {folder, longestPauseMs, orders, requests, restores, violations} =
    result;
  out(`seed ${seed}, ${processes} hosts, ${requests} requests`);
  out(`ends: ${formatFields(result.statusCounts)}`);
  out(`faults: ${formatFields(result.faultCounts)}`);
  out(`${orders} orders, ${restores} older copies`);
  if (longestPauseMs !== undefined)
    out(`at most ${Math.round(longestPauseMs)} ms without an order`);
  for (const {promise, detail} of violations.slice(0, MAX_SHOWN)) {
    out(`broken: ${promise}: ${detail}`);
  }
  out(`${violations.length} broken; logs in ${folder}`);
  return violations.length === 0 ? 0 : 1;
}

await new Command('soak')
  .description('Plays faults on real host processes and checks every promise.')
  .option('--seed <number>', 'seed of all randomness', Number, DEFAULT_SEED)
  .option('--minutes <number>', 'how long', Number, DEFAULT_MINUTES)
  .option('--processes <number>', 'hosts', Number, DEFAULT_PROCESSES)
  .option('--answers', 'only faulty answers, beside hosts that are held up')
  .option('--workers', 'only workers that are processes, and their ends')
  .option('--planned', 'only planned work and silences of sound workers')
  .option(
    '--older-store',
    'only faults of the store, of hosts and of their links to it',
  )
  .option('--no-faults', 'no faults but those of an upgrade')
  .option('--upgrade-from <commit>', 'replace hosts of an earlier commit')
  .option('--upgrade-to <commit>', 'replace hosts by those of a commit')
  .option('--plant <promise>', `one of ${Object.values(PROMISE).join(', ')}`)
  .action(async (options: Options) => process.exit(await main(options)))
  .parseAsync();
