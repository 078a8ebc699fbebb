/** Submits a delta and tells what became of it. @packageDocumentation */

import {Change} from '@fuchsiacleat/core';
import {reportClientError} from '../client_error_report.js';
import {EXIT_CODE, ExitCode} from '../exit_code.js';
import {OperatorClient} from '../operator_client.js';
import {Terminal} from '../terminal.js';

/** A delta that is ready to be published. */
export interface Submission {
  /** Version that the changes were made from. */
  base: number;
  changes: Change[];
  message: string;
}

/**
 * Publishes a delta and reports the verdict.
 *
 * @param terminal - where to write.
 * @param client - the host that takes the publication.
 * @param submission - see {@link Submission}.
 * @returns the exit code that tells the verdict.
 */
export async function submit(
  terminal: Terminal,
  client: OperatorClient,
  submission: Submission,
): Promise<ExitCode> {
  const verdict = await client.publish({type: 'publication', ...submission});
  if (verdict.isErr()) return reportClientError(terminal, verdict.error);
  if (verdict.value.accepted) {
    const {version} = verdict.value;
    const count = submission.changes.length;
    terminal.out(`accepted as version ${version} (${count} changes)`);
    return EXIT_CODE.ok;
  }
  terminal.error('rejected; nothing was changed:');
  for (const reason of verdict.value.reasons) terminal.error(`  ${reason}`);
  terminal.error('look at "fuchsiacleat diff", mend the cause, publish again');
  return EXIT_CODE.rejected;
}
