/** Composition root of an entry host: creates and connects all components. @packageDocumentation */

import {randomBytes} from 'node:crypto';
import {setMaxListeners} from 'node:events';
import {
  BatchingPlatformLog,
  Clock,
  ConfigStore,
  HostStatus,
  HttpPlatformLog,
  Intake,
  LeaseAuthority,
  Logger,
  Member,
  Metrics,
  PeerIdentity,
  PlatformLog,
  Random,
  RecordIdGenerator,
  RequestQueue,
  SystemClock,
  TargetClients,
  Tracing,
  createIntake,
} from '@fuchsiacleat/core';
import {Result, err, ok} from 'neverthrow';
import {createCallerApi} from './caller_api.js';
import {CompletionHandler} from './completion_handler.js';
import {ConfigComponents} from './config_components.js';
import {HttpListener} from './http_listener.js';
import {createOperatorApi, toKnownHosts} from './operator_api.js';
import {RequestComponents} from './request_components.js';
import {PlacementComponents} from './placement_components.js';
import {RequestGate} from './request_gate.js';
import {ServiceHandler} from './service_handler.js';
import {Settings} from './settings.js';
import {createTracing} from './span_export.js';
import {ZoneComponents} from './zone_components.js';
import {TokenLimitComponents} from './token_limit_components.js';

const MAX_OPERATOR_CONNECTIONS = 64;

/** Memory of the daemon at rest, and of what it copies, in megabytes. */
const RESERVED_MB = 200;

/** Dependencies of a {@link Daemon}; tests substitute some of them. */
export interface DaemonDeps {
  logger: Logger;
  tracing?: Tracing;
  clock?: Clock;
  log?: PlatformLog;
  /** Returns whether a peer link with a host is allowed; by default all are. */
  allowsPeer?: (host: string) => boolean;
  seed?: number;
}

/** An entry host: serves callers, operators and other hosts. */
export class Daemon {
  private readonly lifetime = new AbortController();
  private readonly clock: Clock;
  private readonly ids: RecordIdGenerator;
  private readonly log: PlatformLog;
  private readonly self: PeerIdentity;
  private readonly metrics = new Metrics();
  private readonly tracing: Tracing;
  private readonly config: ConfigStore;
  private readonly configComponents: ConfigComponents;
  private readonly zoneComponents: ZoneComponents;
  private readonly placement: PlacementComponents;
  private readonly queue: RequestQueue;
  private readonly tokenLimitComponents: TokenLimitComponents;
  private readonly requestComponents: RequestComponents;
  private readonly targets: TargetClients;
  private readonly gate: RequestGate;
  private readonly intake: Intake;
  private caller: HttpListener | undefined;
  private operator: HttpListener | undefined;
  private shutdownPromise: Promise<void> | undefined;

