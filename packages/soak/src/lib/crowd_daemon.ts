/** A daemon on its own interface for tests of crowds. @packageDocumentation */

import {ChildProcess, spawn} from 'node:child_process';
import {createWriteStream} from 'node:fs';
import {mkdtemp, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {OperatorClient} from '@fuchsiacleat/cli';
import {digestOf} from '@fuchsiacleat/core';
import {
  OPERATOR_TOKEN,
  SAMPLE_KEY,
  loopbackAddress,
  nextDeployment,
  sampleDeclarations,
} from '@fuchsiacleat/local-cluster';
import {LogStandin, ServiceStandin} from '@fuchsiacleat/standins';
import {request} from 'undici';
import {CrowdTarget} from './crowd_target.js';

const PROGRAM = fileURLToPath(import.meta.resolve('@fuchsiacleat/daemon/main'));
const PORT = {callers: 8080, operators: 8081, peers: 7400} as const;
const POLL_MS = 50;
const CALL_TIMEOUT_MS = 6_000;
const OK = 200;
const ZONE = 'a';
const SERVICE_NAME = 's1';

/** Path of a route whose calls run once at most. */
export const DAEMON_PATH = '/services/filing/';

/** Head fields of a request to a daemon. */
export interface DaemonHead {
  path?: string;
  key?: string;
  /** Announced length of the body in bytes; chunks without. */
  length?: number;
}

/** Returns the head of a request to a daemon. */
export function daemonHead({
  path = DAEMON_PATH,
  key = SAMPLE_KEY,
  length,
}: DaemonHead): Buffer {
  const framing =
    length === undefined
      ? 'transfer-encoding: chunked'
      : `content-length: ${length}`;
  return Buffer.from(
    `POST ${path} HTTP/1.1\r\nhost: a\r\n` +
      `authorization: Bearer ${key}\r\n${framing}\r\n\r\n`,
  );
}

/** Limits of the daemon's settings. */
export interface DaemonLimits {
  memoryMb: number;
  bodyBytes: number;
  connections: number;
}

/** One daemon process with stand-ins of the log and of a plain service. */
export class CrowdDaemon extends CrowdTarget {
  override readonly unexpectedExits: string[] = [];
  private isEnding = false;

  private constructor(
    private readonly child: ChildProcess,
    private readonly address: string,
    private readonly standins: ReadonlyArray<LogStandin | ServiceStandin>,
  ) {
    super(child.pid!);
    child.on('exit', (code, signal) => {
      if (!this.isEnding) this.unexpectedExits.push(`daemon ${code ?? signal}`);
    });
  }

  /**
   * Starts the stand-ins and the daemon, and waits until it serves callers.
   *
   * @param limits - see {@link DaemonLimits}.
   */
  static async start(limits: DaemonLimits): Promise<CrowdDaemon> {
    const log = new LogStandin();
    await log.start();
    const service = new ServiceStandin();
    await service.start();
    const address = loopbackAddress(nextDeployment(), 0);
    const folder = await mkdtemp(join(tmpdir(), 'fuchsiacleat-crowd-'));
    const path = join(folder, 'daemon.ini');
    await writeFile(path, settingsText(address, log.url, limits));
    const child = spawn(process.execPath, [PROGRAM, '--settings', path], {
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const output = createWriteStream(join(folder, 'daemon.log'));
    child.stdout.pipe(output, {end: false});
    child.stderr.pipe(output, {end: false});
    const daemon = new CrowdDaemon(child, address, [log, service]);
    await daemon.publish(service.url);
    while ((await daemon.callOnce()) !== OK) await sleep(POLL_MS);
    return daemon;
  }

  override get url(): string {
    return `http://${this.address}:${PORT.callers}`;
  }

  /** Base URL of the operator API. */
  get operatorUrl(): string {
    return `http://${this.address}:${PORT.operators}`;
  }

  override async callOnce(): Promise<number> {
    try {
      const res = await request(`${this.url}${DAEMON_PATH}`, {
        method: 'POST',
        headers: {authorization: `Bearer ${SAMPLE_KEY}`},
        body: 'ordinary',
        reset: true,
        headersTimeout: CALL_TIMEOUT_MS,
      });
      await res.body.dump();
      return res.statusCode;
    } catch {
      // Status of a request without an answer.
      return 0;
    }
  }

  override async dispose(): Promise<void> {
    this.isEnding = true;
    if (this.child.exitCode === null && this.child.signalCode === null) {
      this.child.kill('SIGKILL');
      await new Promise(resolve => this.child.once('exit', resolve));
    }
    await Promise.all(this.standins.map(standin => standin.stop()));
  }

  private async publish(serviceUrl: string): Promise<void> {
    const client = new OperatorClient(this.operatorUrl, OPERATOR_TOKEN);
    while ((await client.status()).isErr()) await sleep(POLL_MS);
    const fields = {zone: ZONE, kind: 'service', url: serviceUrl};
    const verdict = await client.publish({
      type: 'publication',
      base: 0,
      changes: [
        {kind: 'zone', name: ZONE, fields: {}},
        {kind: 'target', name: SERVICE_NAME, fields},
        ...sampleDeclarations({services: [SERVICE_NAME]}),
      ],
      message: 'crowd',
    });
    if (verdict.isErr() || !verdict.value.accepted)
      throw new Error(`not published: ${JSON.stringify(verdict)}`);
  }
}

function settingsText(
  address: string,
  logUrl: string,
  {memoryMb, bodyBytes, connections}: DaemonLimits,
): string {
  return [
    '[host]',
    'name = host',
    `zone = ${ZONE}`,
    '[listen]',
    `caller = ${address}:${PORT.callers}`,
    `operator = ${address}:${PORT.operators}`,
    `peer = ${address}:${PORT.peers}`,
    '[platform]',
    `log = ${logUrl}`,
    '[peers]',
    'plain = yes',
    '[operators]',
    `token_digest = ${digestOf(OPERATOR_TOKEN)}`,
    '[limits]',
    `body_bytes = ${bodyBytes}`,
    `connections = ${connections}`,
    `memory_mb = ${memoryMb}`,
  ].join('\n');
}
