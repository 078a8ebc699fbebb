/**
 * Requests that must not be repeated, while the workers are full at times and
 * one of two sends a late second copy of some answers.
 */

import {appendFile, writeFile} from 'node:fs/promises';
import {PATH, SERVICE, deploymentConfig} from '../lib/config.mjs';
import {Deployment, send} from '../lib/deployment.mjs';
import {FaultWindow} from '../lib/fault_window.mjs';
import {Store, pause} from '../lib/store.mjs';
import {Worker} from '../lib/worker.mjs';

const RECORD = new URL('record.txt', import.meta.url);
const hasTrouble = process.env.TROUBLE !== '0';

const ROUNDS = 14;
/** The round that the time with second copies begins with. */
const FIRST_COPIED_ROUND = 6;
const SLOTS = 6;
const QUEUE = 3;
/** Work of the requests that fill the workers, and when the next one comes. */
const WORK_MS = 300;
const PROBE_AFTER_MS = 270;
const ROUND_PAUSE_MS = 150;

/** Requests of the calm host before each round; they fill its retry budget. */
const CALM_REQUESTS = 15;
const CALM_WORK_MS = 5;

/** Limits of the site file for `garble`, how = "extra late". */
const COPIES = new FaultWindow(5_000, 0.03);

await writeFile(RECORD, `trouble: ${hasTrouble}\n`);
const note = text => appendFile(RECORD, `${text}\n`);
const store = new Store();
const deployment = new Deployment(store);
const workers = [];
let exitCode = 2;
try {
  await store.start();
  store.put('keyed.op', 'config', deploymentConfig(1));
  const duplicates = id => {
    if (!hasTrouble || !id.startsWith('probe')) return false;
    if (!COPIES.take(workers[0])) return false;
    void note(`second copy of the 503 to ${id} will follow late`);
    return true;
  };
  for (const [i, zone] of ['a', 'b'].entries()) {
    const worker = new Worker(store, {
      id: `w${i + 1}`,
      service: SERVICE.plain,
      zone,
      slots: SLOTS,
      queue: QUEUE,
      duplicates: i === 0 ? duplicates : undefined,
    });
    await worker.start();
    workers.push(worker);
  }
  await deployment.start(2);
  // Callers of one host fill the workers; those of the other come one by one.
  const [calm, busy] = deployment.hosts;
  await pause(2_000);
  const answers = [];
  const ask = async (host, id, workMs) => {
    const headers = {'x-work-ms': String(workMs), connection: 'close'};
    answers.push(await send(host, {headers, id, path: `${PATH.once}x`}));
  };
  for (let round = 0; round < ROUNDS; round++) {
    if (round === FIRST_COPIED_ROUND) COPIES.open([workers[0]]);
    for (let i = 0; i < CALM_REQUESTS; i++)
      await ask(calm, `calm-${round}-${i}`, CALM_WORK_MS);
    const pending = [];
    for (let i = 0; i < (SLOTS + QUEUE) * workers.length; i++)
      pending.push(ask(busy, `fill-${round}-${i}`, WORK_MS));
    await pause(PROBE_AFTER_MS);
    pending.push(ask(calm, `probe-${round}`, 30));
    await Promise.all(pending);
    await pause(ROUND_PAUSE_MS);
  }
  await pause(1_000);
  const runs = workers.flatMap(worker => worker.runs);
  const byId = new Map();
  for (const {beganMs, id, worker} of runs) {
    await note(`run ${id} at ${worker} from ${beganMs} ms`);
    byId.set(id, [...(byId.get(id) ?? []), worker]);
  }
  for (const {id, worker} of workers.flatMap(({refusals}) => refusals))
    await note(`not run ${id}: 503 of ${worker}`);
  let broken = 0;
  for (const {body, error, id, status} of answers) {
    const ranAt = byId.get(id) ?? [];
    const isPromise = [408, 421, 429, 503].includes(status);
    await note(`answer ${id}: ${status || error} ${body.slice(0, 60)}`);
    if (ranAt.length > 1) {
      broken += 1;
      await note(`TWICE: ${id} ran at ${ranAt.join(' and ')}`);
    }
    if (isPromise && ranAt.length > 0) {
      broken += 1;
      await note(`REFUSED: ${id} got ${status} and ran at ${ranAt.join()}`);
    }
  }
  await note(
    `answers of workers: ${workers.map(({answers}) => answers).join(' and ')}, ` +
      `second copies: ${COPIES.faults}, broken: ${broken}`,
  );
  const served = answers.filter(({status}) => status === 200).length;
  await note(`served ${served} of ${answers.length}`);
  exitCode = broken > 0 ? 1 : served > answers.length / 2 ? 0 : 2;
} catch (error) {
  await note(`could not run: ${error.stack}`);
} finally {
  await deployment.stop();
  for (const worker of workers) worker.stop();
  store.stop();
}
process.exit(exitCode);
