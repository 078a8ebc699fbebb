/** A fake terminal for tests. @packageDocumentation */

import {Terminal} from '../lib/terminal.js';

/** Records all lines that are printed. */
export class FakeTerminal implements Terminal {
  readonly output: string[] = [];
  readonly errors: string[] = [];

  out(line: string): void {
    this.output.push(line);
  }

  error(line: string): void {
    this.errors.push(line);
  }
}
