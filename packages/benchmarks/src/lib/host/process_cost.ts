/** What a process has cost, as its operating system counts it. @packageDocumentation */

import {readFile} from 'node:fs/promises';

/** Ticks of a second in `/proc/PID/stat`; fixed by Linux for programs. */
const TICKS_PER_S = 100;

/** Fields of `/proc/PID/stat` after the name of the program. */
const USER_FIELD = 11;
const KERNEL_FIELD = 12;

const KIB_PER_MIB = 1_024;
const SWITCHES = /^(?:non)?voluntary_ctxt_switches:\s+(\d+)$/gm;
const RESIDENT = /^VmRSS:\s+(\d+) kB$/m;

/** What a process has used since its start. */
export interface ProcessCost {
  /** Processor time of all its threads, in seconds. */
  processorS: number;
  /** Times at which its main thread was given the processor. */
  wakeUps: number;
  /** Memory at hand, in mebibytes. */
  residentMib: number;
}

/**
 * @param pid - a process of this machine.
 * @returns its cost so far.
 * @throws if there is no such process.
 */
export async function costOf(pid: number): Promise<ProcessCost> {
  const stat = await readFile(`/proc/${pid}/stat`, 'utf8');
  const status = await readFile(`/proc/${pid}/status`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const ticks = Number(fields[USER_FIELD]) + Number(fields[KERNEL_FIELD]);
  let wakeUps = 0;
  for (const [, count] of status.matchAll(SWITCHES)) wakeUps += Number(count);
  const resident = Number(RESIDENT.exec(status)?.[1]);
  return {
    processorS: ticks / TICKS_PER_S,
    wakeUps,
    residentMib: resident / KIB_PER_MIB,
  };
}
