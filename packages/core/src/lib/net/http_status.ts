/** Status codes of HTTP. @packageDocumentation */

/** Lower numbers are of interim responses. */
export const FIRST_FINAL_STATUS = 200;
const LAST_STATUS = 599;

const BODILESS_STATUSES: ReadonlySet<number> = new Set([204, 304]);

/**
 * Returns whether a status is one of a final answer. HTTP gives other numbers
 * no meaning, and a client may take them for any (RFC 9110, section 15).
 *
 * @param status - number in the status line.
 */
export function isFinalStatus(status: number): boolean {
  return status >= FIRST_FINAL_STATUS && status <= LAST_STATUS;
}

/**
 * Returns whether a final answer with a status never has a body.
 *
 * @param status - number in the status line.
 */
export function isBodilessStatus(status: number): boolean {
  return BODILESS_STATUSES.has(status);
}
