/** Transfer codings of HTTP. @packageDocumentation */

const IS_CHUNKED = /(?:^|,)[ \t]*chunked[ \t]*$/i;

/**
 * Returns whether chunks tell the end of a body. After any other last coding,
 * the end of the connection does.
 *
 * @param transferEncoding - value of the header field.
 */
export function endsWithChunks(transferEncoding: string): boolean {
  return IS_CHUNKED.test(transferEncoding);
}
