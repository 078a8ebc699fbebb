/** Writes log lines without ever waiting for their reader. @packageDocumentation */

import {Socket} from 'node:net';

/** Bytes that may wait for a slow reader before lines are dropped. */
const MAX_WAITING_BYTES = 256 * 1024;

/** File descriptor of the standard output. */
const STDOUT_FD = 1;

/** What lines are written to; a part of a writable stream. */
export interface LineStream {
  readonly writableLength: number;
  write(text: string): boolean;
}

/**
 * Drops lines when their reader falls behind, and says how many once it has
 * caught up. A write to a pipe that nobody reads would block the process.
 */
export class LineWriter {
  private dropped = 0;

  /** @param stream - takes the lines; must not block. */
  constructor(private readonly stream: LineStream) {}

  /** Lines that were dropped since the last line that tells of it. */
  get droppedLines(): number {
    return this.dropped;
  }

  /** @param line - a line without its end. */
  write(line: string): void {
    if (this.stream.writableLength > MAX_WAITING_BYTES) {
      this.dropped += 1;
      return;
    }
    if (this.dropped > 0) {
      const count = this.dropped;
      this.dropped = 0;
      this.stream.write(`level=warn event=log_lines_dropped count=${count}\n`);
    }
    this.stream.write(`${line}\n`);
  }
}

/** @returns the standard output as a stream that does not block. */
export function openStdout(): LineStream {
  try {
    const socket = new Socket({fd: STDOUT_FD, readable: false});
    // Nobody can be told that the standard output has gone.
    socket.on('error', () => {});
    return socket;
  } catch {
    // A file: writes to it do not wait for a reader.
    return process.stdout;
  }
}
