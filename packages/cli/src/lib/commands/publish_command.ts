/** The `fuchsiacleat publish` command. @packageDocumentation */

import {formatFault} from '@fuchsiacleat/core';
import {reportClientError} from '../client_error_report.js';
import {computeDelta} from '../delta.js';
import {EXIT_CODE, ExitCode} from '../exit_code.js';
import {OperatorClient} from '../operator_client.js';
import {Terminal} from '../terminal.js';
import {readAndCheck, reportFaultCount} from './check_command.js';
import {SubmitOptions, submit} from './submit.js';

/** Options of `publish`. */
export interface PublishOptions {
  folder: string;
  message: string;
  /** Version on which the folder is based; by default the one in force. */
  base: number | undefined;
  submit: SubmitOptions;
}

/** Publishes the difference between a folder and the configuration in force. */
export async function publish(
  terminal: Terminal,
  client: OperatorClient,
  {folder, message, base, submit: options}: PublishOptions,
): Promise<ExitCode> {
  const {source, faults} = await readAndCheck(folder);
  for (const fault of faults) terminal.error(formatFault(fault));
  if (faults.length > 0) return reportFaultCount(terminal, faults.length);
  const current = await client.config();
  if (current.isErr()) return reportClientError(terminal, current.error);
  const changes = computeDelta(current.value.objects, source.objects);
  if (changes.length === 0) {
    terminal.out(
      `nothing to publish; version ${current.value.version} is equal`,
    );
    return EXIT_CODE.ok;
  }
  const submission = {base: base ?? current.value.version, changes, message};
  return submit(terminal, client, submission, options);
}
