/** Predictable text that the engine stand-in generates. @packageDocumentation */

import {createHash} from 'node:crypto';
import {GenerateBody} from './engine_protocol.js';

/**
 * Returns the token that an engine stand-in generates at an offset.
 *
 * @param text - text of the request, see {@link inputText}.
 * @param offset - position in the response, from 0.
 * @returns the token.
 */
export function expectedToken(text: string, offset: number): string {
  const hash = createHash('sha256').update(`${offset}:${text}`).digest('hex');
  return `${hash.slice(0, 5)} `;
}

/** @returns the text of a request, with messages joined by line breaks. */
export function inputText({input}: Pick<GenerateBody, 'input'>): string {
  if ('prompt' in input) return input.prompt;
  return input.messages.map(message => message.content).join('\n');
}
