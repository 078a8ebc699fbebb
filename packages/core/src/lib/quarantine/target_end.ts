/** Reports of ended target processes. @packageDocumentation */

import {z} from 'zod';

export const runAtEndSchema = z.object({
  /** Id of the request. */
  id: z.string(),
  /** Digests of the shared parts of its prompt, in order, and of the request. */
  parts: z.array(z.string()),
  /** Whether the target had begun to answer, as far as this host knows. */
  hasBegun: z.boolean(),
  /** The suspect parts that the run was the trial of; empty if it was none. */
  tried: z.array(z.string()),
});

/**
 * A run that ended with the process of its target, before the target had shown
 * that it can answer the request.
 */
export type RunAtEnd = z.output<typeof runAtEndSchema>;

export const targetEndSchema = z.object({
  /** Id of the target. */
  target: z.string(),
  /** Start time of the process that ended, Unix milliseconds. */
  startedMs: z.number(),
  runs: z.array(runAtEndSchema),
});

/**
 * The end of a target's process, as one host has seen it. A host may report
 * further runs of the same process later.
 */
export type TargetEnd = z.output<typeof targetEndSchema>;
