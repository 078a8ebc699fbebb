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
  RecordIds,
  RequestQueue,
  RequestRunner,
  RetryBudget,
  Router,
  ServiceCaller,
  ServiceForwardServer,
  ServiceRunner,
  TargetClients,
  TokenLimiter,
  Tracing,
} from '@fuchsiacleat/core';
import {OnceGuard} from './once_guard.js';

const RETRY_RESERVE = 10;

/** Options of {@link RequestPath}. */
export interface RequestPathOptions {
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
  ids: RecordIds;
  /** Retention of records in the log, in milliseconds. */
  retentionMs: number | undefined;
  tracing: Tracing;
  clock: Clock;
  logger: Logger;
  /** Stops background tasks. */
  signal: AbortSignal;
}

/** Runs requests on local targets or forwards them to other hosts. */
export class RequestPath {
  /** Runs generation requests. */
  readonly requests: RequestRunner;
  /** Runs calls of plain HTTP services. */
  readonly services: ServiceRunner;
  /** Runs requests that are not repeatable at most once per idempotency key. */
  readonly once: OnceGuard;
  private readonly forwards: ForwardServer;
  private readonly serviceForwards: ServiceForwardServer;

  constructor(options: RequestPathOptions) {
    const {targets, clock, engineOf} = options;
    const serviceOf = (target: string) => targets.service(target);
    const retries = new RetryBudget(undefined, RETRY_RESERVE);
    const local = new LocalRunner({...options, engineOf});
    const peers = new PeerRunner(options);
    this.requests = new RequestRunner({...options, local, peers, retries});
    const caller = new ServiceCaller({...options, serviceOf});
    this.services = new ServiceRunner({...options, caller, retries});
    this.forwards = new ForwardServer({...options, runner: local});
    this.serviceForwards = new ServiceForwardServer({...options, caller});
    this.once = new OnceGuard(new IdempotencyRegistry(options), clock);
  }

  /** Number of requests forwarded from other zones that run on this host. */
  get forwardedRequests(): number {
    return this.forwards.inFlight.size + this.serviceForwards.inFlight.size;
  }

  /** Refuses new requests from other zones from now on. */
  close(): void {
    this.forwards.close();
    this.serviceForwards.close();
  }

  /** Resolves once no forwarded request runs. */
  async idle(): Promise<void> {
    await this.forwards.inFlight.idle();
    await this.serviceForwards.inFlight.idle();
  }
}
