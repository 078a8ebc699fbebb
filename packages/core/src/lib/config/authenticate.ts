/** Finds the team that a caller's key belongs to. @packageDocumentation */

import {Result, err, ok} from 'neverthrow';
import {REFUSAL, Refusal, refuse} from '../requests/outcome.js';
import {Declarations} from './declared.js';
import {RouteFields} from './declarations.js';
import {digestOf} from './key_digest.js';

/** The team under which requests on open routes run. */
export const OPEN_TEAM = 'open';

const BEARER = /^Bearer +(\S+)$/i;

/**
 * @param authorization - the caller's `Authorization` header.
 * @returns the digest of the key that it carries, if there is one.
 */
export function bearerDigest(
  authorization: string | undefined,
): string | undefined {
  const key = BEARER.exec(authorization ?? '')?.[1];
  return key === undefined ? undefined : digestOf(key);
}

/**
 * @param declared - the configuration in force.
 * @param authorization - the caller's `Authorization` header.
 * @returns the team of the key, or why there is none.
 */
export function authenticate(
  declared: Declarations,
  authorization: string | undefined,
): Result<string, Refusal> {
  const digest = bearerDigest(authorization);
  if (digest === undefined) {
    return err(refuse(REFUSAL.unauthenticated, 'send a key as a bearer token'));
  }
  // Looking the digest up does not leak the key: a caller cannot choose keys
  // whose digests share a prefix with another key's.
  const team = declared.teamOfDigest(digest);
  if (team !== undefined) return ok(team);
  return err(refuse(REFUSAL.unauthenticated, 'the key is not known'));
}

/**
 * @param name - name of the route.
 * @param route - the route.
 * @param team - the caller's team.
 * @returns nothing, or the refusal if the team may not use the route.
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
