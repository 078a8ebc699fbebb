/** Prints errors of the operator API. @packageDocumentation */

import {EXIT_CODE, ExitCode} from './exit_code.js';
import {ClientError} from './operator_client.js';
import {Terminal} from './terminal.js';

/**
 * Prints an error and how to resolve it.
 *
 * @param terminal - receives the output.
 * @param error - the error.
 * @returns the exit code for this type of error.
 */
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
      terminal.error('ask any host again with "fuchsiacleat resume <id>"');
      return EXIT_CODE.unknown;
    case 'rejected':
      terminal.error(message);
      return EXIT_CODE.failed;
  }
}
