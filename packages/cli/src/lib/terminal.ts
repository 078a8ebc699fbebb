/** Output interface of the tool. @packageDocumentation */

/** Receives the lines that the tool prints. */
export interface Terminal {
  /** Writes a line to standard output. */
  out(line: string): void;
  /** Writes a line to standard error. */
  error(line: string): void;
}
