/** `fuchsiacleat publish`. @packageDocumentation */

import {formatFault} from '@fuchsiacleat/core';
import {deltaOf} from '../delta.js';
import {EXIT_CODE, ExitCode} from '../exit_code.js';
import {ClientError, OperatorClient} from '../operator_client.js';
import {Terminal} from '../terminal.js';
import {readChecked} from './check_command.js';

/** Options of `publish`. */
export interface PublishOptions {
  folder: string;
  message: string;
  /** Version that the folder was made from; the one in force by default. */
  base: number | undefined;
}

/** Publishes a folder of declarations as the difference to the base. */
export async function publish(
  terminal: Terminal,
  client: OperatorClient,
  {folder, message, base}: PublishOptions,
): Promise<ExitCode> {
  const {source, faults} = await readChecked(folder);
  for (const fault of faults) terminal.error(formatFault(fault));
  if (faults.length > 0) return EXIT_CODE.faults;
  const held = await client.config();
  if (held.isErr()) return reportClientError(terminal, held.error);
  const changes = deltaOf(held.value.objects, source.objects);
  if (changes.length === 0) {
    terminal.out(`nothing to publish; version ${held.value.version} is equal`);
    return EXIT_CODE.ok;
  }
  const verdict = await client.publish({
    type: 'publication',
    base: base ?? held.value.version,
    changes,
    message,
  });
  if (verdict.isErr()) return reportClientError(terminal, verdict.error);
  if (verdict.value.accepted) {
    const {version} = verdict.value;
    terminal.out(`accepted as version ${version} (${changes.length} changes)`);
    return EXIT_CODE.ok;
  }
  terminal.error('rejected; nothing was changed:');
  for (const reason of verdict.value.reasons) terminal.error(`  ${reason}`);
  return EXIT_CODE.rejected;
}

/** Writes an error and what to do about it. */
export function reportClientError(
  terminal: Terminal,
  {type, message}: ClientError,
): ExitCode {
  switch (type) {
    case 'unreachable':
      terminal.error(`cannot reach the host: ${message}`);
      terminal.error('check --host, or try another entry host');
      return EXIT_CODE.unreachable;
    case 'unauthorized':
      terminal.error(`not let in: ${message}`);
      terminal.error("set FUCHSIACLEAT_TOKEN to the operators' token");
      return EXIT_CODE.failed;
    case 'unknown-outcome':
      terminal.error(`outcome unknown: ${message}`);
      terminal.error('look at "fuchsiacleat history" before trying again');
      return EXIT_CODE.unknown;
    case 'rejected':
      terminal.error(message);
      return EXIT_CODE.failed;
  }
}
