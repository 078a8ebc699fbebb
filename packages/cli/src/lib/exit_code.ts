/** Exit codes of the command-line tool. @packageDocumentation */

/** Exit codes of the tool by name. */
export const EXIT_CODE = {
  ok: 0,
  failed: 1,
  usage: 2,
  /** The declarations have faults. */
  faults: 3,
  /** The publication was rejected. */
  rejected: 4,
  /** It is unknown whether the publication was accepted. */
  unknown: 5,
  /** The host could not be reached. */
  unreachable: 6,
  /** The folder differs from the configuration in force. */
  differs: 7,
  /** The version was accepted, but was not in force on every host in time. */
  behind: 8,
} as const;

/** One of {@link EXIT_CODE}. */
export type ExitCode = (typeof EXIT_CODE)[keyof typeof EXIT_CODE];

const MEANINGS: Record<keyof typeof EXIT_CODE, string> = {
  ok: 'done',
  failed: 'the host refused the call, or it failed',
  usage: 'the command line is wrong',
  faults: 'the declarations have faults; all of them were printed',
  rejected: 'the publication was rejected; nothing was changed',
  unknown: 'it is not known whether the publication was accepted',
  unreachable: 'the host could not be reached',
  behind: 'accepted, but some hosts do not have the version in force yet',
  differs: 'diff: the folder differs from the configuration in force',
};

/** Returns a description of all exit codes for the help text. */
export function describeExitCodes(): string {
  const names = Object.keys(EXIT_CODE) as Array<keyof typeof EXIT_CODE>;
  const lines = names.map(name => `  ${EXIT_CODE[name]}  ${MEANINGS[name]}`);
  return ['Exit codes:', ...lines].join('\n');
}
