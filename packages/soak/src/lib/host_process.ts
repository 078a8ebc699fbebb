/** One host as a process of its own. @packageDocumentation */

import {ChildProcess, spawn} from 'node:child_process';
import {createWriteStream, WriteStream} from 'node:fs';
import {writeFile} from 'node:fs/promises';
import {fileURLToPath} from 'node:url';
import {withTimeLimit} from '@fuchsiacleat/core';
import {request} from 'undici';
import {deployedFlags} from './deployed_program.js';

const PROGRAM = fileURLToPath(
  import.meta.resolve('@fuchsiacleat/platform/main'),
);

const READY_LIMIT_MS = 1_000;
const OK = 200;

/** Where a host listens, on a loopback address of its own. */
const PORT = {callers: 8080, ready: 8081, peers: 7400} as const;

/** What a host is started with. */
export interface HostOptions {
  name: string;
  zone: string;
  /** Its own address on loopback. */
  address: string;
  /** Port on loopback that leads to the store. */
  storePort: number;
  /** Folder for its settings and its log. */
  folder: string;
  /** Settings beside those, by the platform's names. */
  bounds: Record<string, number>;
  /** Arguments of Node; the built program with the flags of its deployment by default. */
  args?: readonly string[];
}

/** Starts, signals and watches a host; ends no process but its own. */
export class HostProcess {
  /** Exit codes and signals of processes that ended by themselves. */
  readonly ownEnds: string[] = [];
  /** Time until which it counts as disturbed, on the monotonic clock. */
  disturbedUntilMs = 0;
  private child: ChildProcess | undefined;
  private starting: Promise<void> | undefined;
  private isEndExpected = false;
  private hasSpoken = false;
  private log: WriteStream | undefined;

  /** @param options - see {@link HostOptions}. */
  constructor(readonly options: HostOptions) {}

  /** URL for callers. */
  get url(): string {
    return `http://${this.options.address}:${PORT.callers}`;
  }

  /** Whether the process has its handlers of signals, as its first line says. */
  get takesSignals(): boolean {
    return this.child !== undefined && this.hasSpoken;
  }

  /** Id of the process, while it is there. */
  get pid(): number | undefined {
    return this.child?.pid;
  }

  /** Whether the process is there. */
  get isRunning(): boolean {
    return this.child !== undefined;
  }

  /** Writes the settings and starts the process, unless it is there. */
  async start(): Promise<void> {
    if (this.child !== undefined) return;
    // Two faults may bring the host back at once.
    this.starting ??= this.spawn().finally(() => (this.starting = undefined));
    await this.starting;
  }

  private async spawn(): Promise<void> {
    const {folder, name} = this.options;
    const path = `${folder}/${name}.settings`;
    await writeFile(path, this.settingsText());
    this.log ??= createWriteStream(`${folder}/${name}.log`, {flags: 'a'});
    this.isEndExpected = false;
    const args = this.options.args ?? [...(await deployedFlags()), PROGRAM];
    const child = spawn(process.execPath, [...args, path], {
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    this.hasSpoken = false;
    child.stdout.once('data', () => (this.hasSpoken = true));
    child.stdout.pipe(this.log, {end: false});
    child.stderr.pipe(this.log, {end: false});
    child.on('exit', (code, signal) => {
      if (this.child === child) this.child = undefined;
      if (!this.isEndExpected) this.ownEnds.push(`${name} ${code ?? signal}`);
    });
    this.child = child;
  }

  /**
   * @param signal - what to send.
   * @param endsIt - whether the process ends by it.
   */
  signal(signal: NodeJS.Signals, endsIt = false): void {
    if (endsIt) this.isEndExpected = true;
    this.child?.kill(signal);
  }

  /** Ends the process at once, and waits for its end. */
  async kill(): Promise<void> {
    const {child} = this;
    if (child === undefined) return;
    this.signal('SIGKILL', true);
    if (child.exitCode !== null || child.signalCode !== null) return;
    await new Promise(resolve => child.once('exit', resolve));
  }

  /** Ends the process and its log. */
  async dispose(): Promise<void> {
    await this.kill();
    this.log?.end();
  }

  /** @returns whether it says that it is ready. */
  async isReady(): Promise<boolean> {
    try {
      const url = `http://${this.options.address}:${PORT.ready}/readyz`;
      return await withTimeLimit(READY_LIMIT_MS, undefined, async signal => {
        const res = await request(url, {signal});
        await res.body.dump();
        return res.statusCode === OK;
      });
    } catch {
      // No answer in time means not ready, whatever the reason.
      return false;
    }
  }

  private settingsText(): string {
    const {address, bounds, name, storePort, zone} = this.options;
    const lines = [
      `NodeName=${name}`,
      `Zone=${zone}`,
      `Ip=${address}`,
      `InnerPorts=${PORT.peers}`,
      `Listen.Front=${address}:${PORT.callers}`,
      `Listen.Ready=${address}:${PORT.ready}`,
      `Platform.Addr=127.0.0.1:${storePort}`,
      'Limits.CpuShare=1',
      'Limits.LinkMbps=1000',
    ];
    for (const [key, value] of Object.entries(bounds)) {
      lines.push(`Bounds.${key}=${value}`);
    }
    return `${lines.join('\n')}\n`;
  }
}
