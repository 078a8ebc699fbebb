/** Where the tool writes. @packageDocumentation */

/** Takes lines for people and for other programs. */
export interface Terminal {
  /** Writes a line to standard output. */
  out(line: string): void;
  /** Writes a line to standard error. */
  error(line: string): void;
}