  /**
   * Creates the components of the host; {@link Daemon.start} starts them.
   *
   * @param settings - validated settings.
   * @param deps - see {@link DaemonDeps}.
   */
  constructor(
    private readonly settings: Settings,
    private readonly deps: DaemonDeps,
  ) {
    const {logger} = deps;
    // Every background task adds an abort listener, so the default limit on
    // listeners doesn't apply.
    setMaxListeners(0, this.lifetime.signal);
    const {name, zone} = settings.host;
    const clock = deps.clock ?? new SystemClock();
    this.clock = clock;
    const incarnation = `${name}.${randomBytes(8).toString('hex')}`;
    this.self = {host: name, zone, incarnation};
    this.ids = new RecordIdGenerator(incarnation);
    const unbatchedLog = deps.log ?? new HttpPlatformLog(settings.platform.log);
    this.log = new BatchingPlatformLog(unbatchedLog, clock);
    const {otlp} = settings.tracing ?? {};
    this.tracing = deps.tracing ?? createTracing(otlp, logger);
    const {self, ids, log, metrics, tracing} = this;
    const random = new Random(deps.seed ?? randomBytes(4).readInt32LE());
    this.config = new ConfigStore({
      log,
      clock,
      logger,
      metrics,
      ids,
      random,
      retentionMs: settings.platform.log_retention,
    });
    const config = this.config.state;
    const {allowsPeer} = deps;
    this.zoneComponents = new ZoneComponents({
      settings,
      self,
      log,
      clock,
      logger,
      ids,
      random,
      allowsPeer,
    });
    const {network, membership, zones} = this.zoneComponents;
    this.configComponents = new ConfigComponents({
      store: this.config,
      network,
      clock,
      logger,
      random,
      seeds: settings.peers.seeds,
      members: membership.members,
      zones,
    });
    this.targets = new TargetClients(config);
    this.placement = new PlacementComponents({
      ...{config, membership, network, metrics, zones},
      ...{clock, logger, ids, random, targets: this.targets},
    });
    const {directory, client: placement, router, engineOf} = this.placement;
    const weightOf = (team: string) =>
      config.declared.get('team', team)?.weight ?? 1;
    this.queue = new RequestQueue({clock, directory, placement, weightOf});
    const {queue} = this;
    this.tokenLimitComponents = new TokenLimitComponents({
      config: this.config,
      membership,
      zones,
      network,
      clock,
    });
    const {limiter} = this.tokenLimitComponents;
    this.requestComponents = new RequestComponents({
      zone,
      config,
      limiter,
      queue,
      router,
      network,
      targets: this.targets,
      engineOf,
      log,
      ids,
      retentionMs: settings.platform.log_retention,
      tracing,
      clock,
      logger,
      signal: this.lifetime.signal,
    });
    this.intake = createIntake({
      clock,
      logger,
      machine: {
        memoryMb: settings.limits.memory_mb,
        maxDescriptors: undefined,
        reservedMb: RESERVED_MB,
      },
      onRefused: (reason, number) =>
        metrics.intakeRefusals.inc({reason}, number),
    });
    this.gate = new RequestGate({
      config: this.config,
      clock,
      tracing,
      metrics,
      logger,
    });
  }

  /** Port of the caller API. */
  get callerPort(): number {
    return this.caller!.port;
  }

  /** Port of the operator API. */
  get operatorPort(): number {
    return this.operator!.port;
  }

  /** The zone lease, which determines whether this host may send orders. */
  get authority(): LeaseAuthority {
    return this.zoneComponents.membership.lease;
  }

  /** Port for links from other hosts. */
  get peerPort(): number {
    return this.zoneComponents.network.port;
  }

  /** Version of the configuration in force on this host. */
  get configVersion(): number {
    return this.config.state.version;
  }

  /** Number of requests forwarded from other zones that run on this host. */
  get forwardedRequests(): number {
    return this.requestComponents.forwardedRequests;
  }

  /** Resolves once the daemon has stopped. */
  get whenStopped(): Promise<void> {
    return new Promise(resolve =>
      this.lifetime.signal.addEventListener('abort', () => resolve()),
    );
  }

  /**
   * Starts the host: listens for peers and operators, reads the
   * configuration, joins the zone and then serves callers.
   *
   * @returns nothing, or why the host could not start.
   */
  async start(): Promise<Result<void, string>> {
    const {signal} = this.lifetime;
    const {listen} = this.settings;
    const peerPort = await this.zoneComponents.network.listen(
      listen.peer.address,
      listen.peer.port,
      signal,
    );
    if (peerPort.isErr()) return err(`listen.peer: ${peerPort.error}`);
    const operator = await this.startOperatorApi();
    if (operator.isErr()) return err(`listen.operator: ${operator.error}`);
    this.operator = operator.value;
    this.configComponents.run(signal);
    this.zoneComponents.followStream(signal);
    await this.config.whenReady();
    const joined = this.joinAndRun(peerPort.value);
    // A host that got its configuration from peers serves callers at once and
    // joins its zone when the log becomes reachable.
    if (this.config.hasReadLog) await joined;
    const caller = await this.startCallerApi();
    if (caller.isErr()) return err(`listen.caller: ${caller.error}`);
    this.caller = caller.value;
    this.deps.logger.info('started', {
      caller_port: caller.value.port,
      operator_port: operator.value.port,
      peer_port: peerPort.value,
      config_version: this.config.state.version,
    });
    return ok(undefined);
  }

  /**
   * Stops gracefully: releases the lease, refuses new requests after the
   * grace period, lets running requests finish and leaves the zone.
   */
  stop(): Promise<void> {
    this.shutdownPromise ??= this.shutDown();
    return this.shutdownPromise;
  }

