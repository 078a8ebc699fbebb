/** Runs the daemon of an entry host as a child process. @packageDocumentation */

import {ChildProcess, spawn} from 'node:child_process';
import {mkdtemp, readFile, rm, writeFile} from 'node:fs/promises';
import {createRequire} from 'node:module';
import {tmpdir} from 'node:os';
import {dirname, join} from 'node:path';
import {createInterface} from 'node:readline';
import {SystemClock, digestOf} from '@fuchsiacleat/core';
import {PlatformUrls} from './standin_job.js';

/** Token with which operators authenticate to the daemon. */
export const OPERATOR_TOKEN = 'bench-operator-token';

/** Name of the daemon's host. */
export const HOST = 'bench-1';

/** Zone of the daemon. */
export const ZONE = 'bench-a';

const BYTES_PER_KIB = 1024;
const MEMORY_SAMPLE_MS = 100;
const STARTED = /event=started .*caller_port=(\d+) operator_port=(\d+)/;

/** Name and zone of a host. */
export interface HostLocation {
  name: string;
  zone: string;
}

/** A running `fuchsiacleatd`. */
export class DaemonProcess {
  private constructor(
    private readonly child: ChildProcess,
    private readonly folder: string,
    /** Base URL for callers. */
    readonly callerUrl: string,
    /** Base URL for operators. */
    readonly operatorUrl: string,
  ) {}

  /** Process id. */
  get pid(): number {
    return this.child.pid!;
  }

  /**
   * Starts a daemon and waits until it listens.
   *
   * @param platform - URLs of the platform's stand-ins.
   * @param location - name and zone of the host.
   */
  static async start(
    platform: PlatformUrls,
    location: HostLocation = {name: 'bench-1', zone: ZONE},
  ): Promise<DaemonProcess> {
    const folder = await mkdtemp(join(tmpdir(), 'fuchsiacleatd-'));
    const settings = join(folder, 'settings.ini');
    await writeFile(settings, settingsText(platform, location));
    const child = spawn(process.execPath, [daemonMain(), '-s', settings], {
      stdio: ['ignore', 'ignore', 'pipe'],
    });
    const [callerPort, operatorPort] = await readPorts(child);
    return new DaemonProcess(
      child,
      folder,
      `http://127.0.0.1:${callerPort}`,
      `http://127.0.0.1:${operatorPort}`,
    );
  }

  /**
   * Samples the resident memory of the process.
   *
   * @param signal - ends the sampling.
   * @returns the greatest sample, in bytes.
   */
  async peakResidentBytes(signal: AbortSignal): Promise<number> {
    const clock = new SystemClock();
    let peak = 0;
    await clock.every(MEMORY_SAMPLE_MS, signal, async () => {
      peak = Math.max(peak, await this.residentBytes());
    });
    return peak;
  }

  /** Kills the process and deletes its folder. */
  async stop(): Promise<void> {
    this.child.kill('SIGKILL');
    await rm(this.folder, {recursive: true});
  }

  private async residentBytes(): Promise<number> {
    const status = await readFile(`/proc/${this.child.pid}/status`, 'utf8');
    const kib = /^VmRSS:\s+(\d+) kB$/m.exec(status)![1];
    return Number(kib) * BYTES_PER_KIB;
  }
}

function daemonMain(): string {
  const require = createRequire(import.meta.url);
  return join(dirname(require.resolve('@fuchsiacleat/daemon')), 'main.js');
}

function settingsText(
  {log, hostList}: PlatformUrls,
  {name, zone}: HostLocation,
): string {
  return `
[host]
name = ${name}
zone = ${zone}
[listen]
caller = 127.0.0.1:0
operator = 127.0.0.1:0
peer = 127.0.0.1:0
[platform]
log = ${log}
host_list = ${hostList}
[peers]
secret = bench-peer-secret
[operators]
token_digest = ${digestOf(OPERATOR_TOKEN)}
`;
}

/** Reads the ports from the log; reads on to its end, so that the pipe never fills up. */
function readPorts(child: ChildProcess): Promise<[string, string]> {
  return new Promise((resolve, reject) => {
    const lines: string[] = [];
    let started = false;
    createInterface({input: child.stderr!}).on('line', line => {
      if (started) return;
      lines.push(line);
      const match = STARTED.exec(line);
      if (match === null) return;
      started = true;
      resolve([match[1], match[2]]);
    });
    child.once('exit', () => reject(new Error(lines.join('\n'))));
  });
}
