/** Generation requests and the events of their responses. @packageDocumentation */

import {z} from 'zod';

/** Schema of the input to continue: chat messages or a plain prompt. */
export const generationInputSchema = z.union([
  z.object({
    messages: z.array(z.object({role: z.string(), content: z.string()})).min(1),
  }),
  z.object({prompt: z.string()}),
]);

/** See {@link generationInputSchema}. */
export type GenerationInput = z.output<typeof generationInputSchema>;

/** Schema of a request sent between hosts and to engines. */
export const generationRequestSchema = z.object({
  id: z.string(),
  team: z.string(),
  route: z.string(),
  model: z.string(),
  adapter: z.string().optional(),
  input: generationInputSchema,
  maxTokens: z.number().int().min(1),
  priority: z.number().int(),
  repeatable: z.boolean(),
});

/** See {@link generationRequestSchema}. */
export type GenerationRequest = z.output<typeof generationRequestSchema>;

/** Schema of one event of a response, from an engine or from a peer. */
export const generationEventSchema = z.discriminatedUnion('type', [
  z.object({
    type: z.literal('token'),
    /** Position of the token in the response, from 0. */
    offset: z.number().int().min(0),
    text: z.string(),
  }),
  z.object({
    type: z.literal('end'),
    finishReason: z.enum(['stop', 'length']),
    promptTokens: z.number().int().min(0),
    completionTokens: z.number().int().min(0),
  }),
]);

/** See {@link generationEventSchema}. */
export type GenerationEvent = z.output<typeof generationEventSchema>;

/** Characters counted as one token, as no tokenizer is available. */
const CHARS_PER_TOKEN = 4;

/**
 * Estimates the number of tokens in an input from its length.
 *
 * @param input - the caller's input.
 * @returns the estimate, at least 1.
 */
export function estimatePromptTokens(input: GenerationInput): number {
  const text =
    'prompt' in input
      ? input.prompt
      : input.messages.map(message => message.content).join('\n');
  return Math.max(1, Math.ceil(text.length / CHARS_PER_TOKEN));
}
