/** The `fuchsiacleat explain` command. @packageDocumentation */

import {createReadStream} from 'node:fs';
import {Readable} from 'node:stream';
import {createInterface} from 'node:readline';
import {ParsedLine, explainRequest, parseLogLine} from '@fuchsiacleat/core';
import {EXIT_CODE, ExitCode} from '../exit_code.js';
import {Terminal} from '../terminal.js';

/**
 * Explains the outcome of a request from the log lines of hosts.
 *
 * @param id - id of the request.
 * @param files - log files; if empty, standard input is read.
 * @param terminal - receives the output.
 * @param input - the standard input.
 * @returns `failed` if no line names the request or a file can't be read.
 */
export async function explain(
  id: string,
  files: readonly string[],
  terminal: Terminal,
  input: Readable,
): Promise<ExitCode> {
  const parsed: ParsedLine[] = [];
  const streams =
    files.length === 0 ? [input] : files.map(file => createReadStream(file));
  try {
    for (const stream of streams) await collectLines(stream, parsed);
  } catch (error) {
    terminal.error((error as Error).message);
    return EXIT_CODE.failed;
  }
  const explanation = explainRequest(id, parsed);
  if (explanation === undefined) {
    terminal.error(`no line names the request ${id}`);
    return EXIT_CODE.failed;
  }
  for (const line of explanation.lines) terminal.out(line);
  const cause = explanation.cause ?? 'no line tells how the request ended';
  terminal.out(`cause: ${cause}`);
  return EXIT_CODE.ok;
}

async function collectLines(
  stream: Readable,
  into: ParsedLine[],
): Promise<void> {
  for await (const line of createInterface({input: stream})) {
    const parsed = parseLogLine(line);
    if (parsed !== undefined) into.push(parsed);
  }
}
