/** Records of the `config` stream. @packageDocumentation */

import {z} from 'zod';
import {Kind, KINDS} from './declarations.js';

/** The stream that holds the configuration. */
export const CONFIG_STREAM = 'config';

const MAX_AUTHOR_LENGTH = 128;

/** The change of one object. */
export const changeSchema = z.object({
  kind: z.enum(KINDS as [Kind, ...Kind[]]),
  name: z.string(),
  /** The object's new fields, or null to remove it. */
  fields: z.record(z.string(), z.string()).nullable(),
});

/** See {@link changeSchema}. */
export type Change = z.output<typeof changeSchema>;

/** A publication: a delta against a base version. */
export const publicationSchema = z.object({
  type: z.literal('publication'),
  base: z.number().int().min(0),
  changes: z.array(changeSchema),
  message: z.string().default(''),
  /** Who publishes, as the tool was told; not authenticated. */
  author: z.string().max(MAX_AUTHOR_LENGTH).optional(),
});

/** See {@link publicationSchema}. */
export type Publication = z.output<typeof publicationSchema>;

/** An id that a publisher may choose, to ask for the verdict later. */
export const publicationIdSchema = z.string().regex(/^[\w.-]{1,100}$/);

/** What became of a publication. */
export const verdictSchema = z.discriminatedUnion('accepted', [
  z.object({accepted: z.literal(true), version: z.number().int()}),
  z.object({
    accepted: z.literal(false),
    version: z.number().int(),
    reasons: z.array(z.string()),
  }),
]);

/** See {@link verdictSchema}. */
export type Verdict = z.output<typeof verdictSchema>;
