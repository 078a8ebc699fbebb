/** The `fuchsiacleat diff` command. @packageDocumentation */

import {Change, RawObject, formatFault, objectId} from '@fuchsiacleat/core';
import {reportClientError} from '../client_error_report.js';
import {computeDelta} from '../delta.js';
import {EXIT_CODE, ExitCode} from '../exit_code.js';
import {OperatorClient} from '../operator_client.js';
import {Terminal} from '../terminal.js';
import {readAndCheck, reportFaultCount} from './check_command.js';

/**
 * Shows what publishing a folder would change.
 *
 * @param terminal - receives the output.
 * @param client - client of the host whose configuration is compared.
 * @param folder - path of the folder.
 * @returns `differs` if there is a difference.
 */
export async function diff(
  terminal: Terminal,
  client: OperatorClient,
  folder: string,
): Promise<ExitCode> {
  const {source, faults} = await readAndCheck(folder);
  for (const fault of faults) terminal.error(formatFault(fault));
  if (faults.length > 0) return reportFaultCount(terminal, faults.length);
  const current = await client.config();
  if (current.isErr()) return reportClientError(terminal, current.error);
  const changes = computeDelta(current.value.objects, source.objects);
  for (const line of formatChanges(current.value.objects, changes)) {
    terminal.out(line);
  }
  const {version} = current.value;
  if (changes.length === 0) {
    terminal.out(`no difference to version ${version}`);
    return EXIT_CODE.ok;
  }
  terminal.out(`${changes.length} changes to version ${version}`);
  return EXIT_CODE.differs;
}

/**
 * Formats changes, with the changed fields indented below each object.
 *
 * @param current - the objects before the changes.
 * @param changes - the changes.
 * @returns lines that start with `+` for an added object, `-` for a removed
 *     object and `~` for an object whose fields change.
 */
export function formatChanges(
  current: readonly RawObject[],
  changes: readonly Change[],
): string[] {
  const before = new Map(
    current.map(({kind, name, fields}) => [objectId(kind, name), fields]),
  );
  return changes.flatMap(({kind, name, fields}) => {
    const id = objectId(kind, name);
    const known = before.get(id);
    const sign = known === undefined ? '+' : fields === null ? '-' : '~';
    return [`${sign} ${id}`, ...formatFields(known ?? {}, fields ?? {})];
  });
}

function formatFields(
  before: Record<string, string>,
  after: Record<string, string>,
): string[] {
  const names = new Set([...Object.keys(before), ...Object.keys(after)]);
  const lines: string[] = [];
  for (const name of [...names].sort()) {
    if (before[name] === after[name]) continue;
    if (name in before) lines.push(`    - ${name} = ${before[name]}`);
    if (name in after) lines.push(`    + ${name} = ${after[name]}`);
  }
  return lines;
}
