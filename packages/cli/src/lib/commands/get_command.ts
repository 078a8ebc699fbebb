/** The `fuchsiacleat get` command. @packageDocumentation */

import {RawObject} from '@fuchsiacleat/core';
import {safe} from 'ini';
import {reportClientError} from '../client_error_report.js';
import {EXIT_CODE, ExitCode} from '../exit_code.js';
import {OperatorClient} from '../operator_client.js';
import {Terminal} from '../terminal.js';

/** Options of `get`. */
export interface GetOptions {
  /** Shows only objects of this kind; by default all kinds. */
  kind: string | undefined;
  /** Shows only the object of this name. */
  name: string | undefined;
  json: boolean;
}

/** Shows the configuration in force as declarations or as JSON. */
export async function get(
  terminal: Terminal,
  client: OperatorClient,
  {kind, name, json}: GetOptions,
): Promise<ExitCode> {
  const current = await client.config();
  if (current.isErr()) return reportClientError(terminal, current.error);
  const {version} = current.value;
  const objects = current.value.objects.filter(
    object =>
      (kind === undefined || object.kind === kind) &&
      (name === undefined || object.name === name),
  );
  if (kind !== undefined && objects.length === 0) {
    const what = name === undefined ? `a ${kind}` : `${kind} "${name}"`;
    terminal.error(`version ${version} does not have ${what}`);
    terminal.error('"fuchsiacleat get" without arguments shows everything');
    return EXIT_CODE.failed;
  }
  if (json) terminal.out(JSON.stringify({version, objects}));
  else terminal.out(formatDeclarations(version, objects));
  return EXIT_CODE.ok;
}

/**
 * Formats objects as declarations.
 *
 * @param version - version of the configuration.
 * @param objects - the objects to format.
 * @returns INI text that parses into the same objects.
 */
export function formatDeclarations(
  version: number,
  objects: readonly RawObject[],
): string {
  const sections = objects.map(({kind, name, fields}) => {
    const lines = Object.entries(fields).map(
      ([field, value]) => `${field} = ${safe(value)}`,
    );
    return [`[${kind} "${name}"]`, ...lines].join('\n');
  });
  return [`; version ${version}`, ...sections].join('\n\n');
}
