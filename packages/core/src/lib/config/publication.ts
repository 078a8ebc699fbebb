/** Schemas of publications in the `config` stream. @packageDocumentation */

import {z} from 'zod';
import {Kind, KINDS} from './declarations.js';

/** Name of the log stream that holds the configuration. */
export const CONFIG_STREAM = 'config';

const MAX_AUTHOR_LENGTH = 128;

/** Schema of a change of one object. */
export const changeSchema = z.object({
  kind: z.enum(KINDS as [Kind, ...Kind[]]),
  name: z.string(),
  /** New fields of the object, or null to remove it. */
  fields: z.record(z.string(), z.string()).nullable(),
});

/** See {@link changeSchema}. */
export type Change = z.output<typeof changeSchema>;

/** Schema of a publication: a set of changes against a base version. */
export const publicationSchema = z.object({
  type: z.literal('publication'),
  base: z.number().int().min(0),
  changes: z.array(changeSchema),
  message: z.string().default(''),
  /**
   * Name of the author as passed to the command-line tool; not authenticated.
   */
  author: z.string().max(MAX_AUTHOR_LENGTH).optional(),
});

/** See {@link publicationSchema}. */
export type Publication = z.output<typeof publicationSchema>;

/**
 * Schema of a publication id. A publisher may choose the id in order to look up
 * the verdict later.
 */
export const publicationIdSchema = z.string().regex(/^[\w.-]{1,100}$/);

/**
 * Schema of the verdict on a publication: accepted or rejected with reasons.
 */
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
