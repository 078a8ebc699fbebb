/** Measures the resource use of a process over time. @packageDocumentation */

import {readFile} from 'node:fs/promises';

const TICKS_PER_SECOND = 100;
const BYTES_PER_KIB = 1024;

/** Resource use of a process since its start, as read at a time. */
export interface Usage {
  atMs: number;
  /** Bytes read and written; for a running daemon, mostly on sockets. */
  ioBytes: number;
  cpuSeconds: number;
  residentBytes: number;
}

/** Resource use of a process over a time span. */
export interface Rate {
  bytesPerSecond: number;
  /** Share of one core, in percent. */
  cpuPercent: number;
  residentBytes: number;
}

/**
 * @param pid - id of the process.
 * @returns the counters of the operating system for it.
 */
export async function readUsage(pid: number): Promise<Usage> {
  const [io, stat, status] = await Promise.all(
    ['io', 'stat', 'status'].map(name =>
      readFile(`/proc/${pid}/${name}`, 'utf8'),
    ),
  );
  const counted = (key: string) =>
    Number(new RegExp(`^${key}: (\\d+)$`, 'm').exec(io)![1]);
  // The second field, the program name, may contain spaces.
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const ticks = Number(fields[11]) + Number(fields[12]);
  const residentKib = Number(/^VmRSS:\s+(\d+) kB$/m.exec(status)![1]);
  return {
    atMs: performance.now(),
    ioBytes: counted('rchar') + counted('wchar'),
    cpuSeconds: ticks / TICKS_PER_SECOND,
    residentBytes: residentKib * BYTES_PER_KIB,
  };
}

/**
 * @param readings - at least two readings, in order of time.
 * @returns the median rates between consecutive readings. A mean would include
 *   files that the runtime occasionally reads.
 */
export function medianRate(readings: readonly Usage[]): Rate {
  const rates = readings
    .slice(1)
    .map((after, i) => rateBetween(readings[i], after));
  return {
    bytesPerSecond: median(rates.map(rate => rate.bytesPerSecond)),
    cpuPercent: median(rates.map(rate => rate.cpuPercent)),
    residentBytes: median(rates.map(rate => rate.residentBytes)),
  };
}

function rateBetween(before: Usage, after: Usage): Rate {
  const seconds = (after.atMs - before.atMs) / 1_000;
  const cpuSeconds = after.cpuSeconds - before.cpuSeconds;
  return {
    bytesPerSecond: (after.ioBytes - before.ioBytes) / seconds,
    cpuPercent: (cpuSeconds / seconds) * 100,
    residentBytes: after.residentBytes,
  };
}

function median(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  const middle = sorted.length / 2;
  const low = sorted[Math.ceil(middle) - 1];
  return (low + sorted[Math.floor(middle)]) / 2;
}
