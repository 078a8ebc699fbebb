/** Exit codes of the tool. @packageDocumentation */

/** What the tool's exit code means. */
export const EXIT_CODE = {
  ok: 0,
  failed: 1,
  usage: 2,
  /** Declarations have faults. */
  faults: 3,
  /** A publication was rejected. */
  rejected: 4,
  /** It is not known whether a publication was accepted. */
  unknown: 5,
  /** No host could be reached. */
  unreachable: 6,
} as const;

/** One of {@link EXIT_CODE}. */
export type ExitCode = (typeof EXIT_CODE)[keyof typeof EXIT_CODE];
