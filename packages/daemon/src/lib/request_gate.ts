/** Admission of callers' requests and accounting of their outcomes. @packageDocumentation */

import {
  Clock,
  ConfigStore,
  DeclarationSet,
  HOP,
  HopSpan,
  InFlightTracker,
  Logger,
  Metrics,
  OPEN_TEAM,
  Outcome,
  REFUSAL,
  Refusal,
  RouteFields,
  Tracing,
  authenticate,
  authorize,
  bearerDigest,
  newRequestId,
  refuse,
} from '@fuchsiacleat/core';
import {Result, err, ok} from 'neverthrow';
import {Withdrawal} from './withdrawal.js';

/** Request header with the caller's deadline, in milliseconds from now. */
export const DEADLINE_HEADER = 'x-deadline-ms';

/** A request that passed authentication and authorization. */
export interface AdmittedRequest {
  id: string;
  team: string;
  routeName: string;
  route: RouteFields;
  /** Deadline of the request as clock time, in milliseconds. */
  deadlineMs: number;
  span: HopSpan;
  /** Ends the request if the caller loses its authorization. */
  withdrawal: Withdrawal;
  /** The outcome; undefined while the request runs. */
  readonly finalOutcome: Outcome | undefined;
  /** Resolves with the outcome when the request ends. */
  outcome: Promise<Outcome>;
  /** Records the outcome and ends the request; later calls have no effect. */
  finish: (outcome: Outcome) => void;
}

/** The request headers that a {@link RequestGate} reads. */
export interface GateHeaders {
  authorization: string | undefined;
  traceparent: string | undefined;
  deadlineMs: string | undefined;
}

/** Options of a {@link RequestGate}. */
export interface RequestGateOptions {
  config: ConfigStore;
  clock: Clock;
  tracing: Tracing;
  metrics: Metrics;
  logger: Logger;
}

/** A running request with what is needed to recheck its authorization. */
interface RunningRequest {
  /** Digest of the caller's key; undefined if none was given. */
  digest: string | undefined;
  team: string;
  routeName: string;
  withdrawal: Withdrawal;
}

/**
 * Authenticates and authorizes requests, records their outcomes, and withdraws
 * running ones that a configuration change no longer allows.
 */
export class RequestGate {
  private readonly inFlight = new InFlightTracker();
  private ready = true;
  private isStopping = false;
  private readonly running = new Set<RunningRequest>();

  constructor(private readonly options: RequestGateOptions) {
    options.config.onChange(() => this.withdrawUnauthorized());
  }

  /** Whether the load balancer should send requests to this host. */
  get isReady(): boolean {
    return this.ready;
  }

  /**
   * Reports this host as not ready to the load balancer; requests that still
   * arrive are served.
   */
  markNotReady(): void {
    this.ready = false;
  }

  /** Refuses new requests from now on. */
  close(): void {
    this.ready = false;
    this.isStopping = true;
  }

  /** Resolves once no request is in progress. */
  whenIdle(): Promise<void> {
    return this.inFlight.whenIdle();
  }

  /**
   * Authenticates a caller without admitting a request.
   *
   * @param headers - the caller's headers.
   * @returns the caller's team, or a refusal.
   */
  authenticate(headers: GateHeaders): Result<string, Refusal> {
    const {declared} = this.options.config.state;
    return authenticate(declared, headers.authorization);
  }

  /**
   * Refuses a request whose route is known if its head decides that.
   *
   * @returns the refusal, which is already recorded; undefined if the head does
   *     not decide it.
   */
  refuseFromHead(routeName: string, headers: GateHeaders): Refusal | undefined {
    const checked = this.check(routeName, headers);
    if (checked.isOk()) return undefined;
    return this.recordRefusal(routeName, headers, checked.error);
  }

  /**
   * Refuses a request whose route is not known yet if no host would accept its
   * key. A route may be too old on this host to say so.
   *
   * @returns the refusal, which is already recorded, or undefined.
   */
  refuseUnknownKey(headers: GateHeaders): Refusal | undefined {
    if (headers.authorization === undefined || this.isStopping)
      return undefined;
    const team = this.authenticate(headers);
    if (team.isOk()) return undefined;
    const {config} = this.options;
    const ageMs = config.ageMs();
    for (const [, {max_config_age: maxAgeMs}] of config.state.declared.all(
      'route',
    )) {
      if (maxAgeMs !== undefined && ageMs > maxAgeMs) return undefined;
    }
    return this.recordRefusal('', headers, team.error);
  }

  private recordRefusal(
    routeName: string,
    headers: GateHeaders,
    refusal: Refusal,
  ): Refusal {
    const {tracing} = this.options;
    const span = tracing.startRemote(HOP.request, headers.traceparent);
    this.recordOutcome(routeName, 'none', refusal, span);
    return refusal;
  }

