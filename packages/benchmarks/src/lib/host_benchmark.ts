/** Measures the resource use of a host by the number of hosts. @packageDocumentation */

import {setTimeout as sleep} from 'node:timers/promises';
import {HOST_NAME, ROUTE_PATH} from '@fuchsiacleat/local-cluster';
import {SOAK_KEY, SoakWorld, buildDeployed} from '@fuchsiacleat/soak';
import {Client} from 'undici';
import {Benchmark, BenchmarkResult, Metric} from './benchmark.js';
import {ProcessCost, readCost} from './host/process_cost.js';

/** Sizes of the users' deployments, except 195, which does not fit one machine. */
const HOST_COUNTS = [9, 40, 81];

/** Time in which all hosts have to be ready, in milliseconds. */
const READY_TIMEOUT_MS = 60_000;

/** Time after which a host knows the lease holder and has its first view. */
const SETTLE_MS = 5_000;
const REST_MS = 15_000;
const LOADED_MS = 15_000;

/** Requests per second and host, as in the workload soaf-inspect-large. */
const REQUESTS_PER_S = 1.7;

const MS_PER_S = 1_000;
const PER_MILLE = 1_000;

/** Measures host processes, started as the platform does, against stand-ins. */
export class HostBenchmark extends Benchmark {
  override readonly name = 'host';
  override readonly summary =
    'processor time of a start, of rest and of a request, by number of hosts';

  override async run(): Promise<BenchmarkResult> {
    const args = await buildDeployed();
    const metrics: Metric[] = [];
    for (const count of HOST_COUNTS) {
      metrics.push(...(await this.measure(count, args)));
    }
    const rest = metrics.filter(({name}) => name.endsWith('.rest'));
    const points = HOST_COUNTS.map((x, i) => ({x, y: rest[i].value}));
    const name = 'host.rest_by_hosts';
    const [xLabel, yLabel] = ['hosts', 'thousandths of a core'];
    return {metrics, series: [{name, xLabel, yLabel, points}]};
  }

  private async measure(
    count: number,
    args: readonly string[],
  ): Promise<Metric[]> {
    const world = await SoakWorld.start(count, {args});
    try {
      const areReady = async () => {
        const ready = await Promise.all(world.hosts.map(h => h.isReady()));
        return ready.every(isReady => isReady);
      };
      if (!(await world.until(areReady, READY_TIMEOUT_MS))) {
        throw new Error(`${count} hosts were not ready in time`);
      }
      const started = await readCosts(world);
      await sleep(SETTLE_MS);
      const rested = await readCosts(world);
      await sleep(REST_MS);
      const atRest = await readCosts(world);
      const sent = await this.load(world);
      const loaded = await readCosts(world);
      const restS = processorTimes(rested, atRest);
      const loadS = processorTimes(atRest, loaded);
      const restOf = (part: number[]) =>
        (sum(part) / count / REST_MS) * MS_PER_S;
      const extraS = sum(loadS) - (sum(restS) * LOADED_MS) / REST_MS;
      const wakeUps = rested.map(({wakeUps}, i) => atRest[i].wakeUps - wakeUps);
      const values: Array<[string, number, string]> = [
        ['start', sum(started.map(c => c.processorS)) / count, 's'],
        ['rest', restOf(restS) * PER_MILLE, 'thousandths of a core'],
        [
          'busiest',
          (Math.max(...restS) / REST_MS) * MS_PER_S * PER_MILLE,
          'thousandths of a core',
        ],
        ['wake_ups', restOf(wakeUps), '/s'],
        ['request', (extraS / sent) * MS_PER_S, 'ms'],
        ['memory', sum(loaded.map(c => c.residentMib)) / count, 'MiB'],
      ];
      return values.map(([name, value, unit]) => ({
        name: `host.of_${count}.${name}`,
        value,
        unit,
      }));
    } finally {
      await world.stop();
    }
  }

  /**
   * Sends requests at a constant rate, each over a new connection.
   *
   * @returns the number of sent requests.
   */
  private async load({hosts}: SoakWorld): Promise<number> {
    const gapMs = MS_PER_S / REQUESTS_PER_S / hosts.length;
    const endMs = performance.now() + LOADED_MS;
    const pending: Array<Promise<void>> = [];
    const startMs = performance.now();
    for (let i = 0; performance.now() < endMs; i++) {
      pending.push(sendRequest(hosts[i % hosts.length].url, i));
      const dueMs = startMs + (i + 1) * gapMs;
      await sleep(Math.max(0, dueMs - performance.now()));
    }
    await Promise.all(pending);
    return pending.length;
  }
}

async function sendRequest(url: string, i: number): Promise<void> {
  const isStream = i % 2 === 0;
  const headers: Record<string, string> = {
    host: HOST_NAME,
    'x-fuchsiacleat-attempt-id': `cost-${i}`,
    'x-fuchsiacleat-key': SOAK_KEY.free,
  };
  if (isStream) headers['x-fuchsiacleat-model'] = 'm1';
  const client = new Client(url);
  const path = isStream ? ROUTE_PATH.stream : ROUTE_PATH.once;
  const res = await client.request({method: 'POST', path, body: 'x', headers});
  await res.body.dump();
  await client.close();
}

function readCosts({hosts}: SoakWorld): Promise<ProcessCost[]> {
  return Promise.all(hosts.map(({pid}) => readCost(pid!)));
}

function processorTimes(from: ProcessCost[], to: ProcessCost[]): number[] {
  return from.map(({processorS}, i) => to[i].processorS - processorS);
}

function sum(values: number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
