/** Small deployment on the platform stand-ins. @packageDocumentation */

import {DEFAULT_COLD_BOUNDS} from '@fuchsiacleat/core/gateway';
import {createServer, AddressInfo} from 'node:net';
import {
  PlatformStoreStandin,
  PlatformWorkerStandin,
} from '@fuchsiacleat/standins';
import {Client} from 'undici';
import {
  DialAddress,
  GatewayHost,
  PlatformSettings,
} from '@fuchsiacleat/platform';
import {loopbackAddress, nextDeployment} from './loopback_address.js';

/** API key of the only team. */
export const TEAM_KEY = 'key-1';

/** Path prefixes of the routes, by kind. */
export const ROUTE_PATH = {
  once: '/once/',
  repeatable: '/repeatable/',
  stream: '/stream/',
  resumable: '/resumable/',
} as const;

/** Names of the services. */
export const SERVICE = {engines: 'engines', plain: 'registry'} as const;

const ENGINES = SERVICE.engines;
const PLAIN = SERVICE.plain;

/** Time by which the registration of an ended process ends as well. */
const REGISTRATION_LIFETIME_MS = 5_000;

/** Host name that callers use. */
export const HOST_NAME = 'desk.example';
const POLL_MS = 20;

/** Store topics that the operator and the workers write to. */
export const STORE_TOPIC = {
  operator: 'keyed.op',
  targets: 'keyed.servers',
} as const;

/** Response as a caller sees it. */
export interface CallerResponse {
  status: number;
  headers: Record<string, string | string[] | undefined>;
  body: string;
}

/** Team in the operator's configuration. */
export interface PlatformTeam {
  Name: string;
  ApiKeys: string[];
  Unit?: 'tokens';
  PlainTokens?: number;
  PerS?: number;
  Burst?: number;
}

/** Properties of the routes. */
export interface RouteOptions {
  /** Time limit of requests, in milliseconds. */
  timeoutMs: number;
  /** Latency objective of resumable streams, in milliseconds. */
  resumableObjectiveMs: number;
  /** Time for which callers may be idle, in milliseconds. */
  idleTimeoutMs?: number;
  /** What the plain service declares about cold workers. */
  coldPlain?: {ColdS: number; ColdPerS: number};
}

const DEFAULT_ROUTES: RouteOptions = {
  timeoutMs: 3_000,
  resumableObjectiveMs: 500,
};

const DEFAULT_MODELS = ['m1', 'm2'];

/**
 * Returns an operator's configuration with four routes and two services.
 *
 * @param version - version of the configuration.
 * @param teams - teams with their API keys.
 * @param options - see {@link RouteOptions}.
 * @param models - models of the engines' service.
 * @returns the configuration.
 */
export function platformConfig(
  version: number,
  teams: PlatformTeam[],
  options = DEFAULT_ROUTES,
  models: readonly string[] = DEFAULT_MODELS,
): object {
  const {idleTimeoutMs: IdleTimeoutMs} = options;
  const route = (name: string, prefix: string, kind: string, to: string) => ({
    Name: name,
    Host: HOST_NAME,
    PathPrefix: prefix,
    Kind: kind,
    TimeoutMs: options.timeoutMs,
    TargetLatencyMs: 500,
    Priority: 1,
    Service: to,
    MaxAttempts: 2,
    Public: false,
    Resumable: false,
  });
  const model = (name: string) => ({
    Name: name,
    WeightsMb: 70,
    LoadTimeS: 0.05,
    Adapters: 0,
    AdapterMb: 1,
  });
  return {
    Version: version,
    Routes: [
      route('once', ROUTE_PATH.once, 'non_idempotent', PLAIN),
      route('repeatable', ROUTE_PATH.repeatable, 'idempotent', PLAIN),
      route('stream', ROUTE_PATH.stream, 'streaming', ENGINES),
      {
        ...route('resumable', ROUTE_PATH.resumable, 'streaming', ENGINES),
        TargetLatencyMs: options.resumableObjectiveMs,
        Resumable: true,
      },
    ],
    Services: [
      {
        Name: PLAIN,
        HealthPath: '/healthz',
        Protocol: 'h1',
        MaxConns: 100,
        ...options.coldPlain,
      },
      {
        Name: ENGINES,
        HealthPath: '/healthz',
        MaxConns: 100,
        Engine: {
          Slots: 8,
          Models: models.map(model),
          WeightsMb: 100,
          AdapterSlots: 2,
          LoadsPerS: 20,
        },
      },
    ],
    Tenants: teams,
    ...(IdleTimeoutMs === undefined ? {} : {Limits: {IdleTimeoutMs}}),
  };
}

