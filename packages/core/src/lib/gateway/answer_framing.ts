/** How the end of an answer's body is told. @packageDocumentation */

/** What delimits the body of an answer on its connection. */
export const FRAMING = {
  /** A length that is announced in the head, or a status without a body. */
  length: 'length',
  /** Chunks, the last of which says that it is. */
  chunks: 'chunks',
  /** Only the end of the connection, which a crash ends in the same way. */
  close: 'close',
} as const;

/** One of {@link FRAMING}. */
export type Framing = (typeof FRAMING)[keyof typeof FRAMING];

/**
 * How a caller is told the end of an answer. The operating system closes the
 * connections of a killed process in order, so that the end of a connection
 * says nothing about the answer on it.
 */
export const CALLER_FRAMING = {
  /** A length in the head, or a status without a body. */
  length: FRAMING.length,
  chunks: FRAMING.chunks,
  /** A length that is known once this host has the whole answer. */
  held: 'held',
} as const;

/** One of {@link CALLER_FRAMING}. */
export type CallerFraming =
  (typeof CALLER_FRAMING)[keyof typeof CALLER_FRAMING];

/**
 * Chooses how a caller is told the end of an answer.
 *
 * @param isLengthKnown - whether the length is known before the body.
 * @param readsChunks - whether the caller's version of HTTP has chunks.
 */
export function chooseCallerFraming(
  isLengthKnown: boolean,
  readsChunks: boolean,
): CallerFraming {
  if (isLengthKnown) return CALLER_FRAMING.length;
  return readsChunks ? CALLER_FRAMING.chunks : CALLER_FRAMING.held;
}