  /**
   * Checks a request and admits it.
   *
   * @param routeName - name of the requested route.
   * @param headers - the caller's headers.
   * @returns the admitted request, which the caller of this method must
   *     finish, or the refusal, which is already recorded.
   */
  admit(
    routeName: string,
    headers: GateHeaders,
  ): Result<AdmittedRequest, Refusal> {
    const {tracing} = this.options;
    const span = tracing.startRemote(HOP.request, headers.traceparent);
    const hop = tracing.start(HOP.authenticate, span.context);
    const checked = this.check(routeName, headers);
    hop.end(checked.isErr() ? checked.error.reason : undefined);
    if (checked.isErr()) {
      this.recordOutcome(routeName, 'none', checked.error, span);
      return err(checked.error);
    }
    return ok(this.createAdmitted(routeName, checked.value, headers, span));
  }

  private createAdmitted(
    routeName: string,
    {team, route}: {team: string; route: RouteFields},
    headers: GateHeaders,
    span: HopSpan,
  ): AdmittedRequest {
    const {clock} = this.options;
    const requestedMs = Number(headers.deadlineMs ?? route.deadline);
    const allowedMs = Math.min(requestedMs, route.max_deadline);
    const endInFlight = this.inFlight.begin();
    const withdrawal = new Withdrawal(route.repeatable);
    const digest = bearerDigest(headers.authorization);
    const running = {digest, team, routeName, withdrawal};
    this.running.add(running);
    this.options.metrics.inFlight.set(this.inFlight.size);
    let finalOutcome: Outcome | undefined;
    let resolveOutcome: (outcome: Outcome) => void = () => {};
    const outcome = new Promise<Outcome>(resolve => {
      resolveOutcome = resolve;
    });
    return {
      id: newRequestId(),
      team,
      routeName,
      route,
      deadlineMs: clock.now() + allowedMs,
      span,
      withdrawal,
      get finalOutcome() {
        return finalOutcome;
      },
      outcome,
      finish: end => {
        if (finalOutcome !== undefined) return;
        finalOutcome = end;
        endInFlight();
        this.running.delete(running);
        this.options.metrics.inFlight.set(this.inFlight.size);
        this.recordOutcome(routeName, team, end, span);
        resolveOutcome(end);
      },
    };
  }

  private withdrawUnauthorized(): void {
    const {declared} = this.options.config.state;
    for (const running of this.running) {
      if (!isAllowed(running, declared)) running.withdrawal.withdraw();
    }
  }

  private check(
    routeName: string,
    headers: GateHeaders,
  ): Result<{team: string; route: RouteFields}, Refusal> {
    if (this.isStopping) {
      return err(refuse(REFUSAL.stopping, 'this host is stopping', 1_000));
    }
    const {config} = this.options;
    const {declared} = config.state;
    const route = declared.get('route', routeName);
    if (route === undefined) {
      // Authenticates first, so that callers without a valid key can't probe
      // which routes exist.
      const team = authenticate(declared, headers.authorization);
      if (team.isErr()) return err(team.error);
      return err(refuse(REFUSAL.unknownRoute, `no route "${routeName}"`));
    }
    const requestedDeadline = headers.deadlineMs;
    if (
      requestedDeadline !== undefined &&
      !/^[1-9]\d{0,8}$/.test(requestedDeadline)
    ) {
      const message = `${DEADLINE_HEADER} must be a number of milliseconds`;
      return err(refuse(REFUSAL.badRequest, message));
    }
    const maxAgeMs = route.max_config_age ?? Infinity;
    if (config.ageMs() > maxAgeMs) {
      const message = 'the configuration of this host is too old for the route';
      return err(refuse(REFUSAL.configTooOld, message));
    }
    if (route.open && headers.authorization === undefined) {
      return ok({team: OPEN_TEAM, route});
    }
    const team = authenticate(declared, headers.authorization);
    return team.andThen(name =>
      authorize(routeName, route, name).map(() => ({team: name, route})),
    );
  }

  private recordOutcome(
    routeName: string,
    team: string,
    outcome: Outcome,
    span: HopSpan,
  ): void {
    const {metrics, logger, config} = this.options;
    const known = config.state.declared.has('route', routeName);
    const route = known ? routeName : 'unknown';
    const reason = 'reason' in outcome ? outcome.reason : 'none';
    metrics.requests.inc({route, team, outcome: outcome.type, reason});
    span.set('route', route);
    span.set('outcome', outcome.type);
    span.end(outcome.type === 'served' ? undefined : reason);
    const level = outcome.type === 'failed' ? 'warn' : 'info';
    const fields = {route, team, outcome: outcome.type, reason};
    logger.log(level, 'request_ended', fields);
  }
}

function isAllowed(
  {digest, team, routeName}: RunningRequest,
  declared: DeclarationSet,
): boolean {
  const route = declared.get('route', routeName);
  if (route === undefined) return false;
  if (digest === undefined) return route.open;
  if (declared.teamOfDigest(digest) !== team) return false;
  return authorize(routeName, route, team).isOk();
}
