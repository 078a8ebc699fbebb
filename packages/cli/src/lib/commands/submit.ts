/** Submits a delta and tells what became of it. @packageDocumentation */

import {Change, Verdict} from '@fuchsiacleat/core';
import {reportClientError} from '../client_error_report.js';
import {EXIT_CODE, ExitCode} from '../exit_code.js';
import {OperatorClient} from '../operator_client.js';
import {Terminal} from '../terminal.js';
import {awaitInForce} from './await_in_force.js';

/** A delta that is ready to be published. */
export interface Submission {
  /** Version that the changes were made from. */
  base: number;
  changes: Change[];
  message: string;
}

/** How a delta is published. */
export interface SubmitOptions {
  author: string;
  /** Id of the publication, under which it is applied at most once. */
  id: string;
  /** How long to wait until all hosts have the version, in seconds. */
  waitS: number | undefined;
}

/**
 * Publishes a delta and reports the verdict.
 *
 * @param terminal - where to write.
 * @param client - the host that takes the publication.
 * @param submission - see {@link Submission}.
 * @param options - see {@link SubmitOptions}.
 * @returns the exit code that tells the verdict.
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
 * Reports a verdict and, if it is wanted, waits until it is in force.
 *
 * @param terminal - where to write.
 * @param client - the host to ask.
 * @param verdict - the verdict.
 * @param waitS - how long to wait, in seconds; undefined not to wait.
 * @param changes - number of changes, if it is known.
 * @returns the exit code that tells the verdict.
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
