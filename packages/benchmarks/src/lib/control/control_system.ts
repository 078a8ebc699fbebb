/** Runs idle entry hosts, each in a process of its own. @packageDocumentation */

import {setTimeout as sleep} from 'node:timers/promises';
import {OperatorClient} from '@fuchsiacleat/cli';
import {HostStatus, RawObject} from '@fuchsiacleat/core';
import {HostListStandin, LogStandin} from '@fuchsiacleat/standins';
import {DaemonProcess, OPERATOR_TOKEN} from '../path/daemon_process.js';
import {Rate, medianRate, readUsage} from './usage.js';

const POLL_INTERVAL_MS = 100;

/** Time for which processes compile code and collect garbage after their start. */
const SETTLE_MS = 25_000;
const WINDOW_MS = 5_000;
const WINDOWS = 4;
const OBJECTS_PER_PUBLICATION = 2_000;

/** Numbers of zones and hosts, and the declared objects. */
export interface ControlShape {
  zones: number;
  hostsPerZone: number;
  objects?: RawObject[];
}

/** Resource use of a host, averaged over the hosts of each role. */
export interface ControlRates {
  member: Rate;
  controller: Rate;
}

interface Host {
  name: string;
  zone: string;
  process: DaemonProcess;
}

/** A system of hosts that serves no requests. */
export class ControlSystem {
  private readonly log = new LogStandin();
  private readonly hostList = new HostListStandin({lagMs: 0});
  private readonly hosts: Host[] = [];

  private constructor(private readonly shape: ControlShape) {}

  /**
   * Starts a system, measures the resource use of its hosts and stops it.
   *
   * @param shape - numbers of hosts and objects.
   */
  static async measure(shape: ControlShape): Promise<ControlRates> {
    const system = new ControlSystem(shape);
    try {
      await system.start();
      await system.publish(shape.objects ?? []);
      await sleep(SETTLE_MS);
      return await system.measureWindow();
    } finally {
      await system.stop();
    }
  }

  private async start(): Promise<void> {
    const log = await this.log.start();
    const hostList = await this.hostList.start();
    const {zones, hostsPerZone} = this.shape;
    const starts = [];
    for (let z = 0; z < zones; z++) {
      for (let h = 0; h < hostsPerZone; h++) {
        const zone = `zone-${z}`;
        const name = `${zone}-${h}`;
        this.hostList.set({name, zone, state: 'live'});
        const platform = {log, hostList, weightStore: ''};
        const started = DaemonProcess.start(platform, {name, zone});
        starts.push(
          started.then(process => this.hosts.push({name, zone, process})),
        );
      }
    }
    await Promise.all(starts);
    await this.awaitStatus(
      ({peers, leaseHolder, remoteHosts}) =>
        leaseHolder !== null &&
        peers.length >= hostsPerZone - 1 &&
        remoteHosts.length === (zones - 1) * hostsPerZone,
    );
  }

  private async publish(objects: readonly RawObject[]): Promise<void> {
    const client = this.client(this.hosts[0]);
    const zones = [...new Set(this.hosts.map(({zone}) => zone))];
    const all = [
      ...zones.map(name => ({kind: 'zone' as const, name, fields: {}})),
      ...objects,
    ];
    let version = 0;
    while (all.length > 0) {
      const verdict = await client.publish({
        type: 'publication',
        base: version,
        changes: all.splice(0, OBJECTS_PER_PUBLICATION),
        message: 'benchmark',
      });
      if (verdict.isErr() || !verdict.value.accepted) {
        throw new Error(`publication was rejected: ${JSON.stringify(verdict)}`);
      }
      version = verdict.value.version;
    }
    await this.awaitStatus(status => status.configVersion >= version);
  }

  private async measureWindow(): Promise<ControlRates> {
    const holders = await this.controllers();
    const readings = [await this.readAll()];
    for (let window = 0; window < WINDOWS; window++) {
      await sleep(WINDOW_MS);
      readings.push(await this.readAll());
    }
    const rates = this.hosts.map(({name}, i) => ({
      name,
      rate: medianRate(readings.map(reading => reading[i])),
    }));
    const controllers = rates.filter(({name}) => holders.has(name));
    const members = rates.filter(({name}) => !holders.has(name));
    const controller = meanOf(controllers.map(({rate}) => rate));
    const member =
      members.length === 0 ? controller : meanOf(members.map(({rate}) => rate));
    return {member, controller};
  }

  private async controllers(): Promise<Set<string>> {
    const statuses = await Promise.all(
      this.hosts.map(host => this.client(host).status()),
    );
    return new Set(
      statuses.map(status => status._unsafeUnwrap().leaseHolder ?? ''),
    );
  }

  private readAll() {
    return Promise.all(this.hosts.map(({process}) => readUsage(process.pid)));
  }

  private client({process}: Host): OperatorClient {
    return new OperatorClient(process.operatorUrl, OPERATOR_TOKEN);
  }

  private async awaitStatus(
    condition: (status: HostStatus) => boolean,
  ): Promise<void> {
    for (const host of this.hosts) {
      for (;;) {
        const status = await this.client(host).status();
        if (status.isOk() && condition(status.value)) break;
        await sleep(POLL_INTERVAL_MS);
      }
    }
  }

  private async stop(): Promise<void> {
    await Promise.all(this.hosts.map(({process}) => process.stop()));
    await Promise.all([this.log.stop(), this.hostList.stop()]);
  }
}

function meanOf(rates: readonly Rate[]): Rate {
  const mean = (value: (rate: Rate) => number) =>
    rates.reduce((sum, rate) => sum + value(rate), 0) / rates.length;
  return {
    bytesPerSecond: mean(rate => rate.bytesPerSecond),
    cpuPercent: mean(rate => rate.cpuPercent),
    residentBytes: mean(rate => rate.residentBytes),
  };
}
