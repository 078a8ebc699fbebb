/** A process with stand-ins, started by a benchmark. @packageDocumentation */

import {
  EngineStandin,
  HostListStandin,
  LogStandin,
  WeightStoreStandin,
} from '@fuchsiacleat/standins';
import {
  ENGINE_MEMORY_GIB,
  EngineUrl,
  PlatformUrls,
  StandinJob,
  WEIGHTS_GIB,
} from './standin_job.js';
import {serveJobs} from './worker_process.js';

const GIB = 1024 ** 3;

async function startPlatform(): Promise<PlatformUrls> {
  return {
    log: await new LogStandin().start(),
    hostList: await new HostListStandin().start(),
    weightStore: await new WeightStoreStandin().start(),
  };
}

async function start(job: StandinJob): Promise<PlatformUrls | EngineUrl> {
  if (job.kind === 'platform') return startPlatform();
  const engine = new EngineStandin({
    ...job,
    memoryBytes: ENGINE_MEMORY_GIB * GIB,
    weightsOf: () => WEIGHTS_GIB * GIB,
    adapterBytesOf: () => 0,
  });
  return {url: await engine.start()};
}

serveJobs(start);
