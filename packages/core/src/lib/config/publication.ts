/** Records of the `config` stream. @packageDocumentation */

import {z} from 'zod';
import {Kind, KINDS} from './declarations.js';

/** The stream that holds the configuration. */
export const CONFIG_STREAM = 'config';

const changeSchema = z.object({
  kind: z.enum(KINDS as [Kind, ...Kind[]]),
  name: z.string(),
  /** The object's new fields, or null to remove it. */
  fields: z.record(z.string(), z.string()).nullable(),
});

/** The change of one object. */
export type Change = z.output<typeof changeSchema>;

/** A publication: a delta against a base version. */
export const publicationSchema = z.object({
  type: z.literal('publication'),
  base: z.number().int().min(0),
  changes: z.array(changeSchema),
  message: z.string().default(''),
});

/** See {@link publicationSchema}. */
export type Publication = z.output<typeof publicationSchema>;

/** What became of a publication. */
export type Verdict =
  | {accepted: true; version: number}
  | {accepted: false; version: number; reasons: string[]};
