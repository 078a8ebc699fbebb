/** The `fuchsiacleat resume` command. @packageDocumentation */

import {reportClientError} from '../client_error_report.js';
import {EXIT_CODE, ExitCode} from '../exit_code.js';
import {OperatorClient} from '../operator_client.js';
import {Terminal} from '../terminal.js';
import {reportVerdict} from './submit.js';

/** Options of `resume`. */
export interface ResumeOptions {
  /** Id of the publication. */
  id: string;
  /**
   * Timeout for the version to be in force on all hosts, in seconds; undefined
   * not to wait.
   */
  waitS: number | undefined;
}

/** Reports the verdict of a publication whose outcome was unknown. */
export async function resume(
  terminal: Terminal,
  client: OperatorClient,
  {id, waitS}: ResumeOptions,
): Promise<ExitCode> {
  const verdict = await client.verdictOf(id);
  if (verdict.isErr()) return reportClientError(terminal, verdict.error);
  if (verdict.value !== undefined) {
    return reportVerdict(terminal, client, verdict.value, waitS);
  }
  terminal.error(`the host has not read a publication ${id}`);
  terminal.error('it may still come; to make sure, publish it again with');
  terminal.error(`  fuchsiacleat publish <folder> --id ${id}`);
  terminal.error('which is applied at most once');
  return EXIT_CODE.unknown;
}
