/** Components that run requests. @packageDocumentation */

import {
  Clock,
  ConfigState,
  EngineClient,
  ForwardServer,
  IdempotencyRegistry,
  LocalRunner,
  Logger,
  PeerNetwork,
  PeerRunner,
  PlatformLog,
  RecordIdGenerator,
  RequestQueue,
  RequestRunner,
  RetryBudget,
  Router,
  LocalServiceRunner,
  ServiceForwardServer,
  ServiceRunner,
  TargetClients,
  TokenLimiter,
  Tracing,
} from '@fuchsiacleat/core';
import {IdempotencyGuard} from './idempotency_guard.js';

const RETRY_RESERVE = 10;

/** Options of {@link RequestComponents}. */
export interface RequestComponentsOptions {
  zone: string;
  config: ConfigState;
  limiter: TokenLimiter;
  queue: RequestQueue;
  router: Router;
  network: PeerNetwork;
  targets: TargetClients;
  /** Returns the client of a declared engine, given its target name. */
  engineOf: (target: string) => EngineClient;
  log: PlatformLog;
  ids: RecordIdGenerator;
  /** Retention of records in the log, in milliseconds. */
  retentionMs: number | undefined;
  tracing: Tracing;
  clock: Clock;
  logger: Logger;
  /** Stops background tasks. */
  signal: AbortSignal;
}

/** Runs requests on local targets or forwards them to other hosts. */
export class RequestComponents {
  /** Runs generation requests. */
  readonly generationRunner: RequestRunner;
  /** Runs calls of plain HTTP services. */
  readonly serviceRunner: ServiceRunner;
  /** Runs requests that are not repeatable at most once per idempotency key. */
  readonly idempotencyGuard: IdempotencyGuard;
  private readonly forwardServer: ForwardServer;
  private readonly serviceForwardServer: ServiceForwardServer;

  constructor(options: RequestComponentsOptions) {
    const {targets, clock, engineOf} = options;
    const serviceOf = (target: string) => targets.service(target);
    const retries = new RetryBudget(undefined, RETRY_RESERVE);
    const local = new LocalRunner({...options, engineOf});
    const peers = new PeerRunner(options);
    this.generationRunner = new RequestRunner({
      ...options,
      local,
      peers,
      retries,
    });
    const localServiceRunner = new LocalServiceRunner({...options, serviceOf});
    this.serviceRunner = new ServiceRunner({
      ...options,
      localRunner: localServiceRunner,
      retries,
    });
    this.forwardServer = new ForwardServer({...options, runner: local});
    this.serviceForwardServer = new ServiceForwardServer({
      ...options,
      runner: localServiceRunner,
    });
    this.idempotencyGuard = new IdempotencyGuard(
      new IdempotencyRegistry(options),
      clock,
    );
  }

  /** Number of requests forwarded from other zones that run on this host. */
  get forwardedRequests(): number {
    return (
      this.forwardServer.inFlight.size + this.serviceForwardServer.inFlight.size
    );
  }

  /** Refuses new requests from other zones from now on. */
  close(): void {
    this.forwardServer.close();
    this.serviceForwardServer.close();
  }

  /** Resolves once no forwarded request runs. */
  async whenIdle(): Promise<void> {
    await this.forwardServer.inFlight.whenIdle();
    await this.serviceForwardServer.inFlight.whenIdle();
  }
}
