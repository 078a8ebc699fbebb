/** Starts the program with the `run` line of the deploy file. */

import {spawn} from 'node:child_process';
import {readFileSync, writeFileSync} from 'node:fs';
import {request} from 'node:http';

const READY_POLL_MS = 100;
const root = new URL('../../', import.meta.url).pathname;

/** Words of the `run` line. */
function runLine() {
  const text = readFileSync(`${root}deploy/system.toml`, 'utf8');
  return /^run = "(.*)"$/m.exec(text)[1].split(' ');
}

/** Bounds of the installations on the users' pages. */
const BOUNDS = {
  SeedLagS: 3,
  ReuseAfterS: 2,
  TouchMs: 3000,
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
  RequireFence: false,
  LeaseMs: 3000,
  ThawSlackMs: 300,
};

/** One host with a loopback address of its own. */
export class Host {
  constructor({name, zone, address, storePort, folder}) {
    Object.assign(this, {name, zone, address, storePort, folder});
  }

  start() {
    const {address, folder, name, storePort, zone} = this;
    const lines = [
      `NodeName=${name}`,
      'Role=fuchsiacleatd',
      'MachineClass=front',
      'Serves=front',
      `Ip=${address}`,
      `Zone=${zone}`,
      'Region=region-1',
      `Listen.Front=${address}:8221`,
      `Listen.Ready=${address}:8224`,
      'InnerPorts=7600,7615',
      'Bootstrap=true',
      'Limits.CpuShare=1',
      'Limits.Cores=1',
      'Limits.MemoryMb=350',
      'Limits.MaxFds=4100',
      'Limits.LinkMbps=1000.0',
      'Limits.DiskMb=0',
      `Platform.Addr=127.0.0.1:${storePort}`,
      'Platform.form=log',
      ...Object.entries(BOUNDS).map(([key, value]) => `Bounds.${key}=${value}`),
    ];
    const settings = `${folder}/${name}.settings`;
    writeFileSync(settings, `${lines.join('\n')}\n`);
    const [program, ...words] = runLine();
    this.child = spawn(program, words, {
      cwd: root,
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME,
        FUCHSIACLEAT_SETTINGS: settings,
      },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const log = [];
    this.log = log;
    this.child.stdout.on('data', chunk => log.push(chunk.toString()));
    this.child.stderr.on('data', chunk => log.push(chunk.toString()));
    this.ended = new Promise(resolve =>
      this.child.once('exit', (code, signal) => resolve(signal ?? code)),
    );
  }

  /** Sends a signal to the process that this object has started. */
  signal(name) {
    this.child.kill(name);
  }

  async untilReady(timeoutMs) {
    const endMs = performance.now() + timeoutMs;
    while (performance.now() < endMs) {
      if ((await this.#readyStatus()) === 200) return true;
      await new Promise(resolve => setTimeout(resolve, READY_POLL_MS));
    }
    return false;
  }

  #readyStatus() {
    return new Promise(resolve => {
      const options = {host: this.address, port: 8224, path: '/readyz'};
      const req = request({...options, agent: false}, res => {
        res.resume();
        resolve(res.statusCode);
      });
      req.setTimeout(1_000, () => req.destroy());
      req.on('error', () => resolve(undefined));
      req.end();
    });
  }
}
