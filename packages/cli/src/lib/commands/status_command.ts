/** `fuchsiacleat status`. @packageDocumentation */

import {EXIT_CODE, ExitCode} from '../exit_code.js';
import {OperatorClient} from '../operator_client.js';
import {Terminal} from '../terminal.js';
import {reportClientError} from './publish_command.js';

/** Shows what a host tells of itself. */
export async function showStatus(
  terminal: Terminal,
  client: OperatorClient,
  asJson: boolean,
): Promise<ExitCode> {
  const status = await client.status();
  if (status.isErr()) return reportClientError(terminal, status.error);
  if (asJson) {
    terminal.out(JSON.stringify(status.value));
    return EXIT_CODE.ok;
  }
  for (const [name, value] of Object.entries(status.value)) {
    terminal.out(`${name.padEnd(14)} ${value}`);
  }
  return EXIT_CODE.ok;
}
