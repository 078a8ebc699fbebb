/** Messages about the configuration and the targets between hosts. @packageDocumentation */

import {z} from 'zod';
import {
  EvacuationSet,
  evacuationSetSchema,
} from '../evacuation/evacuation_messages.js';
import {PeerMethod} from '../peers/peer_network.js';
import {processReport} from './process_reports.js';
import {RefillState, refillStateSchema} from './store_refill.js';

const coldReportSchema = z.object({leftMs: z.number(), ageMs: z.number()});

/**
 * The part of a registration that hosts need; only the reader needs the models.
 */
const summarySchema = z.object({
  id: z.string(),
  startedMs: z.number(),
  service: z.string(),
  address: z.string(),
  zone: z.string(),
  softwareVersion: z.string().optional(),
  slots: z.number(),
  isLeaving: z.boolean(),
  hasEnded: z.boolean().optional(),
  cold: coldReportSchema.optional(),
});

/** Age in milliseconds; infinite if nothing was read yet. */
const ageSchema = z.union([z.number(), z.literal(Infinity)]);

/** Version of a configuration; -Infinity if none is in force yet. */
const versionSchema = z.union([z.number(), z.literal(-Infinity)]);

const updateRequestSchema = z.object({
  /** Incarnation of the reader that sent the last reply. */
  reader: z.string(),
  /** Revision of the reader's targets in the last reply. */
  revision: z.number(),
  /** Version of the configuration in force on the requesting host. */
  version: versionSchema,
  /** Availability zone of the requesting host. */
  zone: z.string(),
});

const updateReplySchema = z.object({
  /** Version of the configuration in force on the reader. */
  version: z.number(),
  /** Time since the store last confirmed that version. */
  configAgeMs: ageSchema,
  /** Time since the targets were read from the store. */
  targetsAgeMs: ageSchema,
  revision: z.number(),
  targets: z.array(
    z.object({id: z.string(), notice: summarySchema.optional()}),
  ),
  /**
   * Name of the host to fetch that version from, if the requesting host lacks
   * it and need not read the store.
   */
  source: z.string().optional(),
  refill: refillStateSchema.optional(),
  /** Missing in the replies of readers of a release without evacuations. */
  evacuations: evacuationSetSchema.optional(),
});

/** Request of a host to the reader. */
export type UpdateRequest = z.output<typeof updateRequestSchema>;

/** Reply of the reader. */
export type UpdateReply = z.output<typeof updateReplySchema>;

export const GET_UPDATES: PeerMethod<UpdateRequest, UpdateReply> = {
  name: 'news-ask',
  body: updateRequestSchema,
  event: updateReplySchema,
};

/** Fetches a configuration, in the encoding of the store, from another host. */
export const GET_CONFIG: PeerMethod<{version: number}, {text?: Uint8Array}> = {
  name: 'config-ask',
  body: z.object({version: z.number()}),
  event: z.object({text: z.instanceof(Uint8Array).optional()}),
};

/** Reports that a process is leaving, which the reader may not know yet. */
export const TARGET_LEAVING = processReport('target-leaves');

/** Reports that a process was seen to have ended. */
export const TARGET_ENDED = processReport('target-ended');

/** Notifies hosts that the reader has updates. */
export const UPDATE_HINT: PeerMethod<
  {revision: number; refill?: RefillState; evacuations?: EvacuationSet},
  never
> = {
  name: 'news-hint',
  body: z.object({
    revision: z.number(),
    refill: refillStateSchema.optional(),
    evacuations: evacuationSetSchema.optional(),
  }),
  event: z.never(),
};
