/** Runs one host as a child process. @packageDocumentation */

import {ChildProcess, spawn} from 'node:child_process';
import {createWriteStream, WriteStream} from 'node:fs';
import {writeFile} from 'node:fs/promises';
import {withTimeout} from '@fuchsiacleat/core';
import {request} from 'undici';
import {ownDeployedArgs} from './deployed_program.js';

const READY_TIMEOUT_MS = 1_000;
const OK = 200;

/** Ports of a host; each host has its own loopback address. */
const PORT = {
  callers: 8080,
  ready: 8081,
  peers: 7400,
  metrics: 9464,
} as const;

/** Options of a {@link HostProcess}. */
export interface HostOptions {
  name: string;
  zone: string;
  /** Loopback address of the host. */
  address: string;
  /** Loopback port that forwards to the store. */
  storePort: number;
  /** Folder for the settings file and the log. */
  folder: string;
  /** Further settings, by their names without the prefix `Bounds.`. */
  bounds: Record<string, number>;
  /** Settings that describe the machine, by their names without `Limits.`. */
  machine?: Record<string, number>;
  /** Node.js arguments; by default those of {@link ownDeployedArgs}. */
  args?: readonly string[];
}

/** Starts, signals and monitors a host process; never ends any other process. */
export class HostProcess {
  /** Exit codes and signals of unexpected process exits. */
  readonly unexpectedExits: string[] = [];
  /** Times at which its processes were killed or exited, on the monotonic clock. */
  readonly endsMs: number[] = [];
  /** Time until which the host counts as disturbed, on the monotonic clock. */
  disturbedUntilMs = 0;
  /** Node.js arguments of the next start; see {@link HostOptions.args}. */
  args: readonly string[] | undefined;
  private child: ChildProcess | undefined;
  private starting: Promise<void> | undefined;
  private isExitExpected = false;
  private hasOutput = false;
  private log: WriteStream | undefined;

  /** @param options - see {@link HostOptions}. */
  constructor(readonly options: HostOptions) {
    this.args = options.args;
  }

  /** URL for callers. */
  get url(): string {
    return `http://${this.options.address}:${PORT.callers}`;
  }

  /** URL of the readiness endpoint. */
  get readyUrl(): string {
    return `http://${this.options.address}:${PORT.ready}`;
  }

  /** URL of the metrics endpoint. */
  get metricsUrl(): string {
    return `http://${this.options.address}:${PORT.metrics}`;
  }

  /** Address for links of other hosts, as a URL. */
  get peersUrl(): string {
    return `http://${this.options.address}:${PORT.peers}`;
  }

  /** Whether the process has installed its signal handlers: it does so before its first output. */
  get canHandleSignals(): boolean {
    return this.child !== undefined && this.hasOutput;
  }

  /** Process id, while the process runs. */
  get pid(): number | undefined {
    return this.child?.pid;
  }

  /** Whether the process runs. */
  get isRunning(): boolean {
    return this.child !== undefined;
  }

  /** Writes the settings file and starts the process, unless it runs already. */
  async start(): Promise<void> {
    if (this.child !== undefined) return;
    // Two overlapping faults may restart the host at the same time.
    this.starting ??= this.spawn().finally(() => (this.starting = undefined));
    await this.starting;
  }

  private async spawn(): Promise<void> {
    const {folder, name} = this.options;
    const path = `${folder}/${name}.settings`;
    await writeFile(path, this.settingsText());
    this.log ??= createWriteStream(`${folder}/${name}.log`, {flags: 'a'});
    this.isExitExpected = false;
    const args = this.args ?? (await ownDeployedArgs());
    const child = spawn(process.execPath, [...args, path], {
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    this.hasOutput = false;
    child.stdout.once('data', () => (this.hasOutput = true));
    child.stdout.pipe(this.log, {end: false});
    child.stderr.pipe(this.log, {end: false});
    child.on('exit', (code, signal) => {
      this.endsMs.push(performance.now());
      if (this.child === child) this.child = undefined;
      if (!this.isExitExpected)
        this.unexpectedExits.push(`${name} ${code ?? signal}`);
    });
    this.child = child;
  }

  /**
   * @param signal - signal to send.
   * @param shouldExit - whether the process is expected to exit.
   */
  signal(signal: NodeJS.Signals, shouldExit = false): void {
    if (shouldExit) this.isExitExpected = true;
    this.child?.kill(signal);
  }

  /** Kills the process and waits for its exit. */
  async kill(): Promise<void> {
    const {child} = this;
    if (child === undefined) return;
    this.endsMs.push(performance.now());
    this.signal('SIGKILL', true);
    if (child.exitCode !== null || child.signalCode !== null) return;
    await new Promise(resolve => child.once('exit', resolve));
  }

  /** Kills the process and closes its log. */
  async dispose(): Promise<void> {
    await this.kill();
    this.log?.end();
  }

  /** @returns whether the host reports that it is ready. */
  async isReady(): Promise<boolean> {
    try {
      const url = `${this.readyUrl}/readyz`;
      return await withTimeout(READY_TIMEOUT_MS, undefined, async signal => {
        const res = await request(url, {signal});
        await res.body.dump();
        return res.statusCode === OK;
      });
    } catch {
      // A host that does not respond in time is not ready.
      return false;
    }
  }

  private settingsText(): string {
    const {address, bounds, machine = {}, name, storePort, zone} = this.options;
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
    for (const [key, value] of Object.entries(machine))
      lines.push(`Limits.${key}=${value}`);
    for (const [key, value] of Object.entries(bounds)) {
      lines.push(`Bounds.${key}=${value}`);
    }
    return `${lines.join('\n')}\n`;
  }
}
