/** Thread of a {@link DarkLink}. @packageDocumentation */

import {AddressInfo, connect, createServer} from 'node:net';
import {parentPort, workerData} from 'node:worker_threads';

const LOOPBACK = '127.0.0.1';

/** Length of the queue of connections that are not accepted yet. */
const BACKLOG = 16;

const {target, gate} = workerData as {target: number; gate: Int32Array};

const server = createServer(near => {
  const far = connect(target, LOOPBACK);
  near.pipe(far);
  far.pipe(near);
  near.on('error', () => far.destroy());
  far.on('error', () => near.destroy());
  near.on('close', () => far.destroy());
  far.on('close', () => near.destroy());
});
server.listen({host: LOOPBACK, port: 0, backlog: BACKLOG}, () => {
  parentPort!.postMessage((server.address() as AddressInfo).port);
});
// Blocks the thread, so that its server accepts nothing.
parentPort!.on('message', () => Atomics.wait(gate, 0, 0));
