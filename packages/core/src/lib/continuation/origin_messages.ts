/** Messages between hosts about the origins of streams. @packageDocumentation */

import {z} from 'zod';
import {PeerMethod} from '../peers/peer_network.js';

const groupSchema = z.object({
  service: z.string(),
  softwareVersion: z.string(),
  keys: z.array(z.string()),
});

const originsSchema = z.object({groups: z.array(groupSchema)});

/** Body of {@link REPORT_ORIGINS} and {@link PUBLISH_ORIGINS}. */
export type OriginsBody = z.output<typeof originsSchema>;

/** Tells the host that passes them on of streams that have begun. */
export const REPORT_ORIGINS: PeerMethod<OriginsBody, never> = {
  name: 'stream-origins',
  body: originsSchema,
  event: z.never(),
};

/** Tells another host of streams that have begun anywhere. */
export const PUBLISH_ORIGINS: PeerMethod<OriginsBody, never> = {
  name: 'stream-origins-all',
  body: originsSchema,
  event: z.never(),
};

const knowledgeSchema = originsSchema.extend({
  /** Whether the versions of before the start of the host are known. */
  knowsPast: z.boolean(),
  past: z.array(
    z.object({
      service: z.string(),
      softwareVersion: z.string(),
      agoMs: z.number(),
    }),
  ),
});

/** What a host knows of the versions that streams can have begun at. */
export type VersionKnowledge = z.output<typeof knowledgeSchema>;

const exchangeSchema = knowledgeSchema.extend({
  /** Whether the sender knows the streams of other hosts already. */
  knowsStreams: z.boolean(),
});

/** Body of {@link EXCHANGE_ORIGINS}, with the streams of the sender. */
export type ExchangeBody = z.output<typeof exchangeSchema>;

/** Exchanges what two hosts know. */
export const EXCHANGE_ORIGINS: PeerMethod<ExchangeBody, VersionKnowledge> = {
  name: 'stream-origins-exchange',
  body: exchangeSchema,
  event: knowledgeSchema,
};
