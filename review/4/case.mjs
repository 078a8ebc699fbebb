/**
 * Another writer puts one entry with an unreadable address into the list of
 * workers. Processes that end are started again, as the platform does.
 */

import {appendFile, writeFile} from 'node:fs/promises';
import {MODEL, PATH, SERVICE, deploymentConfig} from '../lib/config.mjs';
import {Deployment, send} from '../lib/deployment.mjs';
import {Store, pause} from '../lib/store.mjs';
import {Worker} from '../lib/worker.mjs';

const RECORD = new URL('record.txt', import.meta.url);
const hasTrouble = process.env.TROUBLE !== '0';

const HOSTS = 3;
/** Ends by itself, and machines with so many, that break the rule. */
const MAX_ENDS = 3;
const MIN_MACHINES = 2;
const RESTART_MS = 2_000;
const RUN_MS = 30_000;
const REQUEST_EVERY_MS = 100;

await writeFile(RECORD, `trouble: ${hasTrouble}\n`);
const note = text => appendFile(RECORD, `${text}\n`);
const store = new Store();
const deployment = new Deployment(store);
const workers = [];
let isDone = false;
let exitCode = 2;

/** Starts the process of a host again each time that it ends. */
async function keepAlive(host) {
  host.ends = 0;
  while (!isDone) {
    await pause(20);
    if (host.exit === undefined || isDone) continue;
    host.ends += 1;
    const atMs = Math.round(performance.now());
    await note(`${host.name} ended with ${host.exit.code} at ${atMs} ms`);
    await pause(RESTART_MS);
    await deployment.spawnAgain(host);
  }
}

try {
  await store.start();
  store.put('keyed.op', 'config', deploymentConfig(1));
  for (const [id, service, models] of [
    ['w1', SERVICE.plain, []],
    ['w2', SERVICE.plain, []],
    ['w3', SERVICE.engine, [MODEL]],
    ['w4', SERVICE.engine, [MODEL]],
  ]) {
    const worker = new Worker(store, {id, service, models, zone: 'a'});
    workers.push(worker);
    await worker.start();
  }
  await deployment.start(HOSTS);
  await pause(3_000);
  const guards = deployment.hosts.map(keepAlive);
  if (hasTrouble) {
    store.put('keyed.servers', 'entry-of-another-writer', {
      Service: SERVICE.engine,
      Addr: '127.0.0.300:8080',
      Zone: 'a',
      Version: 'v1',
      Slots: 64,
      State: 'ready',
      ColdLeftMs: 0,
      Seq: 0,
      Models: [],
      born: Date.now(),
    });
  }
  const endMs = performance.now() + RUN_MS;
  const counts = new Map();
  for (let i = 0; performance.now() < endMs; i++) {
    const host = deployment.hosts[i % HOSTS];
    const request = {id: `once-${i}`, path: `${PATH.once}x`};
    void send(host, request).then(({error, status}) => {
      const answer = status || error;
      counts.set(answer, (counts.get(answer) ?? 0) + 1);
    });
    await pause(REQUEST_EVERY_MS);
  }
  await pause(500);
  isDone = true;
  await Promise.all(guards);
  const answers = [...counts].map(([answer, n]) => `${n} of ${answer}`);
  await note(`answers: ${answers.join(', ')}`);
  const ends = deployment.hosts.map(host => host.ends);
  const errors = new Set(await deployment.logErrors());
  for (const error of errors) await note(`in the logs: ${error}`);
  const machines = ends.filter(count => count >= MAX_ENDS).length;
  const isBroken = machines >= MIN_MACHINES;
  await note(`ends by themselves: ${ends.join(', ')}`);
  if (isBroken) await note(`Fault: ${machines} machines of ${HOSTS}`);
  exitCode = isBroken ? 1 : counts.has(200) ? 0 : 2;
} catch (error) {
  await note(`could not run: ${error.stack}`);
} finally {
  isDone = true;
  await deployment.stop();
  for (const worker of workers) worker.stop();
  store.stop();
}
process.exit(exitCode);
