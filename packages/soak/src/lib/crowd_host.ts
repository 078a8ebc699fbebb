/** A host of the users' platform for tests of crowds. @packageDocumentation */

import {mkdtemp, readFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
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
import {
  AnswerScript,
  PlatformStoreStandin,
  RawWorker,
  RawWorkerRequest,
  encodeAnswer,
  rawAnswer,
} from '@fuchsiacleat/standins';
import {UNLIMITED_RETRIES} from './answers_run.js';
import {CrowdTarget} from './crowd_target.js';
import {HostProcess} from './host_process.js';

const LARGE_ANSWER_BYTES = 200_000;
const SLOW_ANSWER_MS = 2_000;
const READY_POLL_MS = 50;

const LARGE_ANSWER = Buffer.alloc(LARGE_ANSWER_BYTES, 'a');

/** Paths below a route that make the worker's answer large or slow. */
export const ANSWER_PATH = {large: 'large', slow: 'slow'} as const;

/** Answers by the end of the path: with a large body, slowly, or at once. */
function script({id, target}: RawWorkerRequest): AnswerScript {
  const isLarge = target.endsWith(ANSWER_PATH.large);
  const body = isLarge ? LARGE_ANSWER : Buffer.from('ok');
  const answer = rawAnswer({id, signature: 'p1.1', body});
  const bytes = encodeAnswer(answer);
  const ms = target.endsWith(ANSWER_PATH.slow) ? SLOW_ANSWER_MS : 0;
  return {
    answer,
    steps: [
      {type: 'wait', ms},
      {type: 'write', bytes},
    ],
  };
}

/** One host process with stand-ins of the store and of a worker. */
export class CrowdHost extends CrowdTarget {
  private constructor(
    private readonly store: PlatformStoreStandin,
    private readonly worker: RawWorker,
    private readonly host: HostProcess,
    private readonly folder: string,
  ) {
    super(host.pid!);
  }

  /**
   * Starts the stand-ins and the host, and waits until it is ready.
   *
   * @param machine - settings that describe the machine.
   */
  static async start(machine: Record<string, number>): Promise<CrowdHost> {
    const store = new PlatformStoreStandin();
    await store.start();
    const worker = new RawWorker({id: 'p1', service: SERVICE.plain, script});
    await worker.start();
    store.put(STORE_TOPIC.targets, worker.id, worker.registration());
    const teams = [{Name: 'team', ApiKeys: [TEAM_KEY]}];
    store.put(STORE_TOPIC.operator, 'config', platformConfig(1, teams));
    const folder = await mkdtemp(join(tmpdir(), 'fuchsiacleat-crowd-'));
    const host = new HostProcess({
      name: 'host',
      zone: 'a',
      address: loopbackAddress(nextDeployment(), 0),
      storePort: Number(new URL(store.url).port),
      folder,
      bounds: UNLIMITED_RETRIES,
      machine,
    });
    await host.start();
    while (!(await host.isReady())) await sleep(READY_POLL_MS);
    return new CrowdHost(store, worker, host, folder);
  }

  override get url(): string {
    return this.host.url;
  }

  /** URL of the readiness endpoint. */
  get readyUrl(): string {
    return this.host.readyUrl;
  }

  /** URL of the metrics endpoint. */
  get metricsUrl(): string {
    return this.host.metricsUrl;
  }

  /** Address for links of other hosts, as a URL. */
  get peersUrl(): string {
    return this.host.peersUrl;
  }

  override get unexpectedExits(): readonly string[] {
    return this.host.unexpectedExits;
  }

  override async callOnce(): Promise<number> {
    const caller = await StrictCaller.open(this.url);
    const path = ROUTE_PATH.once;
    const {status} = await caller.call({path, id: 'ordinary'});
    caller.destroy();
    return status;
  }

  /** Returns whether the load balancer's question is answered with ready. */
  isReady(): Promise<boolean> {
    return this.host.isReady();
  }

  /** Returns the log so far. */
  log(): Promise<string> {
    return readFile(join(this.folder, 'host.log'), 'utf8');
  }

  override async dispose(): Promise<void> {
    await this.host.dispose();
    this.worker.stop();
    await this.store.stop();
  }
}
