/** Compact form of the work at a target in messages between hosts. @packageDocumentation */

import {z} from 'zod';
import {PaceObservations} from './pace.js';
import {WorkSums} from './target_work.js';

/** Tokens are rounded up to this unit; most numbers then fit in two bytes. */
const TOKEN_UNIT = 64;

/** Steps of the pace for each doubling, which fit in one byte. */
const PACE_STEPS = 8;

/**
 * Work at a target: its id, requests without a first event, requests with one,
 * prompt tokens to prefill and tokens in memory in units of 64, the pace as
 * eighths of a doubling, and the number of pace observations.
 */
export const workEntrySchema = z.tuple([
  z.string(),
  z.number(),
  z.number(),
  z.number(),
  z.number(),
  z.number(),
  z.number(),
]);

/** See {@link workEntrySchema}. */
export type WorkEntry = z.output<typeof workEntrySchema>;

/** Work and pace of a target. */
export interface TargetReport {
  sums: WorkSums;
  pace: PaceObservations;
}

/** Encodes the work at a target. */
export function encodeWork(id: string, {sums, pace}: TargetReport): WorkEntry {
  return [
    id,
    sums.waiting,
    sums.running,
    Math.ceil(sums.prefillTokens / TOKEN_UNIT),
    Math.ceil(sums.memoryTokens / TOKEN_UNIT),
    Math.round(pace.log * PACE_STEPS),
    pace.count,
  ];
}

/** Decodes the work at a target. */
export function decodeWork(entry: WorkEntry): TargetReport {
  const [, waiting, running, prefill, memory, log, count] = entry;
  return {
    sums: {
      waiting,
      running,
      prefillTokens: prefill * TOKEN_UNIT,
      memoryTokens: memory * TOKEN_UNIT,
    },
    pace: {log: log / PACE_STEPS, count},
  };
}
