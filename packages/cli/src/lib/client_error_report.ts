/** Errors of the operator API, written for people. @packageDocumentation */

import {EXIT_CODE, ExitCode} from './exit_code.js';
import {ClientError} from './operator_client.js';
import {Terminal} from './terminal.js';

/**
 * Writes an error and what to do about it.
 *
 * @param terminal - where to write.
 * @param error - what went wrong.
 * @returns the exit code that tells the kind of error.
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
