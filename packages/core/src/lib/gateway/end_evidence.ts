/** What makes the end of an answer count. @packageDocumentation */

import {WATCH_RESULT} from '../net/process_watch.js';

/** Evidence that a target has ended an answer of itself. */
export const END_EVIDENCE = {
  /** The target has told the end: by a length or by a last chunk. */
  told: 'told',
  /** The process of the target has replied after it, on an older connection. */
  outlived: WATCH_RESULT.outlived,
} as const;

/** Why nothing shows that a target has ended an answer of itself. */
export const END_DOUBT = {
  /** The body broke off, or within an event. */
  brokenOff: 'broken-off',
  /** Its connection has ended before the first event. */
  empty: 'empty',
  /** The answer was begun by a target that would have told its end. */
  untold: 'untold',
  endedTogether: WATCH_RESULT.endedTogether,
  unwatched: WATCH_RESULT.unwatched,
  unasked: WATCH_RESULT.unasked,
  silent: WATCH_RESULT.silent,
  otherProcess: WATCH_RESULT.otherProcess,
} as const;

/** One of {@link END_EVIDENCE}. */
export type EndEvidence = (typeof END_EVIDENCE)[keyof typeof END_EVIDENCE];

/** One of {@link END_DOUBT}. */
export type EndDoubt = (typeof END_DOUBT)[keyof typeof END_DOUBT];

/** What is known of the end of an answer. */
export type EndFinding = EndEvidence | EndDoubt;

/** Whether an answer is complete; what is not known to be, is not. */
export function isComplete(finding: EndFinding): finding is EndEvidence {
  return finding === END_EVIDENCE.told || finding === END_EVIDENCE.outlived;
}
