/** Request bodies and records of the engine stand-in. @packageDocumentation */

import {generationInputSchema} from '@fuchsiacleat/core';
import {z} from 'zod';

/** Body of a generation request. */
export const generateSchema = z.object({
  request_id: z.string(),
  model: z.string(),
  version: z.string().optional(),
  adapter: z.string().optional(),
  input: generationInputSchema,
  max_tokens: z.number().int().min(1),
  priority: z.number().int(),
  resume: z.boolean().default(false),
  resume_from: z.number().int().min(0).default(0),
});

/** See {@link generateSchema}. */
export type GenerateBody = z.output<typeof generateSchema>;

/** Body of an order. */
export const orderSchema = z.object({
  id: z.string(),
  fencing: z.number().int(),
  order: z.discriminatedUnion('kind', [
    z.object({kind: z.literal('noop')}),
    z.object({
      kind: z.literal('load'),
      model: z.string(),
      version: z.string(),
    }),
    z.object({
      kind: z.literal('evict'),
      model: z.string(),
      version: z.string(),
    }),
    z.object({
      kind: z.literal('load-adapter'),
      adapter: z.string(),
      model: z.string(),
    }),
    z.object({
      kind: z.literal('evict-adapter'),
      adapter: z.string(),
      model: z.string(),
    }),
    z.object({kind: z.literal('set-role'), role: z.string()}),
  ]),
});

/** Operation that an order requests. */
export type EngineOrder = z.output<typeof orderSchema>['order'];

/** Record of a generation that the engine ran, for test assertions. */
export interface EngineRun {
  requestId: string;
  model: string;
  version: string;
  adapter: string | undefined;
  /** Input text of the request. */
  text: string;
  headers: Record<string, string>;
  /** Number of generated tokens, including those after a resume. */
  tokens: number;
  /** Clock time of the start, in milliseconds. */
  startedMs: number;
  /** Clock time of each token, in milliseconds. */
  tokenTimesMs: number[];
  /** Number of connections that resumed the run. */
  resumes: number;
  /** `detached`: the run lost its connection and can be resumed. */
  state: 'running' | 'detached' | 'done' | 'cancelled';
}

/** Order that the engine executed. */
export interface ExecutedOrder {
  id: string;
  fencing: number;
  order: EngineOrder;
}
