/** Authentication of callers by key and authorization of teams for routes. @packageDocumentation */

import {Result, err, ok} from 'neverthrow';
import {REFUSAL, Refusal, refuse} from '../requests/outcome.js';
import {DeclarationSet} from './declaration_set.js';
import {RouteFields} from './declarations.js';
import {digestOf} from './key_digest.js';

/** Team to which requests on open routes are attributed. */
export const OPEN_TEAM = 'open';

const BEARER = /^Bearer +(\S+)$/i;

/**
 * Extracts the bearer key from an `Authorization` header.
 *
 * @param authorization - the caller's `Authorization` header.
 * @returns the digest of the key, or undefined if the header holds none.
 */
export function bearerDigest(
  authorization: string | undefined,
): string | undefined {
  const key = BEARER.exec(authorization ?? '')?.[1];
  return key === undefined ? undefined : digestOf(key);
}

/**
 * Determines the team of a caller from its key.
 *
 * @param declared - the configuration in force.
 * @param authorization - the caller's `Authorization` header.
 * @returns the team that owns the key, or a refusal if the key is missing or
 *     unknown.
 */
export function authenticate(
  declared: DeclarationSet,
  authorization: string | undefined,
): Result<string, Refusal> {
  const digest = bearerDigest(authorization);
  if (digest === undefined) {
    return err(refuse(REFUSAL.unauthenticated, 'send a key as a bearer token'));
  }
  // The lookup does not run in constant time, but its timing does not reveal
  // the key: a caller cannot choose keys whose digests share a prefix with the
  // digest of another key.
  const team = declared.teamOfDigest(digest);
  if (team !== undefined) return ok(team);
  return err(refuse(REFUSAL.unauthenticated, 'the key is not known'));
}

/**
 * Checks whether a team may use a route.
 *
 * @param name - name of the route.
 * @param route - the declared route.
 * @param team - the caller's team.
 * @returns nothing if the team is allowed, otherwise the refusal.
 */
export function authorize(
  name: string,
  route: RouteFields,
  team: string,
): Result<void, Refusal> {
  if (route.open || route.teams?.includes(team)) return ok(undefined);
  const message = `team "${team}" may not use route "${name}"`;
  return err(refuse(REFUSAL.forbidden, message));
}
