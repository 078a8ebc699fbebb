/**
 * A host is killed while it passes on answers that have no length. Watches
 * whether an answer that ends early looks complete to its consumer.
 */

import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {createServer} from 'node:http';
import {connect} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {Host} from '../lib-2/host.mjs';
import {Store} from '../lib-2/store.mjs';

const TROUBLE = process.env.TROUBLE !== '0';
const PREFIX = 'x-fuchsiacleat-';
const SERVICE = 'drafting';
const EVENTS = 12;
const EVENT_MS = 100;
const REQUESTS_PER_S = 60;
const BEAT_MS = 1_200;
const PLAY_MS = 14_000;

/** Answers without a length: half of the workers, 5 in 100, for 5 s. */
const UNFRAMED_WORKERS = new Set(['worker-1', 'worker-2']);
const UNFRAMED_SHARE = 0.05;
const UNFRAMED_FROM_MS = 4_000;
const UNFRAMED_FOR_MS = 5_000;

const beganMs = performance.now();
const lines = [];
const nowS = () => ((performance.now() - beganMs) / 1_000).toFixed(3);
const record = text => lines.push(`${nowS()} ${text}`);
const sleep = ms => new Promise(resolve => setTimeout(resolve, ms));
const here = new URL('.', import.meta.url).pathname;
const folder = mkdtempSync(join(tmpdir(), 'review-6-'));
const hosts = [];

function finish(code, verdict) {
  record(`result: ${verdict}`);
  writeFileSync(join(here, 'record.txt'), `${lines.join('\n')}\n`);
  process.stdout.write(`${verdict}\n`);
  for (const host of hosts) host.child?.kill('SIGKILL');
  rmSync(folder, {recursive: true, force: true});
  process.exit(code);
}

// However the script ends, its hosts end with it.
process.on('exit', () => {
  for (const host of hosts) host.child?.kill('SIGKILL');
});
for (const signal of ['SIGTERM', 'SIGINT', 'SIGHUP'])
  process.on(signal, () => finish(2, `ended by ${signal}`));

const store = new Store();
await store.start();
store.put('keyed.op', 'config', {
  Version: 4,
  Routes: [
    {
      Name: 'draft',
      Host: 'api.example',
      PathPrefix: '/draft/',
      Kind: 'streaming',
      TimeoutMs: 12_000,
      TargetLatencyMs: 400,
      Priority: 1,
      Service: SERVICE,
      MaxAttempts: 1,
      Public: false,
      Resumable: false,
      GapAimMs: 200,
    },
  ],
  Services: [{Name: SERVICE, HealthPath: '/healthz', MaxConns: 370}],
  Limits: {
    MaxHeaderBytes: 16_384,
    MaxBodyBytes: 4_194_304,
    HeaderTimeoutMs: 3_000,
    IdleTimeoutMs: 15_000,
  },
});

let playMs = Infinity;
/** Runs by request: the worker, what it wrote, and how its answer ended. */
const runs = new Map();

/** Answers of a worker that could have no length, and those that had none. */
function takesNoLength(worker) {
  const sinceMs = performance.now() - playMs - UNFRAMED_FROM_MS;
  if (!UNFRAMED_WORKERS.has(worker.id)) return false;
  if (sinceMs < 0 || sinceMs >= UNFRAMED_FOR_MS) return false;
  worker.answers += 1;
  if (worker.unframed + 1 > worker.answers * UNFRAMED_SHARE) return false;
  worker.unframed += 1;
  return true;
}

async function startWorker(id) {
  const worker = {id, answers: 0, unframed: 0};
  const server = createServer(async (req, res) => {
    // eslint-disable-next-line no-unused-vars -- only the end is awaited
    for await (const chunk of req);
    const attempt = req.headers[`${PREFIX}attempt-id`];
    if (req.headers[`${PREFIX}expect-instance`] !== id) {
      res.writeHead(421, {[`${PREFIX}instance-id`]: id}).end();
      return;
    }
    const isUnframed = takesNoLength(worker);
    const run = {worker: id, isUnframed, events: 0, end: 'open'};
    runs.set(attempt, run);
    if (isUnframed) res.useChunkedEncodingByDefault = false;
    if (isUnframed) res.shouldKeepAlive = false;
    res.writeHead(200, {
      [`${PREFIX}attempt-id`]: attempt,
      [`${PREFIX}server-stamp`]: `${id}.${attempt}`,
      'content-type': 'text/event-stream',
    });
    const timer = setInterval(() => {
      run.events += 1;
      res.write(`id: ${run.events}\ndata: piece ${run.events}\n\n`);
      if (run.events < EVENTS) return;
      run.end = 'whole';
      res.end();
    }, EVENT_MS);
    res.on('close', () => {
      clearInterval(timer);
      if (run.end === 'open') run.end = 'its channel was closed by the host';
    });
  });
  await new Promise(resolve => server.listen(0, '127.0.0.1', resolve));
  const born = Date.now();
  const beat = () =>
    store.put('keyed.servers', id, {
      Service: SERVICE,
      Addr: `127.0.0.1:${server.address().port}`,
      Zone: 'zone-1',
      Version: 'v1',
      Slots: 64,
      State: 'ready',
      ColdLeftMs: 0,
      Seq: 0,
      born,
    });
  beat();
  setInterval(beat, BEAT_MS).unref();
}
for (const id of ['worker-1', 'worker-2', 'worker-3', 'worker-4'])
  await startWorker(id);

