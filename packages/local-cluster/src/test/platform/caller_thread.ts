/** Caller in a thread of its own. @packageDocumentation */

import {parentPort, workerData} from 'node:worker_threads';
import {ROUTE_PATH} from '../../lib/platform_world.js';
import {RawCaller} from '../../lib/raw_caller.js';

/** What the caller received until its connection ended. */
export interface ThreadAnswer {
  text: string;
  errorCode: string | undefined;
}

const {url, id} = workerData as {url: string; id: string};

async function call(): Promise<ThreadAnswer> {
  const caller = await RawCaller.open(url);
  caller.send({path: ROUTE_PATH.once, id});
  await caller.waitForEnd();
  const {text, errorCode} = caller;
  caller.socket.destroy();
  return {text, errorCode};
}

parentPort!.once('message', () => {
  void call().then(answer => {
    parentPort!.postMessage(answer);
    parentPort!.close();
  });
});
parentPort!.postMessage('ready');
