/** The whole system in one process: stand-ins and daemons on loopback. @packageDocumentation */

import {Daemon, DaemonDeps, Settings} from '@fuchsiacleat/daemon';
import {
  ConsolaLogger,
  HostStatus,
  Logger,
  RawObject,
  SilentLogger,
  checkDeclarations,
  digestOf,
  formatFault,
} from '@fuchsiacleat/core';
import {
  EngineOptions,
  EngineStandin,
  HostListStandin,
  LogStandin,
  ServiceStandin,
  WeightStoreStandin,
} from '@fuchsiacleat/standins';
import {OperatorClient} from '@fuchsiacleat/cli';
import {Caller} from './caller.js';
import {NetworkPartitions} from './network_partitions.js';
import {PausableClock} from './pausable_clock.js';

/** Operator token of every local cluster. */
export const OPERATOR_TOKEN = 'local-operator-token';

const PEER_SECRET = 'local-cluster-peer-secret';
const GIB = 1024 ** 3;
const ADAPTER_BYTES = 64 * 1024 ** 2;
const POLL_INTERVAL_MS = 10;
const LOOPBACK = '127.0.0.1';

/** Host of a cluster. */
export interface HostSpec {
  name: string;
  zone: string;
}

/** Engine of a cluster. */
export interface EngineSpec extends Partial<EngineOptions> {
  name: string;
  zone: string;
}

/** Options of a {@link LocalCluster}. */
export interface ClusterSpec {
  hosts: HostSpec[];
  engines: EngineSpec[];
  services?: Array<{name: string; zone: string}>;
  /** Weight sizes of model versions in bytes; the default is one GiB. */
  weights?: Record<string, number>;
  /** Dependencies that replace those of every daemon. */
  daemonDeps?: Partial<DaemonDeps>;
  /** Returns dependencies that replace those of one host. */
  depsForHost?: (host: string) => Partial<DaemonDeps>;
  /** Time for which a stopping host still accepts requests, in milliseconds. */
  graceMs?: number;
  /** Retention time of log records, in milliseconds. */
  retentionMs?: number;
  /** Whether links between hosts do without TLS. */
  plainPeers?: boolean;
  /** Whether daemons log to standard error. */
  verbose?: boolean;
}

/** Stand-ins and daemons that are started and stopped together. */
export class LocalCluster {
  readonly log = new LogStandin();
  readonly hostList = new HostListStandin();
  readonly weightStore = new WeightStoreStandin();
  readonly engines = new Map<string, EngineStandin>();
  readonly services = new Map<string, ServiceStandin>();
  readonly daemons = new Map<string, Daemon>();
  /** Clock of each host; a restarted daemon gets the same clock. */
  readonly clocks = new Map<string, PausableClock>();
  /** Network partitions between hosts and from the log. */
  readonly partitions: NetworkPartitions;

  private constructor(private readonly spec: ClusterSpec) {
    this.partitions = new NetworkPartitions(spec.hosts);
    if (spec.retentionMs !== undefined) this.log.setRetention(spec.retentionMs);
    for (const {name} of spec.hosts) this.clocks.set(name, new PausableClock());
  }

  /**
   * Starts the stand-ins, then every daemon.
   *
   * @param spec - see {@link ClusterSpec}.
   */
  static async start(spec: ClusterSpec): Promise<LocalCluster> {
    const cluster = new LocalCluster(spec);
    await cluster.startStandins();
    await Promise.all(spec.hosts.map(host => cluster.startDaemon(host.name)));
    return cluster;
  }

  /**
   * Starts a daemon, or restarts it after a stop or kill.
   *
   * @param name - name of the host.
   * @param seeds - hosts from which the daemon may fetch the configuration.
   */
  async startDaemon(
    name: string,
    seeds: readonly string[] = [],
  ): Promise<Daemon> {
    const hostSpec = this.spec.hosts.find(known => known.name === name)!;
    const daemon = new Daemon(this.settingsOf(hostSpec, seeds), {
      logger: this.loggerOf(name),
      clock: this.clocks.get(name),
      log: this.partitions.logOf(name, this.log.url),
      allowsPeer: peer => this.partitions.canReachPeer(name, peer),
      ...this.spec.daemonDeps,
      ...this.spec.depsForHost?.(name),
    });
    this.daemons.set(name, daemon);
    const started = await daemon.start();
    if (started.isErr()) throw new Error(started.error);
    return daemon;
  }

  /** @returns the daemon of a host. */
  daemon(name: string): Daemon {
    return this.daemons.get(name)!;
  }

  /** @returns the base URL of a host's caller API. */
  callerUrl(name: string): string {
    return `http://${LOOPBACK}:${this.daemon(name).callerPort}`;
  }

  /** @returns a caller that sends requests to a host. */
  caller(name: string): Caller {
    return new Caller(this.callerUrl(name));
  }

  /** @returns the base URL of a host's operator API. */
  operatorUrl(name: string): string {
    return `http://${LOOPBACK}:${this.daemon(name).operatorPort}`;
  }

  /** @returns a client of a host's operator API. */
  operator(name: string): OperatorClient {
    return new OperatorClient(this.operatorUrl(name), OPERATOR_TOKEN);
  }

