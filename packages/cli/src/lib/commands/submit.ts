/** Publishes a delta and reports the verdict. @packageDocumentation */

import {Change, Verdict} from '@fuchsiacleat/core';
import {reportClientError} from '../client_error_report.js';
import {EXIT_CODE, ExitCode} from '../exit_code.js';
import {OperatorClient} from '../operator_client.js';
import {Terminal} from '../terminal.js';
import {awaitInForce} from './await_in_force.js';

/** A delta that is ready to be published. */
export interface Submission {
  /** Version on which the changes are based. */
  base: number;
  changes: Change[];
  message: string;
}

/** Options for publishing a delta. */
export interface SubmitOptions {
  author: string;
  /** Id of the publication, under which it is applied at most once. */
  id: string;
  /**
   * Timeout for the version to be in force on all hosts, in seconds; undefined
   * not to wait.
   */
  waitS: number | undefined;
}

/**
 * Publishes a delta and reports the verdict.
 *
 * @param terminal - receives the output.
 * @param client - client of the host that accepts the publication.
 * @param submission - see {@link Submission}.
 * @param options - see {@link SubmitOptions}.
 * @returns the exit code for the verdict.
 */
export async function submit(
  terminal: Terminal,
  client: OperatorClient,
  submission: Submission,
  {author, id, waitS}: SubmitOptions,
): Promise<ExitCode> {
  const publication = {type: 'publication' as const, ...submission, author};
  const verdict = await client.publish(publication, id);
  if (verdict.isErr()) {
    const code = reportClientError(terminal, verdict.error);
    if (code === EXIT_CODE.unknown) terminal.error(`the id is ${id}`);
    return code;
  }
  const {length} = submission.changes;
  return reportVerdict(terminal, client, verdict.value, waitS, length);
}

/**
 * Reports a verdict and optionally waits until the version is in force.
 *
 * @param terminal - receives the output.
 * @param client - client of the host that is polled for the versions of all.
 * @param verdict - the verdict.
 * @param waitS - timeout of the wait, in seconds; undefined not to wait.
 * @param changes - number of changes, if known.
 * @returns the exit code for the verdict.
 */
export async function reportVerdict(
  terminal: Terminal,
  client: OperatorClient,
  verdict: Verdict,
  waitS: number | undefined,
  changes?: number,
): Promise<ExitCode> {
  if (verdict.accepted) {
    const {version} = verdict;
    const count = changes === undefined ? '' : ` (${changes} changes)`;
    terminal.out(`accepted as version ${version}${count}`);
    if (waitS === undefined) return EXIT_CODE.ok;
    return awaitInForce(terminal, client, version, waitS);
  }
  terminal.error('rejected; nothing was changed:');
  for (const reason of verdict.reasons) terminal.error(`  ${reason}`);
  terminal.error('look at "fuchsiacleat diff", mend the cause, publish again');
  return EXIT_CODE.rejected;
}
