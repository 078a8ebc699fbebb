/** `npm run bench`: runs benchmarks and checks their bounds. @packageDocumentation */

import {fileURLToPath} from 'node:url';
import {Command} from 'commander';
import {Benchmark} from './lib/benchmark.js';
import {BENCHMARKS} from './lib/benchmarks.js';
import {plotResults} from './lib/plot.js';
import {reportLine, storeResult} from './lib/report.js';

const DEFAULT_SEED = 1;
const RESULTS_FOLDER = fileURLToPath(new URL('../results', import.meta.url));

async function runBenchmark(
  benchmark: Benchmark,
  seed: number,
): Promise<boolean> {
  const result = await benchmark.run(seed);
  await storeResult(RESULTS_FOLDER, benchmark.name, result);
  let allKept = true;
  for (const metric of result.metrics) {
    const {line, kept} = reportLine(metric);
    process.stdout.write(line + '\n');
    allKept &&= kept;
  }
  return allKept;
}

async function main(names: string[], seed: number): Promise<number> {
  const chosen = BENCHMARKS.filter(
    ({name}) => names.length === 0 || names.includes(name),
  );
  const known = BENCHMARKS.map(({name}) => name);
  const unknown = names.filter(name => !known.includes(name));
  if (unknown.length > 0) {
    process.stderr.write(`no benchmark ${unknown}; there are ${known}\n`);
    return 2;
  }
  let allKept = true;
  for (const benchmark of chosen) {
    allKept = (await runBenchmark(benchmark, seed)) && allKept;
  }
  return allKept ? 0 : 1;
}

async function plot(): Promise<number> {
  const written = await plotResults(RESULTS_FOLDER);
  for (const path of written) process.stdout.write(path + '\n');
  return 0;
}

await new Command('bench')
  .description('Runs benchmarks; exits with 1 if a bound is not kept.')
  .argument('[names...]', 'which; all by default')
  .option('--seed <number>', 'seed of all randomness', Number, DEFAULT_SEED)
  .option('--plot', 'draw the stored results as SVG, and run nothing')
  .action(async (names: string[], options: {seed: number; plot?: boolean}) => {
    process.exit(await (options.plot ? plot() : main(names, options.seed)));
  })
  .parseAsync();
