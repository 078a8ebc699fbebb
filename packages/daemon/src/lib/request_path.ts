/** Wires the way of requests through a host. @packageDocumentation */

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

/** What a {@link RequestPath} is made from. */
export interface RequestPathOptions {
  zone: string;
  config: ConfigState;
  limiter: TokenLimiter;
  queue: RequestQueue;
  router: Router;
  network: PeerNetwork;
  targets: TargetClients;
  /** @returns the client of a declared engine. */
  engineOf: (target: string) => EngineClient;
  log: PlatformLog;
  ids: RecordIds;
  /** How long the log keeps records, in milliseconds. */
  retentionMs: number | undefined;
  tracing: Tracing;
  clock: Clock;
  logger: Logger;
  /** Ends the work of the parts. */
  signal: AbortSignal;
}

/** The parts that requests pass through. */
export class RequestPath {
  /** Runs generations. */
  readonly requests: RequestRunner;
  /** Runs calls of plain services. */
  readonly services: ServiceRunner;
  /** Guards requests that may not be repeated. */
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

  /** Requests of other zones that run here now. */
  get forwardedRequests(): number {
    return this.forwards.inFlight.size + this.serviceForwards.inFlight.size;
  }

  /** Refuses new requests of other zones from now on. */
  close(): void {
    this.forwards.close();
    this.serviceForwards.close();
  }

  /** @returns a promise that resolves once no forwarded request runs. */
  async idle(): Promise<void> {
    await this.forwards.inFlight.idle();
    await this.serviceForwards.inFlight.idle();
  }
}