  /** Closes all connections and stops at once, as a crash would. */
  kill(): void {
    this.caller?.closeAll();
    this.operator?.closeAll();
    this.lifetime.abort();
  }

  private async shutDown(): Promise<void> {
    const {logger} = this.deps;
    const {grace_ms: graceMs} = this.settings.shutdown;
    logger.info('stopping', {grace_ms: graceMs});
    // The load balancer needs time to detect that this host is not ready; until
    // then new requests are still served.
    this.gate.markNotReady();
    await this.zoneComponents.releaseLease();
    await this.clock.sleep(graceMs);
    this.gate.close();
    this.requestComponents.close();
    await this.caller?.close();
    await Promise.all([
      this.gate.whenIdle(),
      this.requestComponents.whenIdle(),
    ]);
    await this.caller?.whenEnded();
    await this.zoneComponents.leave();
    await this.tracing.flush();
    logger.info('stopped', {});
    this.kill();
  }

  /** Joins the zone, then starts placement, token sharing and zone tasks. */
  private async joinAndRun(peerPort: number): Promise<void> {
    const {signal} = this.lifetime;
    await this.join(peerPort);
    this.zoneComponents.run(signal);
    void this.placement.run(signal);
    void this.tokenLimitComponents.run(signal);
  }

  private async join(peerPort: number): Promise<void> {
    const {listen} = this.settings;
    const member: Member = {
      ...this.self,
      peer: {address: listen.peer.address, port: peerPort},
      operator: {address: listen.operator.address, port: this.operatorPort},
    };
    await this.zoneComponents.join(member, this.lifetime.signal);
  }

  private startCallerApi(): Promise<Result<HttpListener, string>> {
    const {config, clock, metrics, gate, intake} = this;
    const {limits, listen} = this.settings;
    const {
      generationRunner: runner,
      serviceRunner: services,
      idempotencyGuard,
    } = this.requestComponents;
    const {logger} = this.deps;
    const app = createCallerApi({
      gate,
      config,
      completions: new CompletionHandler({
        config,
        runner,
        clock,
        metrics,
        idempotencyGuard,
      }),
      services: new ServiceHandler({
        runner: services,
        idempotencyGuard,
        clock,
        account: intake.account,
      }),
      logger,
      bodies: {maxBytes: limits.body_bytes, intake, clock},
    });
    const maxConnections = Math.min(
      limits.connections,
      intake.limits.maxConnections,
    );
    return HttpListener.start(app, {
      ...listen.caller,
      ...this.listenerOptions('callers'),
      maxConnections,
    });
  }

  private startOperatorApi(): Promise<Result<HttpListener, string>> {
    const {config, metrics} = this;
    const {members} = this.zoneComponents.membership;
    const {operators, listen} = this.settings;
    const app = createOperatorApi({
      tokenDigest: operators.token_digest,
      config,
      versions: this.configComponents.versions,
      metrics,
      status: () => this.status(),
      hosts: () =>
        toKnownHosts([
          ...members.all(),
          ...this.zoneComponents.zones.remoteHosts(),
        ]),
      drain: () => void this.stop(),
    });
    const maxConnections = MAX_OPERATOR_CONNECTIONS;
    return HttpListener.start(app, {
      ...listen.operator,
      ...this.listenerOptions('operators'),
      maxConnections,
    });
  }

  private listenerOptions(listener: string) {
    const {clock, deps, intake} = this;
    return {listener, clock, intake, logger: deps.logger};
  }

  private status(): HostStatus {
    const ageMs = this.config.ageMs();
    return {
      host: this.self.host,
      zone: this.self.zone,
      ready: this.caller !== undefined && this.gate.isReady,
      configVersion: this.config.state.version,
      configAgeS: Number.isFinite(ageMs) ? ageMs / 1_000 : null,
      leaseHolder: this.zoneComponents.membership.lease.holder() ?? null,
      peers: this.zoneComponents.network.connected().map(peer => peer.host),
      remoteHosts: this.zoneComponents.zones
        .remoteHosts()
        .map(member => member.host),
      queued: this.queue.length,
    };
  }
}
