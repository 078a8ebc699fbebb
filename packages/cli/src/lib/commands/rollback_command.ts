/** The `fuchsiacleat rollback` command. @packageDocumentation */

import {Change, HistoryEntry, RawObject, objectId} from '@fuchsiacleat/core';
import {Result, err, ok} from 'neverthrow';
import {reportClientError} from '../client_error_report.js';
import {computeDelta} from '../delta.js';
import {EXIT_CODE, ExitCode} from '../exit_code.js';
import {HostConfig, OperatorClient} from '../operator_client.js';
import {Terminal} from '../terminal.js';
import {SubmitOptions, submit} from './submit.js';

/** Publishes the content of an earlier version as a new version. */
export async function rollback(
  terminal: Terminal,
  client: OperatorClient,
  version: number,
  options: SubmitOptions,
): Promise<ExitCode> {
  const current = await client.config();
  if (current.isErr()) return reportClientError(terminal, current.error);
  const entries = await client.history();
  if (entries.isErr()) return reportClientError(terminal, entries.error);
  const changes = computeRollback(version, current.value, entries.value);
  if (changes.isErr()) {
    terminal.error(changes.error);
    terminal.error('"fuchsiacleat history" shows the versions to choose from');
    return EXIT_CODE.failed;
  }
  const base = current.value.version;
  if (changes.value.length === 0) {
    terminal.out(`nothing to roll back; version ${base} is equal`);
    return EXIT_CODE.ok;
  }
  const message = `roll back to version ${version}`;
  const submission = {base, changes: changes.value, message};
  return submit(terminal, client, submission, options);
}

/**
 * Computes the changes that restore an earlier version.
 *
 * @param version - the version to restore.
 * @param current - the configuration in force.
 * @param entries - accepted versions, oldest first.
 * @returns the changes, or why they can't be computed.
 */
export function computeRollback(
  version: number,
  current: HostConfig,
  entries: readonly HistoryEntry[],
): Result<Change[], string> {
  if (version > current.version) {
    return err(
      `version ${version} does not exist; ${current.version} is newest`,
    );
  }
  // Skips versions that were accepted after the configuration was read. If they
  // change the same objects, the base version causes a conflict on publication.
  const undoneEntries = entries.filter(
    entry => entry.version > version && entry.version <= current.version,
  );
  const isVersionKnown =
    version === current.version || undoneEntries[0]?.replaced === version;
  if (!isVersionKnown) {
    return err(
      `version ${version} does not exist, or the host no longer knows how to ` +
        'return to it',
    );
  }
  const objects = new Map<string, RawObject>(
    current.objects.map(object => [objectId(object.kind, object.name), object]),
  );
  for (const {previous} of undoneEntries.reverse()) {
    for (const {kind, name, fields} of previous) {
      const id = objectId(kind, name);
      if (fields === null) objects.delete(id);
      else objects.set(id, {kind, name, fields});
    }
  }
  return ok(computeDelta(current.objects, [...objects.values()]));
}
