/** Schemas and types of a zone controller's decisions. @packageDocumentation */

import {z} from 'zod';
import {CHECKPOINT_LOCATION} from './load_times.js';

const replicaSchema = z.object({model: z.string(), version: z.string()});

const loadSchema = z.object({
  kind: z.literal('load'),
  /**
   * Also used as the order's id, so that the order takes effect at most once.
   */
  id: z.string(),
  target: z.string(),
  model: z.string(),
  version: z.string(),
  /** Size of the weights plus the KV memory reserved for requests. */
  bytes: z.number(),
  /** Where the target reads the checkpoint from. */
  place: z.enum(
    Object.values(CHECKPOINT_LOCATION) as ['memory', 'disk', 'remote'],
  ),
  /** Replicas on the target that are evicted first to free memory. */
  evict: z.array(replicaSchema),
});

const evictSchema = z.object({
  kind: z.literal('evict'),
  id: z.string(),
  target: z.string(),
  model: z.string(),
  version: z.string(),
});

/** A decision about replicas, recorded before its orders are sent. */
export const decisionSchema = z.discriminatedUnion('kind', [
  loadSchema,
  evictSchema,
]);

/** Loads a replica, after evicting others if memory is short. */
export type LoadDecision = z.output<typeof loadSchema>;

/** Evicts a replica. */
export type EvictDecision = z.output<typeof evictSchema>;

/** A decision about replicas, see {@link decisionSchema}. */
export type ReplicaDecision = z.output<typeof decisionSchema>;

/** An adapter on a replica. */
export interface PlacedAdapter {
  model: string;
  version: string;
  adapter: string;
}

/**
 * Loads an adapter onto a replica. This adds no replica and takes only
 * milliseconds, so the order is sent without recording the decision.
 */
export interface AdapterDecision {
  kind: 'load-adapter';
  id: string;
  target: string;
  model: string;
  version: string;
  adapter: string;
  bytes: number;
  /** Adapters of idle replicas on the target, evicted first to free memory. */
  evict: PlacedAdapter[];
}

/** Any decision of a zone controller. */
export type Decision = ReplicaDecision | AdapterDecision;
