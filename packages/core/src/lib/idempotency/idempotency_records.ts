/** Records of the `idempotency.<shard>` streams. @packageDocumentation */

import {z} from 'zod';

/** Schema of the response stored for repeats of a request. */
export const storedAnswerSchema = z.object({
  status: z.number().int(),
  headers: z.record(z.string(), z.string()),
  /** The body in base64. */
  body: z.string(),
});

/** See {@link storedAnswerSchema}. */
export type StoredAnswer = z.output<typeof storedAnswerSchema>;

/** Schema of a record of the streams. */
export const idempotencyRecordSchema = z.discriminatedUnion('type', [
  z.object({
    type: z.literal('claim'),
    /** Digest of the team and its idempotency key. */
    key: z.string(),
    /** Digest of the request's content. */
    content: z.string(),
  }),
  z.object({
    type: z.literal('result'),
    /** Record id of the claim. */
    claim: z.string(),
    key: z.string(),
    /** The response; null if it is too large to be stored. */
    answer: storedAnswerSchema.nullable(),
  }),
  z.object({
    type: z.literal('abandon'),
    /** Record id of a claim whose request did not run and will not run. */
    claim: z.string(),
    key: z.string(),
  }),
]);

/** See {@link idempotencyRecordSchema}. */
export type IdempotencyRecord = z.output<typeof idempotencyRecordSchema>;
