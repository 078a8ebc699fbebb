/** Non-blocking output of log lines. @packageDocumentation */

import {EventEmitter} from 'node:events';
import {Socket} from 'node:net';

/** Number of buffered bytes above which lines are dropped. */
const MAX_WAITING_BYTES = 256 * 1024;

/** File descriptor of the standard output. */
const STDOUT_FD = 1;

/** Output for lines; a subset of a writable stream. */
export interface LineStream {
  readonly writableLength: number;
  write(text: string): boolean;
}

/**
 * Writes lines and drops them while the reader falls behind, because a write to
 * a pipe that nobody reads would block the process. Once the reader has caught
 * up, it writes a line with the number of dropped lines.
 */
export class LineWriter {
  private dropped = 0;

  /** @param stream - receives the lines; its writes must not block. */
  constructor(private readonly stream: LineStream) {}

  /**
   * Number of lines dropped since the last line that reported dropped lines.
   */
  get droppedLines(): number {
    return this.dropped;
  }

  /**
   * Writes a line or drops it if too many bytes are buffered.
   *
   * @param line - the line without a line terminator.
   */
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

/**
 * Opens the standard output as a stream whose writes do not block. Lines that
 * can't be written are lost; an unhandled error would end the process.
 */
export function openStdout(): LineStream {
  const stream = openStdoutStream();
  // If the standard output can't be written, there is nowhere to report it.
  stream.on('error', () => {});
  return stream;
}

function openStdoutStream(): LineStream & EventEmitter {
  try {
    return new Socket({fd: STDOUT_FD, readable: false});
  } catch {
    // A file, whose writes do not wait for a reader, a terminal, or a pipe that
    // process.stdout is still writing to.
    return process.stdout;
  }
}
