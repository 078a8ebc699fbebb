/**
 * Program of a worker as a process of its own, see {@link WorkerProcess}.
 *
 * @packageDocumentation
 */

import {IncomingMessage, ServerResponse, createServer} from 'node:http';
import {AddressInfo, Socket} from 'node:net';
import {finished} from 'node:stream/promises';
import {setTimeout as sleep} from 'node:timers/promises';
import {WORKER_COMMAND, WorkerCommand, WorkerPlan} from './worker_process.js';

const HEADER_PREFIX = 'x-fuchsiacleat-';
const LOOPBACK = '127.0.0.1';

/** Time for which a worker that is full wants no requests, in seconds. */
const RETRY_AFTER_S = 5;

const plan = JSON.parse(process.argv[2]) as WorkerPlan;
const bornMs = Date.now();
const answering = new Set<Socket>();
let isFull = false;
let isLeavingAtOnce = false;

const server = createServer((req, res) => {
  req.resume();
  req.on('end', () => void respond(req, res));
});

async function respond(
  req: IncomingMessage,
  res: ServerResponse,
): Promise<void> {
  const id = req.headers[`${HEADER_PREFIX}attempt-id`];
  if (id === undefined) {
    res.setHeader(`${HEADER_PREFIX}instance-id`, plan.id);
    const runs = {Waiting: 0, Running: answering.size, Runs: []};
    const held = [{Name: 'm1', Version: 1, Adapters: []}];
    const state = {Stage: 'both', Models: held, Busy: false, Seq: 0};
    res.end(JSON.stringify({...state, ...runs, born: bornMs}));
    return;
  }
  res.setHeader(`${HEADER_PREFIX}attempt-id`, id);
  if (isFull) {
    res.setHeader(`${HEADER_PREFIX}not-executed`, '1');
    res.setHeader('retry-after', String(RETRY_AFTER_S));
    res.writeHead(503).end();
    return;
  }
  await writeAnswer(req, res);
}

async function writeAnswer(
  req: IncomingMessage,
  res: ServerResponse,
): Promise<void> {
  const {eventCount, eventGapMs, framing, id, piece} = plan;
  const socket = res.socket!;
  answering.add(socket);
  const isStream = req.headers[`${HEADER_PREFIX}model`] !== undefined;
  const first = Number(req.headers['last-event-id'] ?? 0) + 1;
  const events: string[] = [];
  for (let i = first; i <= eventCount; i++)
    events.push(isStream ? `id: ${i}\ndata: ${piece}\n\n` : piece);
  res.setHeader(`${HEADER_PREFIX}server-stamp`, id);
  if (isStream) res.setHeader('content-type', 'text/event-stream');
  if (framing === 'length') {
    res.setHeader('content-length', events.join('').length);
  } else if (framing === 'close') {
    res.useChunkedEncodingByDefault = false;
    res.removeHeader('transfer-encoding');
  }
  res.flushHeaders();
  if (events.length === 0) res.end();
  for (const [i, event] of events.entries()) {
    if (i > 0) await sleep(eventGapMs);
    if (res.destroyed) return;
    if (i < events.length - 1) res.write(event);
    else res.end(event);
  }
  // Its bytes have to be written before.
  await finished(res);
  answering.delete(socket);
  if (isLeavingAtOnce && answering.size === 0) process.exit(0);
}

process.on('message', (command: WorkerCommand) => {
  switch (command) {
    case WORKER_COMMAND.beFull:
      isFull = true;
      return;
    case WORKER_COMMAND.leave:
      server.close(() => process.exit(0));
      return;
    case WORKER_COMMAND.leaveAtOnce:
      server.close();
      isLeavingAtOnce = true;
      return;
    case WORKER_COMMAND.closeAnswers:
      for (const socket of answering) socket.end();
      return;
  }
});
process.on('disconnect', () => process.exit(0));
server.listen(plan.port, LOOPBACK, () =>
  process.send!((server.address() as AddressInfo).port),
);
