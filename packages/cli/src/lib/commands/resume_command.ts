/** `fuchsiacleat resume`. @packageDocumentation */

import {reportClientError} from '../client_error_report.js';
import {EXIT_CODE, ExitCode} from '../exit_code.js';
import {OperatorClient} from '../operator_client.js';
import {Terminal} from '../terminal.js';
import {reportVerdict} from './submit.js';

/** What `resume` asks for. */
export interface ResumeOptions {
  /** Id of the publication. */
  id: string;
  /** How long to wait until all hosts have the version, in seconds. */
  waitS: number | undefined;
}

/** Tells what became of a publication. */
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
