/** Requests and answers in the form that OpenAI clients use. @packageDocumentation */

import {GenerationInput, GenerationEvent} from '@fuchsiacleat/core';
import {z} from 'zod';

const textPartSchema = z.object({type: z.literal('text'), text: z.string()});

const contentSchema = z
  .union([z.string(), z.array(textPartSchema)])
  .transform(content =>
    typeof content === 'string'
      ? content
      : content.map(part => part.text).join(''),
  );

const commonFields = {
  model: z.string(),
  stream: z.boolean().default(false),
  max_tokens: z.number().int().min(1).optional(),
};

/** Body of `POST /v1/chat/completions`; other fields are ignored. */
export const chatBodySchema = z
  .object({
    ...commonFields,
    max_completion_tokens: z.number().int().min(1).optional(),
    messages: z
      .array(z.object({role: z.string(), content: contentSchema}))
      .min(1),
  })
  .transform(body => ({
    route: body.model,
    stream: body.stream,
    maxTokens: body.max_completion_tokens ?? body.max_tokens,
    input: {messages: body.messages} as GenerationInput,
  }));

/** Body of `POST /v1/completions`; other fields are ignored. */
export const completionBodySchema = z
  .object({...commonFields, prompt: z.string()})
  .transform(body => ({
    route: body.model,
    stream: body.stream,
    maxTokens: body.max_tokens,
    input: {prompt: body.prompt} as GenerationInput,
  }));

/** A parsed request, chat or completion. */
export type CompletionBody = z.output<typeof chatBodySchema>;

type EndEvent = Extract<GenerationEvent, {type: 'end'}>;

/** Writes answers, as one object or as chunks. */
export abstract class AnswerFormat {
  /**
   * @param id - id of the request.
   * @param model - what the caller asked for.
   * @param createdS - seconds since the Unix epoch.
   */
  constructor(
    protected readonly id: string,
    protected readonly model: string,
    protected readonly createdS: number,
  ) {}

  /** @returns the chunk that carries a token. */
  abstract tokenChunk(text: string, first: boolean): object;

  /** @returns the chunk that ends the answer. */
  abstract endChunk(end: EndEvent): object;

  /** @returns the whole answer. */
  abstract whole(text: string, end: EndEvent): object;

  protected base(object: string): object {
    const {id, model, createdS} = this;
    return {id, object, created: createdS, model};
  }
}

/** The format of chat completions. */
export class ChatFormat extends AnswerFormat {
  override tokenChunk(text: string, first: boolean): object {
    const delta = first ? {role: 'assistant', content: text} : {content: text};
    return this.chunk({index: 0, delta, finish_reason: null});
  }

  override endChunk(end: EndEvent): object {
    return {
      ...this.chunk({index: 0, delta: {}, finish_reason: end.finishReason}),
      usage: usageOf(end),
    };
  }

  override whole(text: string, end: EndEvent): object {
    const message = {role: 'assistant', content: text};
    const choice = {index: 0, message, finish_reason: end.finishReason};
    return {
      ...this.base('chat.completion'),
      choices: [choice],
      usage: usageOf(end),
    };
  }

  private chunk(choice: object): object {
    return {...this.base('chat.completion.chunk'), choices: [choice]};
  }
}

/** The format of plain completions. */
export class CompletionFormat extends AnswerFormat {
  override tokenChunk(text: string): object {
    return this.withChoice({index: 0, text, finish_reason: null});
  }

  override endChunk(end: EndEvent): object {
    return this.whole('', end);
  }

  override whole(text: string, end: EndEvent): object {
    const choice = {index: 0, text, finish_reason: end.finishReason};
    return {...this.withChoice(choice), usage: usageOf(end)};
  }

  private withChoice(choice: object): object {
    return {...this.base('text_completion'), choices: [choice]};
  }
}

function usageOf({promptTokens, completionTokens}: EndEvent): object {
  return {
    prompt_tokens: promptTokens,
    completion_tokens: completionTokens,
    total_tokens: promptTokens + completionTokens,
  };
}
