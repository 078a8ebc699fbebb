/** Messages between hosts about the limits of targets. @packageDocumentation */

import {z} from 'zod';
import {PeerMethod} from '../peers/peer_network.js';
import {SendGrant, SendRequest} from './send_loans.js';

const limitSchema = z.object({
  /** Id of the target. */
  target: z.string(),
  /** Start time of its process, Unix milliseconds. */
  startedMs: z.number(),
  /** Requests per second from all hosts; unset if there is no limit any more. */
  perSecond: z.number().optional(),
  /** Time since the target said so, in milliseconds. */
  namedAgoMs: z.number(),
});

/** What a target said about its limit, and when. */
export type LimitState = z.output<typeof limitSchema>;

/** Reports what a target said to the host that shares the limits. */
export const REPORT_LIMIT: PeerMethod<LimitState, never> = {
  name: 'limit-report',
  body: limitSchema,
  event: z.never(),
};

const limitsSchema = z.object({limits: z.array(limitSchema)});

/** Tells another host what targets said. */
export const PUBLISH_LIMITS: PeerMethod<
  z.output<typeof limitsSchema>,
  never
> = {
  name: 'limit-states',
  body: limitsSchema,
  event: z.never(),
};

const coldReportSchema = z.object({leftMs: z.number(), ageMs: z.number()});

const sendRequestSchema = z.object({
  target: z.string(),
  startedMs: z.number(),
  perSecond: z.number(),
  maxWaitMs: z.number(),
  cold: coldReportSchema.optional(),
});

const sendGrantSchema = z.object({
  isGranted: z.boolean(),
  waitMs: z.number(),
  cold: coldReportSchema.optional(),
});

/** Asks the host that shares the limits for a send. */
export const REQUEST_SEND: PeerMethod<SendRequest, SendGrant> = {
  name: 'limit-request-send',
  body: sendRequestSchema,
  event: sendGrantSchema,
};
