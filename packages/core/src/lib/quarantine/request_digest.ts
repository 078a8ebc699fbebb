/** Digests of whole requests. @packageDocumentation */

import {createHash} from 'node:crypto';

/** Sets digests of requests apart from those of prompt parts. */
const PREFIX = 'req-';

/** Length of a digest without its prefix. */
const DIGEST_CHARS = 16;

/** What a request and its repeats have in common. */
export interface RequestContent {
  method: string;
  host: string;
  /** Path and query. */
  requestTarget: string;
  body: Uint8Array;
}

/**
 * Digests what a request asks for and on whose behalf, which all its repeats
 * have in common. Ids, deadlines and positions in a stream are left out.
 *
 * @param content - see {@link RequestContent}.
 * @param team - name of the team that sends it; undefined on routes open to
 *     all.
 * @returns the digest, which is told apart from those of prompt parts.
 */
export function digestRequest(
  {body, host, method, requestTarget}: RequestContent,
  team: string | undefined,
): string {
  const head = JSON.stringify([team ?? null, method, host, requestTarget]);
  const hash = createHash('sha256').update(head).update(body);
  return PREFIX + hash.digest('hex').slice(0, DIGEST_CHARS);
}

/**
 * Returns whether a digest is that of a whole request.
 *
 * @param digest - digest of a request or of a prompt part.
 */
export function isRequestDigest(digest: string): boolean {
  return digest.startsWith(PREFIX);
}
