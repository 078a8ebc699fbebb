/** Decides who may come in. @packageDocumentation */

import {Result, err, ok} from 'neverthrow';
import {REFUSAL, Refusal, refuse} from '../requests/outcome.js';
import {CallerRequest} from './caller_request.js';
import {DeploymentState} from './deployment_state.js';
import {RouteRule, TeamFacts} from './deployment.js';
import {Freshness} from './freshness.js';
import {TeamQuotas} from './team_quotas.js';

/** When a caller may come back to a host whose configuration is too old. */
const STALE_RETRY_AFTER_MS = 400;

/**
 * Part of its latency objective that a request waits for a lender of tokens; it
 * can still be on time then.
 */
const LENDER_WAIT_PART = 0.4;

/** What admission decided about a request. */
export interface Admitted {
  route: RouteRule;
  team: TeamFacts | undefined;
  tokens: number;
}

/** What was known of a request when it was refused. */
export interface Rejected {
  refusal: Refusal;
  route?: RouteRule;
  team?: TeamFacts;
}

/** What {@link Admission} works with. */
export interface AdmissionParts {
  state: DeploymentState;
  freshness: Freshness;
  quotas: TeamQuotas;
}

/** Finds a request's route and team, and holds the team to its rate. */
export class Admission {
  /** @param parts - see {@link AdmissionParts}. */
  constructor(private readonly parts: AdmissionParts) {}

  /**
   * @param req - a request that has come in.
   * @returns its route and team, or why it is refused.
   */
  async admit(req: CallerRequest): Promise<Result<Admitted, Rejected>> {
    const {state, freshness, quotas} = this.parts;
    const inForce = state.current;
    if (inForce === undefined) {
      return err({refusal: stale('no configuration is known')});
    }
    const route = inForce.routes.match(req.host, req.path);
    const isStale = !freshness.isFresh;
    if (isStale && route?.isPublic !== true) {
      return err({refusal: stale('the configuration may have changed'), route});
    }
    if (route === undefined) {
      const message = 'no route takes the request';
      return err({refusal: refuse(REFUSAL.unknownRoute, message)});
    }
    if (route.isPublic || inForce.deployment.teams.size === 0) {
      return ok({route, team: undefined, tokens: 0});
    }
    const team =
      req.key === undefined ? undefined : inForce.teamOfKey.get(req.key);
    if (team === undefined) {
      const message = 'the key is not known';
      return err({refusal: refuse(REFUSAL.unauthenticated, message), route});
    }
    const tokens =
      req.tokens === undefined
        ? team.plainTokens
        : req.tokens.prompt + req.tokens.output;
    const patienceMs = route.objectiveMs * LENDER_WAIT_PART;
    const retryAfterMs = await quotas.take(
      team,
      tokens,
      patienceMs,
      req.signal,
    );
    if (retryAfterMs === undefined) return ok({route, team, tokens});
    const message = `${tokens} tokens are over the rate of the team`;
    const refusal = refuse(REFUSAL.overRate, message, retryAfterMs);
    return err({refusal, route, team});
  }

  /**
   * @param req - a request that is about to be sent.
   * @param team - whose key came with it, as admission found.
   * @returns why it may not run any more, if so.
   */
  recheck(
    req: CallerRequest,
    team: TeamFacts | undefined,
  ): Refusal | undefined {
    if (team === undefined) return undefined;
    const {freshness, state} = this.parts;
    if (!freshness.isFresh) return stale('the configuration may be old');
    const holder = state.current?.teamOfKey.get(req.key ?? '');
    if (holder?.name === team.name) return undefined;
    return refuse(REFUSAL.unauthenticated, 'the key was withdrawn');
  }
}

function stale(message: string): Refusal {
  return refuse(REFUSAL.configTooOld, message, STALE_RETRY_AFTER_MS);
}
