/** Memory and descriptors that a process uses. @packageDocumentation */

import {readFile, readdir} from 'node:fs/promises';

const SAMPLE_INTERVAL_MS = 100;
const BYTES_PER_KB = 1_024;

/** Samples the open descriptors of a process until it is stopped. */
export class ProcessUsage {
  /** Largest number of open descriptors of all samples. */
  maxDescriptors = 0;
  private readonly timer: NodeJS.Timeout;

  /** @param pid - id of the process. */
  constructor(private readonly pid: number) {
    this.timer = setInterval(() => void this.sample(), SAMPLE_INTERVAL_MS);
  }

  /** Ends the sampling. */
  stop(): void {
    clearInterval(this.timer);
  }

  /**
   * Returns the largest resident memory of the process so far, in bytes;
   * undefined if the process has ended.
   */
  async maxResidentBytes(): Promise<number | undefined> {
    try {
      const status = await readFile(`/proc/${this.pid}/status`, 'utf8');
      const match = /^VmHWM:\s+(\d+) kB$/m.exec(status);
      return match === null ? undefined : Number(match[1]) * BYTES_PER_KB;
    } catch {
      // The process has ended.
      return undefined;
    }
  }

  private async sample(): Promise<void> {
    try {
      const {length} = await readdir(`/proc/${this.pid}/fd`);
      this.maxDescriptors = Math.max(this.maxDescriptors, length);
    } catch {
      // The process has ended, which the tests check by itself.
    }
  }
}