/** Number of workers of the plain service by default. */
const DEFAULT_PLAIN_COUNT = 2;

/** Options of a {@link PlatformWorld}. */
export interface WorldOptions {
  /** Number of workers of the plain service. */
  plainCount?: number;
  /** Zones of the workers of the plain service; `a` by default. */
  plainZones?: readonly string[];
  routes?: Partial<RouteOptions>;
  /** Retries that the budget allows beyond its share of the requests. */
  retrySlack?: number;
  /** Time after its start in which a host is granted them, in milliseconds. */
  retryWindowMs?: number;
  /** Zones of the hosts; `a` by default. */
  hostZones?: readonly string[];
  /**
   * Where a host connects to for a target, by the number of the host; at the
   * registered address by default.
   */
  dialAddress?: (host: number) => DialAddress | undefined;
  /** Called when the workers listen, before they register. */
  prepare?: (world: PlatformWorld) => Promise<void>;
}

/** Store, plain workers, engine workers, and gateway hosts. */
export class PlatformWorld {
  readonly store = new PlatformStoreStandin();
  readonly plain: readonly PlatformWorkerStandin[];
  readonly engines: readonly PlatformWorkerStandin[];
  readonly hosts: GatewayHost[] = [];
  /** Engine workers whose registrations have ended. */
  readonly goneEngines = new Set<PlatformWorkerStandin>();
  /** Log lines of all hosts. */
  readonly lines: string[] = [];
  private readonly settings: PlatformSettings[] = [];
  private clients: Client[] = [];
  private readonly number = nextDeployment();
  private version = 1;
  private requestCount = 0;

  private constructor(
    engineCount: number,
    private readonly options: WorldOptions,
  ) {
    this.plain = Array.from(
      {length: options.plainCount ?? DEFAULT_PLAIN_COUNT},
      (unusedItem, i) =>
        new PlatformWorkerStandin({
          id: `p${i + 1}`,
          service: PLAIN,
          zone: options.plainZones?.[i] ?? 'a',
        }),
    );
    this.engines = Array.from(
      {length: engineCount},
      (unusedItem, i) =>
        new PlatformWorkerStandin({
          id: `e${i + 1}`,
          service: ENGINES,
          zone: 'a',
          models: ['m1'],
        }),
    );
  }

  /** The first engine worker. */
  get engine(): PlatformWorkerStandin {
    return this.engines[0];
  }

  /** @returns a deployment whose hosts are all ready. */
  static async start(
    hostCount = 1,
    engineCount = 1,
    options: WorldOptions = {},
  ): Promise<PlatformWorld> {
    const world = new PlatformWorld(engineCount, options);
    await world.store.start();
    for (const worker of world.workers) await worker.start();
    await options.prepare?.(world);
    world.registerTargets();
    world.publish([TEAM_KEY]);
    for (let i = 0; i < hostCount; i++) await world.startHost();
    await world.until(() => world.hosts.every(host => host.isReady));
    return world;
  }

  /** All workers. */
  get workers(): PlatformWorkerStandin[] {
    return [...this.plain, ...this.engines];
  }

  /** Stops the hosts, the workers and the store. */
  async stop(): Promise<void> {
    for (const client of this.clients) await client.destroy();
    for (const host of this.hosts) host.terminate();
    for (const worker of this.workers) await worker.stop();
    await this.store.stop();
  }

  /** Returns the base URL of a host's caller API. */
  callerUrl(host = 0): string {
    const {address, port} = this.settings[host].callers;
    return `http://${address}:${port}`;
  }

  /** Publishes a configuration with the given API keys. */
  publish(keys: string[]): void {
    const teams = [{Name: 'team', ApiKeys: keys}];
    const routes = {...DEFAULT_ROUTES, ...this.options.routes};
    const config = platformConfig(this.version++, teams, routes);
    this.store.put(STORE_TOPIC.operator, 'config', config);
  }

