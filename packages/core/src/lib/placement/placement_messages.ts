/** Messages between a zone's hosts and its controller. @packageDocumentation */

import {z} from 'zod';
import {PeerMethod} from '../peers/peer_network.js';
import {ZoneView, zoneViewSchema} from './replica_directory.js';

const wantSchema = z.object({
  model: z.string(),
  adapter: z.string().optional(),
  /** How long the longest-waiting request can still wait, in milliseconds. */
  slackMs: z.number(),
  /** Requests that wait at the host. */
  waiting: z.number().int().min(0),
});

/** What waits for a replica at one host. */
export type Want = z.output<typeof wantSchema>;

const wantAnswerSchema = z.discriminatedUnion('type', [
  z.object({type: z.literal('ready'), view: zoneViewSchema}),
  z.object({type: z.literal('impossible'), message: z.string()}),
  /** The asked host does not hold the lease; the answer comes from another. */
  z.object({type: z.literal('not-controller')}),
]);

/** What became of a {@link Want}. */
export type WantAnswer = z.output<typeof wantAnswerSchema>;

/** Asks the zone controller for a replica; answered once it is ready. */
export const WANT: PeerMethod<Want, WantAnswer> = {
  name: 'placement.want',
  body: wantSchema,
  event: wantAnswerSchema,
};

/** The controller tells the zone's hosts what its targets hold. */
export const ZONE_VIEW: PeerMethod<ZoneView, never> = {
  name: 'placement.view',
  body: zoneViewSchema,
  event: z.never(),
};

/** A host that has missed a view asks the controller for the whole of it. */
export const GET_VIEW: PeerMethod<
  Record<string, never>,
  {view: ZoneView | null}
> = {
  name: 'placement.get-view',
  body: z.record(z.string(), z.never()),
  event: z.object({view: zoneViewSchema.nullable()}),
};
