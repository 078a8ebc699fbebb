/** Measures the added latency and the throughput of an entry host. @packageDocumentation */

import {Histogram, decodeFromCompressedBase64} from 'hdr-histogram-js';
import {Benchmark, BenchmarkResult, Metric, Series} from './benchmark.js';
import {BenchSystem} from './path/bench_system.js';
import {
  LoadJob,
  LoadResult,
  StreamRequest,
  createHistogram,
} from './path/load.js';
import {WorkerProcess} from './path/worker_process.js';

const MICROS_PER_MS = 1_000;
const MS_PER_SECOND = 1_000;
const MIB = 1024 ** 2;
const TOKENS = 20;

/** Latency: blocks of direct and of forwarded requests alternate. */
const REQUESTS_PER_SECOND = 200;
const BLOCK_MS = 4_000;
const BLOCKS = 3;
const LATENCY_ENGINE = {slots: 256, firstTokenMs: 20, tokenGapMs: 10};

/** Concurrent streams: the last one starts before the first one ends. */
const HELD_STREAMS = 1_000;
const HELD_SPREAD_MS = 2_000;
const HELD_ENGINE = {slots: HELD_STREAMS, firstTokenMs: 2_000, tokenGapMs: 300};

/** Saturation: as many requests as the host can serve. */
const SATURATION_ENGINES = 4;
const SATURATION_STREAMS_PER_ENGINE = 32;
const SATURATION_MS = 6_000;
const SATURATION_ENGINE = {slots: 64, firstTokenMs: 1, tokenGapMs: 1};

const PLOTTED_PERCENTILES = [50, 75, 90, 95, 99, 99.9];

/** Latencies of a load in microseconds, merged over blocks. */
class LatencyHistograms {
  readonly firstToken = createHistogram();
  readonly tokenGap = createHistogram();
  broken = 0;

  add(result: LoadResult): void {
    this.firstToken.add(decodeFromCompressedBase64(result.firstToken));
    this.tokenGap.add(decodeFromCompressedBase64(result.tokenGap));
    this.broken += result.broken;
  }
}

/** Measures the path of a warm request through one entry host. */
export class PathBenchmark extends Benchmark {
  override readonly name = 'path';
  override readonly summary =
    'added latency, memory for 1,000 streams, saturation of one entry host';

  override async run(seed: number): Promise<BenchmarkResult> {
    const latency = await this.measureLatency(seed);
    const held = await this.measureHeldStreams();
    const saturation = await this.measureSaturation();
    return {
      metrics: [...latency.metrics, ...held, ...saturation],
      series: latency.series,
    };
  }

  private async measureLatency(seed: number): Promise<BenchmarkResult> {
    const system = await BenchSystem.start({engines: 1, ...LATENCY_ENGINE});
    const load = WorkerProcess.start('load_worker');
    const direct = new LatencyHistograms();
    const through = new LatencyHistograms();
    try {
      await warmUp(load, system, 1);
      for (let block = 0; block < BLOCKS; block++) {
        const atRate = {
          kind: 'rate' as const,
          perSecond: REQUESTS_PER_SECOND,
          durationMs: BLOCK_MS,
          seed: seed + block,
        };
        const toEngine = system.requestToEngine(0, TOKENS);
        const toHost = system.requestThroughHost(0, TOKENS);
        direct.add(await send(load, {...atRate, request: toEngine}));
        through.add(await send(load, {...atRate, request: toHost}));
      }
    } finally {
      load.stop();
      await system.stop();
    }
    return latencyResult(direct, through);
  }

  private async measureHeldStreams(): Promise<Metric[]> {
    const system = await BenchSystem.start({engines: 1, ...HELD_ENGINE});
    const load = WorkerProcess.start('load_worker');
    const request = system.requestThroughHost(0, TOKENS);
    await send(load, createWarmUpJob(system.requestThroughHost(0, 1)));
    const ended = new AbortController();
    const peak = system.daemon.peakResidentBytes(ended.signal);
    try {
      const streams = HELD_STREAMS;
      const spreadMs = HELD_SPREAD_MS;
      const result = await send(load, {
        kind: 'hold',
        request,
        streams,
        spreadMs,
      });
      ended.abort();
      return [
        metric('held_streams_whole', result.whole, 'streams'),
        metric('held_streams_resident', (await peak) / MIB, 'MiB'),
      ];
    } finally {
      ended.abort();
      load.stop();
      await system.stop();
    }
  }

