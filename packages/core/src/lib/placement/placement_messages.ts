/** Messages between the hosts of a zone and its controller. @packageDocumentation */

import {z} from 'zod';
import {PeerMethod} from '../peers/peer_network.js';
import {ZoneView, zoneViewSchema} from './replica_directory.js';

const replicaRequestSchema = z.object({
  model: z.string(),
  adapter: z.string().optional(),
  /** How long the most urgent request can still wait, in milliseconds. */
  slackMs: z.number(),
  /** Number of requests that wait at the host. */
  waiting: z.number().int().min(0),
});

/** A host's request for a replica that its callers wait for. */
export type ReplicaRequest = z.output<typeof replicaRequestSchema>;

const replicaResponseSchema = z.discriminatedUnion('type', [
  z.object({type: z.literal('ready'), view: zoneViewSchema}),
  z.object({type: z.literal('impossible'), message: z.string()}),
  /**
   * The receiving host does not hold the lease; the sender must ask another.
   */
  z.object({type: z.literal('not-controller')}),
]);

/** Response to a {@link ReplicaRequest}. */
export type ReplicaResponse = z.output<typeof replicaResponseSchema>;

/**
 * Requests a replica from the zone controller, which answers once it is ready.
 */
export const REQUEST_REPLICA: PeerMethod<ReplicaRequest, ReplicaResponse> = {
  name: 'placement.want',
  body: replicaRequestSchema,
  event: replicaResponseSchema,
};

/** Publishes what the zone's targets hold, from the controller to the hosts. */
export const ZONE_VIEW: PeerMethod<ZoneView, never> = {
  name: 'placement.view',
  body: zoneViewSchema,
  event: z.never(),
};

/** Requests the full view from the controller; for hosts that missed a view. */
export const GET_VIEW: PeerMethod<
  Record<string, never>,
  {view: ZoneView | null}
> = {
  name: 'placement.get-view',
  body: z.record(z.string(), z.never()),
  event: z.object({view: zoneViewSchema.nullable()}),
};
