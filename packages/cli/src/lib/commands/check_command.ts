/** The `fuchsiacleat check` command. @packageDocumentation */

import {
  DeclarationSource,
  Fault,
  checkDeclarations,
  formatFault,
  readDeclarations,
} from '@fuchsiacleat/core';
import {EXIT_CODE, ExitCode} from '../exit_code.js';
import {Terminal} from '../terminal.js';

/**
 * Reads and validates a folder of declarations.
 *
 * @param folder - path of the folder.
 * @returns the declarations and all faults, with file and line.
 */
export async function readAndCheck(
  folder: string,
): Promise<{source: DeclarationSource; faults: Fault[]}> {
  const source = await readDeclarations(folder);
  const {faults} = checkDeclarations(source.objects);
  const located = faults.map(fault => source.map.locate(fault));
  return {source, faults: [...source.faults, ...located]};
}

/** Validates a folder of declarations and reports all faults. */
export async function check(
  terminal: Terminal,
  folder: string,
): Promise<ExitCode> {
  const {source, faults} = await readAndCheck(folder);
  for (const fault of faults) terminal.error(formatFault(fault));
  if (faults.length > 0) return reportFaultCount(terminal, faults.length);
  terminal.out(`${source.objects.length} objects, no faults`);
  return EXIT_CODE.ok;
}

/** Prints the number of faults and returns the exit code for them. */
export function reportFaultCount(terminal: Terminal, count: number): ExitCode {
  const noun = count === 1 ? 'fault' : 'faults';
  terminal.error(`${count} ${noun}; nothing can be published until mended`);
  return EXIT_CODE.faults;
}
