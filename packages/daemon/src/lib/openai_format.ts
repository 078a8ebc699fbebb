/** Requests and responses in the format of the OpenAI API. @packageDocumentation */

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

/** A parsed chat completion or completion request. */
export type CompletionBody = z.output<typeof chatBodySchema>;

type EndEvent = Extract<GenerationEvent, {type: 'end'}>;

/** Formats a response, as one object or as a sequence of chunks. */
export abstract class AnswerFormat {
  /**
   * @param id - id of the request.
   * @param model - the `model` field of the caller's request.
   * @param createdS - creation time, in seconds since the Unix epoch.
   */
  constructor(
    protected readonly id: string,
    protected readonly model: string,
    protected readonly createdS: number,
  ) {}

  /** Returns the chunk with a token's text. */
  abstract tokenChunk(text: string, isFirst: boolean): object;

  /** Returns the last chunk, with finish reason and usage. */
  abstract endChunk(end: EndEvent): object;

  /** Returns the complete response body. */
  abstract fullBody(text: string, end: EndEvent): object;

  protected base(object: string): object {
    const {id, model, createdS} = this;
    return {id, object, created: createdS, model};
  }
}

/** Format of chat completions. */
export class ChatFormat extends AnswerFormat {
  override tokenChunk(text: string, isFirst: boolean): object {
    const delta = isFirst
      ? {role: 'assistant', content: text}
      : {content: text};
    return this.chunk({index: 0, delta, finish_reason: null});
  }

  override endChunk(end: EndEvent): object {
    return {
      ...this.chunk({index: 0, delta: {}, finish_reason: end.finishReason}),
      usage: usageOf(end),
    };
  }

  override fullBody(text: string, end: EndEvent): object {
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

/** Format of completions. */
export class CompletionFormat extends AnswerFormat {
  override tokenChunk(text: string): object {
    return this.withChoice({index: 0, text, finish_reason: null});
  }

  override endChunk(end: EndEvent): object {
    return this.fullBody('', end);
  }

  override fullBody(text: string, end: EndEvent): object {
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
