/** The trial of suspect prompt parts. @packageDocumentation */

import {z} from 'zod';

export const trialSchema = z.object({
  /** Id of the request that is sent as the trial. */
  requestId: z.string(),
  /** Digests of the shared parts of its prompt, and of the request. */
  parts: z.array(z.string()),
  /** Id of the target that it is sent to. */
  target: z.string(),
});

/**
 * A request with suspect parts that is sent while no other request with them
 * is. Its target runs no other trial, so that its end tells them apart.
 */
export type Trial = z.output<typeof trialSchema>;

/** A trial that has been granted. */
export interface GrantedTrial extends Trial {
  /** The parts that are suspect, which an end of the target speaks against. */
  tried: string[];
}