  /** @returns the declarations of all zones and targets of the cluster. */
  platformObjects(): RawObject[] {
    const zones = new Set(
      [...this.spec.hosts, ...this.spec.engines].map(({zone}) => zone),
    );
    const objects: RawObject[] = [];
    for (const name of zones) objects.push({kind: 'zone', name, fields: {}});
    for (const spec of this.spec.engines) objects.push(this.engineObject(spec));
    for (const {name, zone} of this.spec.services ?? []) {
      const {url} = this.services.get(name)!;
      const fields = {zone, kind: 'service', url};
      objects.push({kind: 'target', name, fields});
    }
    return objects;
  }

  /**
   * Publishes objects on top of the current configuration and waits until every
   * daemon has applied them.
   *
   * @param objects - objects to add or replace.
   * @returns the accepted version.
   */
  async publish(objects: RawObject[]): Promise<number> {
    const {faults} = checkDeclarations(objects);
    const [host] = this.daemons.keys();
    const client = this.operator(host);
    const held = (await client.config())._unsafeUnwrap();
    const verdict = (
      await client.publish({
        type: 'publication',
        base: held.version,
        changes: objects,
        message: 'local cluster',
      })
    )._unsafeUnwrap();
    if (!verdict.accepted) {
      const known = faults.map(formatFault);
      throw new Error([...verdict.reasons, ...known].join('; '));
    }
    await this.awaitVersion(verdict.version);
    await this.awaitRemoteHosts();
    return verdict.version;
  }

  /** Waits until every daemon has at least a configuration version. */
  awaitVersion(version: number): Promise<void> {
    return this.awaitStatus(status => status.configVersion >= version);
  }

  /** Waits until every daemon lists the hosts of all other zones. */
  awaitRemoteHosts(): Promise<void> {
    return this.awaitStatus(({zone, remoteHosts}) =>
      this.spec.hosts.every(
        host => host.zone === zone || remoteHosts.includes(host.name),
      ),
    );
  }

  /** Waits until a condition holds; the test's timeout limits the wait. */
  async until(condition: () => boolean | Promise<boolean>): Promise<void> {
    while (!(await condition())) {
      await new Promise(resolve => setTimeout(resolve, POLL_INTERVAL_MS));
    }
  }

  /** Waits until the status of every daemon satisfies a condition. */
  async awaitStatus(condition: (status: HostStatus) => boolean): Promise<void> {
    for (const name of this.daemons.keys()) {
      await this.until(async () => {
        const status = await this.operator(name).status();
        return status.isOk() && condition(status.value);
      });
    }
  }

  /** Stops the daemons gracefully, then the stand-ins. */
  async stop(): Promise<void> {
    await Promise.all([...this.daemons.values()].map(d => d.stop()));
    await this.stopStandins();
  }

  /** Kills the daemons, then stops the stand-ins. */
  async kill(): Promise<void> {
    for (const daemon of this.daemons.values()) daemon.kill();
    await this.stopStandins();
  }

  private async startStandins(): Promise<void> {
    await this.log.start();
    await this.hostList.start();
    const weightStore = await this.weightStore.start();
    for (const spec of this.spec.engines) {
      const engine = new EngineStandin({
        memoryBytes: 80 * GIB,
        weightStore,
        weightBytesOf: version => this.spec.weights?.[version] ?? GIB,
        adapterBytesOf: () => ADAPTER_BYTES,
        ...spec,
      });
      await engine.start();
      this.engines.set(spec.name, engine);
    }
    for (const {name} of this.spec.services ?? []) {
      const service = new ServiceStandin();
      await service.start();
      this.services.set(name, service);
    }
    for (const {name, zone} of this.spec.hosts) {
      this.hostList.set({name, zone, state: 'live'});
    }
  }

  private async stopStandins(): Promise<void> {
    const standins = [
      this.log,
      this.hostList,
      this.weightStore,
      ...this.engines.values(),
      ...this.services.values(),
    ];
    await Promise.all(standins.map(standin => standin.stop()));
  }

  private engineObject(spec: EngineSpec): RawObject {
    const {name, zone, slots = 8, fencing = true} = spec;
    const {url, memory} = this.engines.get(name)!;
    const fields = {
      zone,
      url,
      kind: 'engine',
      memory: `${memory.totalBytes / GIB}GiB`,
      slots: String(slots),
      fencing: fencing ? 'yes' : 'no',
    };
    return {kind: 'target', name, fields};
  }

  private settingsOf({name, zone}: HostSpec, seeds: readonly string[]) {
    const anyPort = {address: LOOPBACK, port: 0};
    const addresses = seeds.map(seed => ({
      address: LOOPBACK,
      port: this.daemon(seed).peerPort,
    }));
    return {
      host: {name, zone},
      listen: {caller: anyPort, operator: anyPort, peer: anyPort},
      platform: {
        log: this.log.url,
        host_list: this.hostList.url,
        log_retention: this.spec.retentionMs,
      },
      peers: {
        ...(this.spec.plainPeers
          ? {plain: true}
          : {secret: PEER_SECRET, plain: false}),
        seeds: seeds.length === 0 ? undefined : addresses,
      },
      operators: {token_digest: digestOf(OPERATOR_TOKEN)},
      limits: {body_bytes: 1024 * 1024, connections: 4_096},
      shutdown: {grace_ms: this.spec.graceMs ?? 0},
      log: {level: 'info'},
    } satisfies Settings;
  }

  private loggerOf(host: string): Logger {
    if (this.spec.verbose) return new ConsolaLogger('info', {host});
    return new SilentLogger();
  }
}