  private async measureSaturation(): Promise<Metric[]> {
    const engines = SATURATION_ENGINES;
    const system = await BenchSystem.start({engines, ...SATURATION_ENGINE});
    const loads = Array.from({length: engines}, () =>
      WorkerProcess.start('load_worker'),
    );
    try {
      for (const load of loads) await warmUp(load, system, engines);
      const results = await Promise.all(
        loads.map((load, engine) =>
          send(load, {
            kind: 'concurrency',
            request: system.requestThroughHost(engine, TOKENS),
            streams: SATURATION_STREAMS_PER_ENGINE,
            durationMs: SATURATION_MS,
          }),
        ),
      );
      return saturationMetrics(results);
    } finally {
      for (const load of loads) load.stop();
      await system.stop();
    }
  }
}

function send(load: WorkerProcess, job: LoadJob): Promise<LoadResult> {
  return load.call<LoadJob, LoadResult>(job);
}

/** @returns a job of one stream, which makes the system load the model. */
function createWarmUpJob(request: StreamRequest): LoadJob {
  return {kind: 'hold', request, streams: 1, spreadMs: 0};
}

/** Loads every model and lets the code be compiled before the measurement. */
async function warmUp(
  load: WorkerProcess,
  system: BenchSystem,
  engines: number,
): Promise<void> {
  for (let engine = 0; engine < engines; engine++) {
    const request = system.requestThroughHost(engine, TOKENS);
    const warmed = await send(load, createWarmUpJob(request));
    if (warmed.whole !== 1)
      throw new Error('the warm-up request did not return a complete stream');
    const durationMs = 500;
    await send(load, {kind: 'concurrency', request, streams: 16, durationMs});
  }
}

function latencyResult(
  direct: LatencyHistograms,
  through: LatencyHistograms,
): BenchmarkResult {
  const added = (name: 'firstToken' | 'tokenGap') =>
    p95Ms(through[name]) - p95Ms(direct[name]);
  return {
    metrics: [
      metric('first_token_direct_p95', p95Ms(direct.firstToken), 'ms'),
      metric('first_token_through_p95', p95Ms(through.firstToken), 'ms'),
      metric('first_token_added_p95', added('firstToken'), 'ms'),
      metric('token_gap_direct_p95', p95Ms(direct.tokenGap), 'ms'),
      metric('token_gap_through_p95', p95Ms(through.tokenGap), 'ms'),
      metric('token_gap_added_p95', added('tokenGap'), 'ms'),
      metric('broken_streams', direct.broken + through.broken, 'streams'),
    ],
    series: [
      percentiles('first_token_direct', direct.firstToken),
      percentiles('first_token_through', through.firstToken),
      percentiles('token_gap_direct', direct.tokenGap),
      percentiles('token_gap_through', through.tokenGap),
    ],
  };
}

function saturationMetrics(results: readonly LoadResult[]): Metric[] {
  const whole = results.reduce((sum, result) => sum + result.whole, 0);
  const broken = results.reduce((sum, result) => sum + result.broken, 0);
  const seconds =
    Math.max(...results.map(result => result.durationMs)) / MS_PER_SECOND;
  return [
    metric('saturation_requests', whole / seconds, 'requests/s'),
    metric('saturation_tokens', (whole * TOKENS) / seconds, 'tokens/s'),
    metric('saturation_broken_streams', broken, 'streams'),
  ];
}

function percentiles(name: string, times: Histogram): Series {
  return {
    name: `path.${name}`,
    xLabel: 'percentile',
    yLabel: 'ms',
    points: PLOTTED_PERCENTILES.map(x => ({
      x,
      y: times.getValueAtPercentile(x) / MICROS_PER_MS,
    })),
  };
}

function p95Ms(times: Histogram): number {
  return times.getValueAtPercentile(95) / MICROS_PER_MS;
}

function metric(name: string, value: number, unit: string): Metric {
  return {name: `path.${name}`, value, unit};
}
