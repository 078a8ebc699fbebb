/** The work that a request is to a target. @packageDocumentation */

import {TokenCount} from '../gateway/caller_request.js';

/** Fraction of the output that is in memory on average while a request runs. */
const AVERAGE_OUTPUT_FRACTION = 0.5;

/** Size of a request, in tokens. */
export interface RequestSize {
  /** Prompt tokens to prefill. */
  promptTokens: number;
  /** Tokens that it keeps in the memory of the target. */
  memoryTokens: number;
}

/** Size of a request that states no token count. */
const NO_SIZE: RequestSize = {promptTokens: 0, memoryTokens: 0};

/**
 * Returns the size of a request.
 *
 * @param tokens - what the request states.
 * @returns the size; a length hint above the stated maximum has no effect.
 */
export function requestSize(tokens: TokenCount | undefined): RequestSize {
  if (tokens === undefined) return NO_SIZE;
  const {prompt, output, expectedOutput} = tokens;
  const expected = Math.min(output, expectedOutput ?? output);
  const memoryTokens = prompt + expected * AVERAGE_OUTPUT_FRACTION;
  return {promptTokens: prompt, memoryTokens};
}
