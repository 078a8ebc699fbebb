/** Digests of the parts of prompts. @packageDocumentation */

import {createHash} from 'node:crypto';

/** Length of a digest; callers may choose the ids that it tells apart. */
const DIGEST_CHARS = 16;

/**
 * Digests the ids of prompt parts, which must not appear in logs and messages.
 *
 * @param service - service whose targets read the parts.
 * @param parts - ids of the parts.
 * @returns one digest for each part, in hexadecimal.
 */
export function digestParts(
  service: string,
  parts: readonly string[],
): string[] {
  return parts.map(part => {
    const hash = createHash('sha256').update(`${service}\n${part}`);
    return hash.digest('hex').slice(0, DIGEST_CHARS);
  });
}