const net = `127.${64 + (process.pid % 128)}.${1 + ((process.pid >> 7) % 250)}`;
for (let i = 1; i <= 3; i++) {
  const address = `${net}.${i}`;
  const name = `front-${i}`;
  hosts.push(
    new Host({name, zone: 'zone-1', address, storePort: store.port, folder}),
  );
}
for (const host of hosts) host.start();
for (const host of hosts)
  if (!(await host.untilReady(20_000))) finish(2, 'a host did not start');
record('all hosts are ready');

/** Consumers read what they get to the end of the channel, byte by byte. */
const answers = new Map();
let open = [...hosts];
let sent = 0;
function send() {
  sent += 1;
  const host = open[sent % open.length];
  const id = `${process.pid.toString(16)}${sent.toString(16).padStart(8, '0')}`;
  const answer = {host: host.name, text: '', end: 'open'};
  answers.set(id, answer);
  const socket = connect(8221, host.address);
  socket.on('data', chunk => (answer.text += chunk.toString('latin1')));
  socket.on('end', () => (answer.end = 'in order'));
  socket.on('error', ({code}) => (answer.end = code));
  socket.write(
    `POST /draft/${sent} HTTP/1.1\r\nHost: api.example\r\n` +
      `X-Fuchsiacleat-Attempt-Id: ${id}\r\n` +
      'X-Fuchsiacleat-Deadline-Ms: 12000\r\n' +
      'Connection: close\r\nContent-Length: 4\r\n\r\nbody',
  );
}

/** Whether a consumer has to take its answer for complete. */
function looksComplete({end, text}) {
  const headEnd = text.indexOf('\r\n\r\n');
  if (end !== 'in order' || headEnd < 0) return false;
  const head = text.slice(0, headEnd).toLowerCase();
  if (!head.startsWith('http/1.1 200')) return false;
  if (head.includes('transfer-encoding: chunked'))
    return text.endsWith('0\r\n\r\n');
  const length = /\r\ncontent-length: (\d+)/.exec(head);
  return length === null || text.length - headEnd - 4 === Number(length[1]);
}

playMs = performance.now();
const traffic = setInterval(send, 1_000 / REQUESTS_PER_S);
/** Answers without a length that are on their way, by request. */
const underWay = () =>
  [...runs].filter(
    ([, {end, events, isUnframed}]) =>
      isUnframed && end === 'open' && events >= 2 && events <= EVENTS - 4,
  );
const killFromMs = playMs + UNFRAMED_FROM_MS + 1_000;
const killUntilMs = playMs + UNFRAMED_FROM_MS + UNFRAMED_FOR_MS + 1_000;
let isKilled = false;
while (performance.now() < killUntilMs && !isKilled) {
  await sleep(10);
  if (performance.now() < killFromMs || underWay().length === 0) continue;
  isKilled = true;
  const {host} = answers.get(underWay()[0][0]);
  for (const [id, {events, worker}] of underWay())
    record(
      `on its way through ${answers.get(id).host}: ${id} of ${worker}, ${events} events made`,
    );
  if (!TROUBLE) break;
  record(`SIGKILL to ${host}`);
  const victim = hosts.find(({name}) => name === host);
  victim.signal('SIGKILL');
  open = hosts.filter(other => other !== victim);
}
if (!isKilled) finish(2, 'no answer without a length was under way');
await sleep(Math.max(0, playMs + PLAY_MS - performance.now()));
clearInterval(traffic);
await sleep(3_000);
for (const host of hosts) host.signal('SIGKILL');
store.stop();

const ends = new Map();
const early = [];
for (const [id, answer] of answers) {
  const run = runs.get(id);
  const isWhole = answer.text.includes(`data: piece ${EVENTS}\n\n`);
  const isComplete = looksComplete(answer);
  const kind = `${isComplete ? 'looks complete' : 'is broken off'}, ${isWhole ? 'whole' : 'not whole'}`;
  ends.set(kind, (ends.get(kind) ?? 0) + 1);
  if (!isComplete || isWhole) continue;
  const events = answer.text.split('\n\n').length - 1;
  early.push(id);
  record(
    `${id}: status 200 with a stamp, ${events} of ${EVENTS} events, the channel ended in order at ${answer.host}; ${run?.worker} made ${run?.events} events, then ${run?.end}`,
  );
}
const unframed = [...runs.values()].filter(({isUnframed}) => isUnframed);
record(
  `${sent} requests sent, ${runs.size} run, ${unframed.length} answered without a length`,
);
for (const [kind, count] of ends) record(`${count} answers: ${kind}`);
if (early.length > 0)
  finish(
    1,
    `MIXED is broken: ${early.length} answers that ended early look complete`,
  );
finish(0, 'MIXED held');
