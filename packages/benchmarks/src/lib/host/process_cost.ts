/** Reads the resource use of a process from `/proc`. @packageDocumentation */

import {readFile} from 'node:fs/promises';

/** Clock ticks per second in `/proc/PID/stat`; Linux fixes this for user space. */
const TICKS_PER_S = 100;

/** Indexes of the fields of `/proc/PID/stat`, counted after the program name. */
const USER_FIELD = 11;
const KERNEL_FIELD = 12;

const KIB_PER_MIB = 1_024;
const SWITCHES = /^(?:non)?voluntary_ctxt_switches:\s+(\d+)$/gm;
const RESIDENT = /^VmRSS:\s+(\d+) kB$/m;

/** Resource use of a process since its start. */
export interface ProcessCost {
  /** Processor time of all its threads, in seconds. */
  processorS: number;
  /** Number of context switches of its main thread. */
  wakeUps: number;
  /** Resident memory, in mebibytes. */
  residentMib: number;
}

/**
 * @param pid - id of a process on this machine.
 * @returns its resource use so far.
 * @throws if the process does not exist.
 */
export async function readCost(pid: number): Promise<ProcessCost> {
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
