/** Faults found in declarations. @packageDocumentation */

/** One fault, with where it stands if that is known. */
export interface Fault {
  /** Identifies the object, such as `model/drafter`; empty for a whole file. */
  object: string;
  /** The field at fault, if it is one field's. */
  field?: string;
  /** What is wrong and what was expected. */
  message: string;
  /** Path of the file as it was given. */
  file?: string;
  /** Line in the file, from 1. */
  line?: number;
}

/**
 * @param fault - the fault.
 * @returns one line such as `a.ini:3: model/x: version: no such version "y"`.
 */
export function formatFault(fault: Fault): string {
  const place = fault.file === undefined ? '' : `${fault.file}:${fault.line}: `;
  const parts = [fault.object, fault.field, fault.message].filter(Boolean);
  return place + parts.join(': ');
}
