/** Admission control for caller requests. @packageDocumentation */

import {Result, err, ok} from 'neverthrow';
import {turnUrgency} from '../limits/turn_rule.js';
import {digestRequest} from '../quarantine/request_digest.js';
import {REFUSAL, Refusal, refuse} from '../requests/outcome.js';
import {Clock} from '../time/clock.js';
import {CallerRequest} from './caller_request.js';
import {stoppingRefusal} from './capacity_refusal.js';
import {DeploymentState} from './deployment_state.js';
import {RouteRule, TeamConfig} from './deployment.js';
import {Freshness} from './freshness.js';
import {TeamQuotas} from './team_quotas.js';

/** Retry-after time of a refusal because of an outdated configuration. */
const STALE_RETRY_AFTER_MS = 400;

/**
 * Fraction of its latency objective that a request may wait for a token lender.
 * The rest leaves enough time to answer within the objective.
 */
const LENDER_WAIT_FRACTION = 0.4;

/**
 * Time until the deadline of a request that takes up a stream, of which it may
 * wait a half for its turn. Callers leave after two seconds without an event.
 */
const RESUMED_DEADLINE_MS = 2_400;

const MIN_RATE_POLL_MS = 20;

/** What the head of a request has decided. */
export interface HeadChecked {
  route: RouteRule;
  team: TeamConfig | undefined;
}

/** An admitted request. */
export interface Admitted extends HeadChecked {
  tokens: number;
}

/** A rejected request, with what was known about it at that point. */
export interface Rejected {
  refusal: Refusal;
  route?: RouteRule;
  team?: TeamConfig;
}

/** Dependencies of {@link Admission}. */
export interface AdmissionParts {
  clock: Clock;
  state: DeploymentState;
  freshness: Freshness;
  quotas: TeamQuotas;
}

/**
 * Resolves the route and the team of a request and enforces the team's rate.
 */
export class Admission {
  /** @param parts - the dependencies, see {@link AdmissionParts}. */
  constructor(private readonly parts: AdmissionParts) {}

  /**
   * Checks what the head of a request decides; takes no tokens.
   *
   * @param req - the request, whose body may not have been read.
   * @returns the route and the team, or the refusal.
   */
  checkHead(req: CallerRequest): Result<HeadChecked, Rejected> {
    const {state, freshness} = this.parts;
    const inForce = state.current;
    if (inForce === undefined) {
      return err({refusal: staleConfigRefusal('no configuration is known')});
    }
    const route = inForce.routes.match(req.host, req.path);
    const isStale = !freshness.isFresh;
    if (isStale && route?.isPublic !== true) {
      return err({
        refusal: staleConfigRefusal('the configuration may have changed'),
        route,
      });
    }
    if (route === undefined) {
      const message = 'no route takes the request';
      return err({refusal: refuse(REFUSAL.unknownRoute, message)});
    }
    if (route.isPublic || inForce.deployment.teams.size === 0) {
      return ok({route, team: undefined});
    }
    const team =
      req.key === undefined ? undefined : inForce.teamByKey.get(req.key);
    if (team === undefined) {
      const message = 'the key is not known';
      return err({refusal: refuse(REFUSAL.unauthenticated, message), route});
    }
    return ok({route, team});
  }

  /**
   * Admits or rejects a new request.
   *
   * @param req - the request.
   * @returns the route, the team and the charged tokens, or the refusal.
   */
  async admit(req: CallerRequest): Promise<Result<Admitted, Rejected>> {
    const checked = this.checkHead(req);
    if (checked.isErr()) return err(checked.error);
    const {route, team} = checked.value;
    if (team === undefined) return ok({route, team, tokens: 0});
    const tokens =
      req.tokens === undefined
        ? team.defaultRequestTokens
        : req.tokens.prompt + req.tokens.output;
    const retryAfterMs = await this.takeTokens(req, route, team, tokens);
    if (retryAfterMs === undefined) return ok({route, team, tokens});
    if (this.parts.quotas.isStopped)
      return err({refusal: stoppingRefusal(), route, team});
    const message = `${tokens} tokens are over the rate of the team`;
    const refusal = refuse(REFUSAL.overRate, message, retryAfterMs);
    return err({refusal, route, team});
  }

  /**
   * Takes the tokens of a request, or waits for its turn. One that takes up a
   * stream goes first, as its caller has a part of the answer already.
   *
   * @returns undefined if the request may run, else the retry-after time in
   *     milliseconds.
   */
  private takeTokens(
    req: CallerRequest,
    route: RouteRule,
    team: TeamConfig,
    tokens: number,
  ): Promise<number | undefined> {
    const {clock, quotas} = this.parts;
    const maxWaitMs = route.objectiveMs * LENDER_WAIT_FRACTION;
    const isResumed = req.lastEventId !== undefined;
    if (!quotas.hasQueue)
      return this.takeWithoutQueue(req, team, tokens, maxWaitMs);
    const timeoutMs = Math.min(req.timeoutMs ?? Infinity, route.timeoutMs);
    const resumedEndMs = clock.now() + RESUMED_DEADLINE_MS;
    return quotas.take(team, tokens, maxWaitMs, req.signal, {
      urgency: turnUrgency(
        team.priority ?? route.priority,
        isResumed ? 0 : route.objectiveMs,
      ),
      arrivedMs: req.arrivedMs,
      objectiveMs: req.arrivedMs + route.objectiveMs,
      deadlineMs: Math.min(
        req.arrivedMs + timeoutMs,
        isResumed ? resumedEndMs : Infinity,
      ),
      digest: () => digestRequest(req.content, team.name),
    });
  }

  /**
   * Takes the tokens of a request in the order of arrival. Only one that takes
   * up a stream waits for them.
   *
   * @returns as {@link Admission.takeTokens}.
   */
  private async takeWithoutQueue(
    req: CallerRequest,
    team: TeamConfig,
    tokens: number,
    maxWaitMs: number,
  ): Promise<number | undefined> {
    const {clock, quotas} = this.parts;
    const isResumed = req.lastEventId !== undefined;
    const endMs = isResumed ? clock.now() + RESUMED_DEADLINE_MS / 2 : -Infinity;
    for (;;) {
      const waitMs = await quotas.take(team, tokens, maxWaitMs, req.signal);
      const isOver = waitMs === undefined || clock.now() + waitMs > endMs;
      if (isOver || req.signal.aborted || quotas.isStopped) return waitMs;
      await clock.sleep(Math.max(MIN_RATE_POLL_MS, waitMs), req.signal);
    }
  }

  /**
   * Checks again, right before a send, that an admitted request may run.
   *
   * @param req - the request.
   * @param team - the team that admission found for the key of the request.
   * @returns the refusal, or undefined if the request may still run.
   */
  recheck(
    req: CallerRequest,
    team: TeamConfig | undefined,
  ): Refusal | undefined {
    if (team === undefined) return undefined;
    const {freshness, state} = this.parts;
    if (!freshness.isFresh)
      return staleConfigRefusal('the configuration may be old');
    const keyOwner = state.current?.teamByKey.get(req.key ?? '');
    if (keyOwner?.name === team.name) return undefined;
    return refuse(REFUSAL.unauthenticated, 'the key was withdrawn');
  }
}

function staleConfigRefusal(message: string): Refusal {
  return refuse(REFUSAL.configTooOld, message, STALE_RETRY_AFTER_MS);
}
