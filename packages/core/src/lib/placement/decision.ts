/** What a zone's controller decides. @packageDocumentation */

import {z} from 'zod';
import {PLACE} from './load_times.js';

const replicaSchema = z.object({model: z.string(), version: z.string()});

const loadSchema = z.object({
  kind: z.literal('load'),
  /** Also the id of the order, so that it has one effect at most. */
  id: z.string(),
  target: z.string(),
  model: z.string(),
  version: z.string(),
  /** Weights and kept KV memory. */
  bytes: z.number(),
  /** Where the target finds the checkpoint. */
  place: z.enum(Object.values(PLACE) as ['memory', 'disk', 'remote']),
  /** Replicas on the target that make room. */
  evict: z.array(replicaSchema),
});

const evictSchema = z.object({
  kind: z.literal('evict'),
  id: z.string(),
  target: z.string(),
  model: z.string(),
  version: z.string(),
});

/** A decision on replicas, as it is recorded before its orders. */
export const decisionSchema = z.discriminatedUnion('kind', [
  loadSchema,
  evictSchema,
]);

/** Loads a replica, evicting others first if need be. */
export type LoadDecision = z.output<typeof loadSchema>;

/** Evicts a replica. */
export type EvictDecision = z.output<typeof evictSchema>;

/** See {@link decisionSchema}. */
export type ReplicaDecision = z.output<typeof decisionSchema>;

/** An adapter on a replica. */
export interface PlacedAdapter {
  model: string;
  version: string;
  adapter: string;
}

/**
 * Loads an adapter onto a replica. It adds no replica and takes milliseconds,
 * so it is ordered without a record.
 */
export interface AdapterDecision {
  kind: 'load-adapter';
  id: string;
  target: string;
  model: string;
  version: string;
  adapter: string;
  bytes: number;
  /** Adapters of idle replicas on the target that make room. */
  evict: PlacedAdapter[];
}

/** Anything that a controller decides. */
export type Decision = ReplicaDecision | AdapterDecision;