  /** Writes the registrations of the workers to the store. */
  registerTargets(state = 'ready'): void {
    for (const [i, worker] of this.plain.entries()) {
      const id = `p${i + 1}`;
      this.store.put(STORE_TOPIC.targets, id, worker.registration(state));
    }
    for (const [i, engine] of this.engines.entries()) {
      if (this.goneEngines.has(engine)) continue;
      const id = `e${i + 1}`;
      this.store.put(STORE_TOPIC.targets, id, engine.registration());
    }
  }

  /** Ends the registration of an engine worker and the worker itself. */
  async removeEngine(engine: PlatformWorkerStandin): Promise<void> {
    this.goneEngines.add(engine);
    const id = `e${this.engines.indexOf(engine) + 1}`;
    this.store.put(STORE_TOPIC.targets, id, undefined);
    await engine.stop();
  }

  /** Sends a request to a host on a new connection. */
  async call(
    path: string,
    {host = 0, headers = {}, body = 'x', id = ''} = {},
  ): Promise<CallerResponse> {
    const client = new Client(this.callerUrl(host));
    this.clients.push(client);
    const res = await client.request({
      method: 'POST',
      path,
      body,
      headers: {
        host: HOST_NAME,
        'x-fuchsiacleat-attempt-id': id || `req-${this.requestCount++}`,
        'x-fuchsiacleat-deadline-ms': '3000',
        'x-fuchsiacleat-key': TEAM_KEY,
        ...headers,
      },
    });
    const text = await res.body.text();
    return {status: res.statusCode, headers: res.headers, body: text};
  }

  /** Waits until a condition holds. */
  async until(condition: () => boolean): Promise<void> {
    while (!condition()) await new Promise(done => setTimeout(done, POLL_MS));
  }

  /** Returns how often the workers ran the request with an id. */
  countRuns(id: string): number {
    return this.workers.flatMap(({runs}) => runs).filter(run => run.id === id)
      .length;
  }

  /** Kills every host and restarts it at the same address. */
  async restartHosts(): Promise<void> {
    const settings = this.settings.splice(0);
    for (const host of this.hosts.splice(0)) host.terminate();
    for (const each of settings)
      await this.startHostAt({...each, isFirstStart: false});
  }

  private async startHost(): Promise<void> {
    const address = loopbackAddress(this.number, this.hosts.length);
    const ports = await freePorts(address, 5);
    const [callers, ready, peers, tunnels, metrics] = ports.map(port => ({
      address,
      port,
    }));
    const url = new URL(this.store.url);
    const settings: PlatformSettings = {
      machine: {memoryMb: undefined, maxDescriptors: undefined},
      hostName: `host-${this.hosts.length}`,
      zone: this.options.hostZones?.[this.hosts.length] ?? 'a',
      callers,
      ready,
      peers,
      tunnels,
      metrics,
      store: {address: url.hostname, port: Number(url.port)},
      cpuShare: 0.9,
      linkMbps: 1_000,
      updateLifetimeMs: 2_000,
      registrationLifetimeMs: REGISTRATION_LIFETIME_MS,
      keyWithdrawalMs: 5_000,
      stopGraceMs: 4_000,
      orderGapMs: 50,
      retriesPerRequest: 0.2,
      retrySlack: this.options.retrySlack ?? 50,
      retryWindowMs: this.options.retryWindowMs ?? 10_000,
      quotaWindowMs: 8_000,
      quotaOverage: 0.1,
      quotaSlackTokens: 1_000,
      coldBounds: DEFAULT_COLD_BOUNDS,
      isFirstStart: true,
      hasWorkModel: false,
      plansByWork: false,
      hasRateQueue: false,
    };
    await this.startHostAt(settings);
  }

  private async startHostAt(settings: PlatformSettings): Promise<void> {
    this.settings.push(settings);
    const host = new GatewayHost(
      settings,
      {write: line => this.lines.push(line)},
      this.options.dialAddress?.(this.hosts.length),
    );
    this.hosts.push(host);
    await host.start();
  }
}

/** @returns distinct ports of an address on which nothing listens. */
async function freePorts(address: string, count: number): Promise<number[]> {
  const servers = Array.from({length: count}, () => createServer());
  for (const server of servers)
    await new Promise<void>(resolve => server.listen(0, address, resolve));
  const ports = servers.map(server => (server.address() as AddressInfo).port);
  for (const server of servers)
    await new Promise(resolve => server.close(resolve));
  return ports;
}
