/** Callers in a thread of their own. @packageDocumentation */

import {parentPort, workerData} from 'node:worker_threads';
import {ROUTE_PATH} from '../../lib/platform_world.js';
import {RawCaller} from '../../lib/raw_caller.js';

/** What a caller received until its connection ended. */
export interface ThreadAnswer {
  text: string;
  errorCode: string | undefined;
}

/** URL of the host, and the number of callers. */
const {url, count} = workerData as {url: string; count: number};

async function call(id: string): Promise<ThreadAnswer> {
  const caller = await RawCaller.open(url);
  caller.send({path: ROUTE_PATH.once, id});
  await caller.waitForEnd();
  const {text, errorCode} = caller;
  caller.socket.destroy();
  return {text, errorCode};
}

parentPort!.once('message', () => {
  const calls = Array.from({length: count}, (unusedItem, i) =>
    call(`queued-${i}`),
  );
  void Promise.all(calls).then(answers => {
    parentPort!.postMessage(answers);
    parentPort!.close();
  });
});
parentPort!.postMessage('ready');
