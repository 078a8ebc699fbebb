/** Service calls and the events of their responses. @packageDocumentation */

import {z} from 'zod';
import {PeerMethod} from '../peers/peer_network.js';
import {outcomeSchema} from './forward.js';

const bytesSchema = z.instanceof(Uint8Array);
const headersSchema = z.record(z.string(), z.string());

/** Schema of a call sent between hosts; it never carries a caller's key. */
export const serviceRequestSchema = z.object({
  id: z.string(),
  team: z.string(),
  route: z.string(),
  /** Targets that can serve the call. */
  targets: z.array(z.string()),
  method: z.string(),
  /** Path and query, relative to the service's base URL. */
  path: z.string(),
  headers: headersSchema,
  body: bytesSchema,
  repeatable: z.boolean(),
});

/** See {@link serviceRequestSchema}. */
export type ServiceRequest = z.output<typeof serviceRequestSchema>;

/** Schema of one event of a service's response. */
export const serviceEventSchema = z.discriminatedUnion('type', [
  z.object({
    type: z.literal('head'),
    status: z.number().int(),
    headers: headersSchema,
  }),
  z.object({type: z.literal('chunk'), data: bytesSchema}),
]);

/** See {@link serviceEventSchema}. */
export type ServiceEvent = z.output<typeof serviceEventSchema>;

const forwardedServiceCallSchema = z.object({
  request: serviceRequestSchema,
  /** Time left until the deadline, in milliseconds. */
  remainingMs: z.number(),
  traceparent: z.string(),
  /** Targets that failed in earlier attempts. */
  avoid: z.array(z.string()),
});

/** A call that is forwarded to another zone. */
export type ForwardedServiceCall = z.output<typeof forwardedServiceCallSchema>;

const forwardServiceEventSchema = z.object({
  /** Id of the request; the receiver ends the call if it differs. */
  id: z.string(),
  event: z.union([
    serviceEventSchema,
    z.object({
      type: z.literal('outcome'),
      outcome: outcomeSchema,
      avoid: z.string().optional(),
    }),
  ]),
});

/** An event of a forwarded call; the last event is its outcome. */
export type ForwardServiceEvent = z.output<typeof forwardServiceEventSchema>;

/** Peer method that runs a service call on a host of the service's zone. */
export const FORWARD_SERVICE: PeerMethod<
  ForwardedServiceCall,
  ForwardServiceEvent
> = {
  name: 'requests.forward-service',
  body: forwardedServiceCallSchema,
  event: forwardServiceEventSchema,
};
