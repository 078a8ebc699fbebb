/** Starts the deployed program as processes, and sends callers' requests. */

import {spawn} from 'node:child_process';
import {createWriteStream} from 'node:fs';
import {mkdtemp, readFile, rm, writeFile} from 'node:fs/promises';
import {request} from 'node:http';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import {join, resolve} from 'node:path';
import {fileURLToPath} from 'node:url';
import {pause} from './store.mjs';

const ROOT = resolve(fileURLToPath(import.meta.url), '../../..');
const PREFIX = 'x-fuchsiacleat-';
const READY_LIMIT_MS = 20_000;

export const HOST_NAME = 'desk.example';
export const KEY = 'key-of-the-only-team';

/** Bounds of the small installations. */
const BOUNDS = {
  TouchMs: 3000,
  AckTimeoutMs: 4000,
  CatchUpS: 4,
  DrainTimeoutMs: 2000,
  GraceS: 8,
  LossSlackMs: 200,
  ConfigApplyMs: 2000,
  RollbackSlackMs: 250,
  OuterBoundMs: 5000,
  RevokeStrict: true,
  RevokeMs: 5000,
  RetryBudgetRatio: 0.2,
  BudgetWindowS: 10,
  BudgetSlack: 58,
  QuotaWindowS: 8,
  QuotaOverage: 0.1,
  QuotaSlack: 7400,
  RecoverS: 12,
  PassMs: 120,
  RetryAfterS: 0,
  RequireFence: false,
  LeaseMs: 3000,
  ThawSlackMs: 300,
};

/** Words of the `run` line of the deploy file. */
async function readRunLine() {
  const text = await readFile(join(ROOT, 'deploy/system.toml'), 'utf8');
  return /^run = "([^"]*)"/m.exec(text)[1].split(' ');
}

/** A port that is free on an address now. */
async function freePort(address) {
  const server = createServer();
  await new Promise((done, fail) => {
    server.on('error', fail);
    server.listen(0, address, done);
  });
  const {port} = server.address();
  await new Promise(done => server.close(done));
  return port;
}

/** The hosts of a small deployment, each with a loopback address of its own. */
export class Deployment {
  constructor(store) {
    this.store = store;
    this.hosts = [];
    // No process is left behind, whatever ends this one.
    process.on('exit', () => {
      for (const {child} of this.hosts) child?.kill('SIGKILL');
    });
    for (const signal of ['SIGTERM', 'SIGINT', 'SIGHUP'])
      process.on(signal, () => process.exit(2));
  }

  async start(count, zones = ['a', 'b']) {
    this.folder = await mkdtemp(join(tmpdir(), 'fc-review-'));
    const words = await readRunLine();
    const octet = () => 1 + Math.floor(Math.random() * 253);
    const net = `127.${64 + (octet() % 128)}.${octet()}`;
    for (let i = 1; i <= count; i++) {
      const zone = zones[(i - 1) % zones.length];
      const host = {name: `front-${zone}-${i}`, zone, ip: `${net}.${i}`};
      host.port = await freePort(host.ip);
      host.readyPort = await freePort(host.ip);
      host.peerPort = await freePort(host.ip);
      this.hosts.push(host);
      await this.spawn(host, words);
    }
    await Promise.all(this.hosts.map(host => this.whenReady(host)));
  }

  async spawn(host, words) {
    const path = join(this.folder, `${host.name}.conf`);
    const lines = [
      `NodeName=${host.name}`,
      'Role=fuchsiacleatd',
      'MachineClass=front',
      'Serves=front',
      `Ip=${host.ip}`,
      `Zone=${host.zone}`,
      'Region=r',
      'Zones.a=r',
      'Zones.b=r',
      `Listen.Front=${host.ip}:${host.port}`,
      `Listen.Ready=${host.ip}:${host.readyPort}`,
      `InnerPorts=${host.peerPort},${host.peerPort}`,
      'Bootstrap=true',
      'Limits.CpuShare=0.675',
      'Limits.Cores=1',
      'Limits.MemoryMb=350',
      'Limits.MaxFds=4100',
      'Limits.LinkMbps=1000.0',
      'HeartbeatIntervalMs=1200',
      `Platform.Addr=${this.store.address}`,
      'Platform.form=log',
      ...Object.entries(BOUNDS).map(([key, value]) => `Bounds.${key}=${value}`),
    ];
    await writeFile(path, `${lines.join('\n')}\n`);
    const log = createWriteStream(join(this.folder, `${host.name}.log`), {
      flags: 'a',
    });
    const {HOME, LANG, PATH} = process.env;
    const env = {HOME, LANG, PATH, FUCHSIACLEAT_SETTINGS: path};
    const child = spawn(words[0], words.slice(1), {
      cwd: ROOT,
      env,
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    child.stdout.pipe(log, {end: false});
    child.stderr.pipe(log, {end: false});
    child.on('exit', (code, signal) => (host.exit = {code, signal}));
    host.child = child;
  }

  /** Starts the process of a host again, after it has ended. */
  async spawnAgain(host) {
    host.exit = undefined;
    await this.spawn(host, await readRunLine());
  }

  async whenReady(host) {
    const endMs = performance.now() + READY_LIMIT_MS;
    while (performance.now() < endMs) {
      const status = await new Promise(done => {
        const options = {
          host: host.ip,
          port: host.readyPort,
          path: '/readyz',
          agent: false,
        };
        const req = request(options, res => {
          res.resume();
          done(res.statusCode);
        });
        req.on('error', () => done(0));
        req.end();
      });
      if (status === 200) return;
      await pause(100);
    }
    throw new Error(`${host.name} is not ready`);
  }

  /** Lines of the logs of all hosts that begin with the name of an error. */
  async logErrors() {
    const found = [];
    for (const {name} of this.hosts) {
      const path = join(this.folder, `${name}.log`);
      const log = await readFile(path, 'utf8').catch(() => '');
      found.push(...log.split('\n').filter(line => /^\w*Error/.test(line)));
    }
    return found;
  }

  /** Ends the processes that this deployment started. */
  async stop() {
    await Promise.all(
      this.hosts.map(
        ({child, exit}) =>
          exit ?? new Promise(done => child.on('exit', done).kill('SIGKILL')),
      ),
    );
    if (process.env.KEEP !== '1' && this.folder !== undefined)
      await rm(this.folder, {recursive: true});
  }
}

/**
 * Sends one request of a caller and reads its answer.
 *
 * @returns `{status, body, headers, isWhole, error}`; `isWhole` tells whether
 *     the answer ended as complete.
 */
export function send(host, {agent, body = '{}', headers, id, method, path}) {
  return new Promise(done => {
    const result = {id, status: 0, body: '', headers: {}, isWhole: false};
    const req = request(
      {
        host: host.ip,
        port: host.port,
        method: method ?? 'POST',
        path,
        agent: agent ?? false,
        headers: {
          host: HOST_NAME,
          [`${PREFIX}attempt-id`]: id,
          [`${PREFIX}key`]: KEY,
          [`${PREFIX}deadline-ms`]: '10000',
          'content-type': 'application/json',
          'content-length': Buffer.byteLength(body),
          ...headers,
        },
      },
      res => {
        result.status = res.statusCode;
        result.headers = res.headers;
        res.on('data', chunk => (result.body += chunk));
        res.on('end', () => {
          result.isWhole = res.complete;
          done(result);
        });
        res.on('error', error => {
          result.error = error.code;
          done(result);
        });
      },
    );
    req.on('error', error => {
      result.error = error.code;
      done(result);
    });
    req.end(body);
  });
}
