/** What makes the end of an answer count. @packageDocumentation */

/** What is known of the end of an answer. */
export const END_FINDING = {
  /** The target has told the end: by a length or by a last chunk. */
  told: 'told',
  /** The body broke off, or can't be whole. */
  brokenOff: 'broken-off',
  /** The target does not take requests, and was not checked. */
  unchecked: 'unchecked',
  /** Its address does not refuse connections. */
  notRefused: 'not-refused',
  /** Its address refuses this host; no other host confirms that. */
  unconfirmed: 'unconfirmed',
  /** The process of the target has ended. */
  ended: 'ended',
} as const;

/** One of {@link END_FINDING}. */
export type EndFinding = (typeof END_FINDING)[keyof typeof END_FINDING];
