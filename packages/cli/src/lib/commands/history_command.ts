/** The `fuchsiacleat history` command. @packageDocumentation */

import {HistoryEntry, objectId} from '@fuchsiacleat/core';
import {reportClientError} from '../client_error_report.js';
import {EXIT_CODE, ExitCode} from '../exit_code.js';
import {OperatorClient} from '../operator_client.js';
import {formatTable} from '../table.js';
import {Terminal} from '../terminal.js';

const MAX_LISTED_OBJECTS = 3;

/** Options of `history`. */
export interface HistoryOptions {
  /** Maximum number of versions to show. */
  limit: number;
  json: boolean;
}

/** Shows accepted versions, newest first. */
export async function history(
  terminal: Terminal,
  client: OperatorClient,
  {limit, json}: HistoryOptions,
): Promise<ExitCode> {
  const entries = await client.history();
  if (entries.isErr()) return reportClientError(terminal, entries.error);
  const shown = entries.value.slice(-limit).reverse();
  if (json) {
    terminal.out(JSON.stringify(shown));
    return EXIT_CODE.ok;
  }
  const rows = shown.map(entry => [
    String(entry.version),
    new Date(entry.atMs).toISOString(),
    entry.author ?? '',
    summarize(entry),
    entry.message,
  ]);
  const header = ['VERSION', 'ACCEPTED', 'AUTHOR', 'CHANGES', 'MESSAGE'];
  for (const line of formatTable(header, rows)) terminal.out(line);
  return EXIT_CODE.ok;
}

function summarize({changes}: HistoryEntry): string {
  const ids = changes.map(({kind, name}) => objectId(kind, name));
  const rest = ids.length - MAX_LISTED_OBJECTS;
  const listed = ids.slice(0, MAX_LISTED_OBJECTS).join(' ');
  return rest > 0 ? `${listed} and ${rest} more` : listed;
}
