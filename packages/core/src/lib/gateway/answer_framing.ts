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
