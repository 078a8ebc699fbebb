/** `npm run faults`: injects mixed faults, then checks every promise. @packageDocumentation */

import {formatFields} from '@fuchsiacleat/core';
import {Command} from 'commander';
import {runFaults} from './lib/faults/fault_run.js';
import {formatVerdict, isKept} from './lib/faults/promise_checks.js';

const DEFAULT_SEED = 1;
const DEFAULT_MINUTES = 2;
const MS_PER_MINUTE = 60_000;

interface Options {
  seed: number;
  minutes: number;
}

async function main({seed, minutes}: Options): Promise<number> {
  const durationMs = minutes * MS_PER_MINUTE;
  const result = await runFaults({seed, durationMs});
  const {verdicts, requests, ends, codes, faults} = result;
  process.stdout.write(`seed ${seed}, ${requests} requests\n`);
  process.stdout.write(`ends: ${formatFields(ends)}\n`);
  process.stdout.write(`codes: ${formatFields(codes)}\n`);
  process.stdout.write(`faults: ${formatFields(faults)}\n`);
  for (const verdict of verdicts) {
    process.stdout.write(formatVerdict(verdict) + '\n');
  }
  return verdicts.every(isKept) ? 0 : 1;
}

await new Command('faults')
  .description('Mixes failures in a local cluster and checks every promise.')
  .option('--seed <number>', 'seed of all randomness', Number, DEFAULT_SEED)
  .option('--minutes <number>', 'how long', Number, DEFAULT_MINUTES)
  .action(async (options: Options) => process.exit(await main(options)))
  .parseAsync();
