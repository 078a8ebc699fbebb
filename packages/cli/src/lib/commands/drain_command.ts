/** The `fuchsiacleat drain` command. @packageDocumentation */

import {reportClientError} from '../client_error_report.js';
import {EXIT_CODE, ExitCode} from '../exit_code.js';
import {OperatorClient} from '../operator_client.js';
import {Terminal} from '../terminal.js';

/** Requests a graceful shutdown of a host. */
export async function drain(
  terminal: Terminal,
  client: OperatorClient,
): Promise<ExitCode> {
  const status = await client.status();
  if (status.isErr()) return reportClientError(terminal, status.error);
  const {host} = status.value;
  const drained = await client.drain();
  if (drained.isErr()) return reportClientError(terminal, drained.error);
  terminal.out(`${host} takes no new requests; it stops after the last one`);
  return EXIT_CODE.ok;
}
