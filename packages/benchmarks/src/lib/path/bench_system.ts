/** Runs an entry host, its platform and engines in processes of their own. @packageDocumentation */

import {OperatorClient} from '@fuchsiacleat/cli';
import {RawObject, digestOf} from '@fuchsiacleat/core';
import {DaemonProcess, HOST, OPERATOR_TOKEN, ZONE} from './daemon_process.js';
import {StreamRequest} from './load.js';
import {
  ENGINE_MEMORY_GIB,
  EngineUrl,
  PlatformUrls,
  StandinJob,
  WEIGHTS_GIB,
} from './standin_job.js';
import {WorkerProcess} from './worker_process.js';

const CALLER_KEY = 'fc-bench-key';
const PROMPT = 'Summarise the farm record of plot 17 for the inspector.';
const UNLIMITED_TOKENS = '1000000000';

/** Options of a {@link BenchSystem}. */
export interface BenchSystemOptions {
  /** Number of engines; each serves a different model. */
  engines: number;
  /** Number of batch slots of an engine. */
  slots: number;
  firstTokenMs: number;
  tokenGapMs: number;
}

/** A system of several processes that communicate over loopback. */
export class BenchSystem {
  private readonly workers: WorkerProcess[] = [];
  private readonly engineUrls: string[] = [];
  private host: DaemonProcess | undefined;

  private constructor(private readonly options: BenchSystemOptions) {}

  /**
   * Starts all processes and publishes the declarations.
   *
   * @param options - see {@link BenchSystemOptions}.
   */
  static async start(options: BenchSystemOptions): Promise<BenchSystem> {
    const system = new BenchSystem(options);
    try {
      await system.startProcesses();
      await system.publish();
    } catch (error) {
      await system.stop();
      throw error;
    }
    return system;
  }

  /** The daemon of the entry host. */
  get daemon(): DaemonProcess {
    return this.host!;
  }

  /**
   * @param engine - index of the engine whose model is requested.
   * @param tokens - number of tokens to generate.
   * @returns a request through the entry host.
   */
  requestThroughHost(engine: number, tokens: number): StreamRequest {
    return {
      origin: this.daemon.callerUrl,
      path: '/v1/chat/completions',
      headers: {
        authorization: `Bearer ${CALLER_KEY}`,
        'content-type': 'application/json',
      },
      body: JSON.stringify({
        model: modelOf(engine),
        stream: true,
        max_tokens: tokens,
        messages: [{role: 'user', content: PROMPT}],
      }),
      tokens,
    };
  }

  /** @returns the same request, sent directly to the engine. */
  requestToEngine(engine: number, tokens: number): StreamRequest {
    return {
      origin: this.engineUrls[engine],
      path: '/generate',
      headers: {'content-type': 'application/json'},
      body: JSON.stringify({
        request_id: 'ID',
        model: modelOf(engine),
        input: {messages: [{role: 'user', content: PROMPT}]},
        max_tokens: tokens,
        priority: 5,
        resume_from: 0,
      }),
      tokens,
    };
  }

  /** Stops all processes. */
  async stop(): Promise<void> {
    for (const worker of this.workers) worker.stop();
    await this.host?.stop();
  }

  private async startProcesses(): Promise<void> {
    const host = {name: HOST, zone: ZONE};
    const platform = await this.startStandin<PlatformUrls>({
      kind: 'platform',
      host,
    });
    const {weightStore} = platform;
    const {engines, ...options} = this.options;
    for (let index = 0; index < engines; index++) {
      const name = targetOf(index);
      const job = {kind: 'engine' as const, name, weightStore, ...options};
      const {url} = await this.startStandin<EngineUrl>(job);
      this.engineUrls.push(url);
    }
    this.host = await DaemonProcess.start(platform);
  }

  private startStandin<Answer>(job: StandinJob): Promise<Answer> {
    const worker = WorkerProcess.start('standin_worker');
    this.workers.push(worker);
    return worker.call<StandinJob, Answer>(job);
  }

  private async publish(): Promise<void> {
    const client = new OperatorClient(this.daemon.operatorUrl, OPERATOR_TOKEN);
    const verdict = await client.publish({
      type: 'publication',
      base: 0,
      changes: [
        ...teamObjects(),
        ...this.engineUrls.flatMap((url, index) =>
          engineObjects(index, url, this.options.slots),
        ),
      ],
      message: 'benchmark',
    });
    if (verdict.isOk() && verdict.value.accepted) return;
    throw new Error(`publication was rejected: ${JSON.stringify(verdict)}`);
  }
}

function modelOf(engine: number): string {
  return `drafter-${engine}`;
}

function targetOf(engine: number): string {
  return `pool-${engine}`;
}

function teamObjects(): RawObject[] {
  const team = 'inspectors';
  const rate = {tokens_per_second: UNLIMITED_TOKENS, burst: UNLIMITED_TOKENS};
  return [
    {kind: 'zone', name: ZONE, fields: {}},
    {kind: 'team', name: team, fields: {}},
    {kind: 'rate', name: team, fields: {team, ...rate}},
    {
      kind: 'key',
      name: 'inspectors-1',
      fields: {team, digest: digestOf(CALLER_KEY)},
    },
  ];
}

function engineObjects(index: number, url: string, slots: number): RawObject[] {
  const model = modelOf(index);
  const version = `${model}-v1`;
  return [
    {
      kind: 'target',
      name: targetOf(index),
      fields: {
        zone: ZONE,
        url,
        memory: `${ENGINE_MEMORY_GIB}GiB`,
        slots: String(slots),
      },
    },
    {kind: 'model', name: model, fields: {version}},
    {
      kind: 'version',
      name: version,
      fields: {model, weights: `${WEIGHTS_GIB}GiB`, kv_per_token: '1KiB'},
    },
    {
      kind: 'route',
      name: model,
      fields: {model, teams: 'inspectors', deadline: '60s'},
    },
  ];
}
