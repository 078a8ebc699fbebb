/** Target in a thread of its own. @packageDocumentation */

import {AddressInfo} from 'node:net';
import {createServer} from 'node:http';
import {parentPort, workerData} from 'node:worker_threads';

const HEADER_PREFIX = 'x-fuchsiacleat-';

/** Time from a request to the last event of its answer, in milliseconds. */
const {lastEventAfterMs} = workerData as {lastEventAfterMs: number};

const server = createServer((req, res) => {
  req.resume();
  const id = String(req.headers[`${HEADER_PREFIX}attempt-id`] ?? '');
  res.setHeader(`${HEADER_PREFIX}attempt-id`, id);
  res.setHeader(`${HEADER_PREFIX}server-stamp`, 'thread.stamp');
  res.setHeader('content-type', 'text/event-stream');
  res.write('data: first\n\n');
  setTimeout(() => res.end('data: last\n\n'), lastEventAfterMs);
});
server.listen(0, '127.0.0.1', () => {
  parentPort!.postMessage((server.address() as AddressInfo).port);
});
