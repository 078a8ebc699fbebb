/** Worker process that runs stand-ins for a benchmark. @packageDocumentation */

import {
  EngineStandin,
  HostListStandin,
  LogStandin,
  WeightStoreStandin,
} from '@fuchsiacleat/standins';
import {
  ENGINE_MEMORY_GIB,
  EngineUrl,
  PlatformHost,
  PlatformUrls,
  StandinJob,
  WEIGHTS_GIB,
} from './standin_job.js';
import {serveJobs} from './worker_process.js';

const GIB = 1024 ** 3;

async function startPlatform(host: PlatformHost): Promise<PlatformUrls> {
  const hostList = new HostListStandin();
  // A host that is not on the list counts as permanently removed.
  hostList.set({...host, state: 'live'});
  return {
    log: await new LogStandin().start(),
    hostList: await hostList.start(),
    weightStore: await new WeightStoreStandin().start(),
  };
}

async function start(job: StandinJob): Promise<PlatformUrls | EngineUrl> {
  if (job.kind === 'platform') return startPlatform(job.host);
  const engine = new EngineStandin({
    ...job,
    memoryBytes: ENGINE_MEMORY_GIB * GIB,
    weightBytesOf: () => WEIGHTS_GIB * GIB,
    adapterBytesOf: () => 0,
  });
  return {url: await engine.start()};
}

serveJobs(start);
