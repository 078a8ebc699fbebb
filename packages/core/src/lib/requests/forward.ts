/** Messages that forward requests to hosts of other zones. @packageDocumentation */

import {z} from 'zod';
import {PeerMethod} from '../peers/peer_network.js';
import {generationEventSchema, generationRequestSchema} from './generation.js';
import {
  FAILURE,
  Failure,
  FailureReason,
  REFUSAL,
  RefusalReason,
  fail,
} from './outcome.js';

/**
 * Time after the deadline for which a forwarding host waits for the outcome that
 * its peer reports, in milliseconds.
 */
export const OUTCOME_GRACE_MS = 40;

const forwardedRequestSchema = z.object({
  request: generationRequestSchema,
  /** Time left until the deadline, in milliseconds. */
  remainingMs: z.number(),
  traceparent: z.string(),
  /** Targets that failed in earlier attempts. */
  avoid: z.array(z.string()),
  /** Interrupted run to attach to, instead of starting a new one. */
  resume: z.object({target: z.string(), offset: z.number().int()}).optional(),
});

/** A request that is forwarded to another zone. */
export type ForwardedRequest = z.output<typeof forwardedRequestSchema>;

/** Schema of a request outcome sent between hosts. */
export const outcomeSchema = z.discriminatedUnion('type', [
  z.object({type: z.literal('served')}),
  z.object({
    type: z.literal('refused'),
    reason: z.enum(Object.values(REFUSAL) as [RefusalReason]),
    message: z.string(),
    retryAfterMs: z.number().optional(),
  }),
  z.object({
    type: z.literal('failed'),
    reason: z.enum(Object.values(FAILURE) as [FailureReason]),
    message: z.string(),
  }),
  z.object({type: z.literal('cancelled')}),
]);

const forwardEventSchema = z.object({
  /** Id of the request; the receiver ends the call if it differs. */
  id: z.string(),
  event: z.union([
    generationEventSchema,
    z.object({type: z.literal('target'), target: z.string()}),
    z.object({
      type: z.literal('outcome'),
      outcome: outcomeSchema,
      generated: z.number().int().optional(),
      avoid: z.string().optional(),
    }),
  ]),
});

/** An event of a forwarded request; the last event is its outcome. */
export type ForwardEvent = z.output<typeof forwardEventSchema>;

/** Peer method that runs a request on a host of another zone. */
export const FORWARD: PeerMethod<ForwardedRequest, ForwardEvent> = {
  name: 'requests.forward',
  body: forwardedRequestSchema,
  event: forwardEventSchema,
};

/** @returns the outcome of a request whose peer did not report one in time. */
export function overdueForward(): Failure {
  const message = 'the peer reported no outcome until the deadline';
  return fail(FAILURE.deadline, message);
}
