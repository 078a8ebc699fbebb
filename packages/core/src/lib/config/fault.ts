/** Validation faults in declarations. @packageDocumentation */

/** A validation fault, with its location in the source if known. */
export interface Fault {
  /** Id of the object, such as `model/drafter`; empty for a whole file. */
  object: string;
  /** Name of the invalid field, if the fault concerns a single field. */
  field?: string;
  /** Describes what is wrong and what was expected. */
  message: string;
  /** Path of the file, as passed to the reader. */
  file?: string;
  /** Line number in the file, starting at 1. */
  line?: number;
}

/**
 * Formats a fault for display.
 *
 * @param fault - the fault.
 * @returns one line, such as
 *     `a.ini:3: model/x: version: no valid version "y"`.
 */
export function formatFault(fault: Fault): string {
  const location =
    fault.file === undefined ? '' : `${fault.file}:${fault.line}: `;
  const parts = [fault.object, fault.field, fault.message].filter(Boolean);
  return location + parts.join(': ');
}
