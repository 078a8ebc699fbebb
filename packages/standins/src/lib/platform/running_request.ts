/** Requests that a worker runs, as it reports them. @packageDocumentation */

import {IncomingMessage} from 'node:http';
import {WorkerAnswer} from './worker_answers.js';

const HEADER_PREFIX = 'x-fuchsiacleat-';

/** Priority of requests that name none. */
const DEFAULT_PRIORITY = 5;

/** Request that a worker works on, as it reports it. */
export interface RunningRequest {
  answer: WorkerAnswer;
  promptTokens: number;
  priority: number;
}

/** @returns what a worker reports of a request. */
export function toRunningRequest(
  {headers}: IncomingMessage,
  answer: WorkerAnswer,
): RunningRequest {
  const tokens = String(headers[`${HEADER_PREFIX}token-count`] ?? '');
  const promptTokens = numberOf(tokens.split(',', 1)[0], 0);
  const rank = headers[`${HEADER_PREFIX}request-priority`];
  const priority = numberOf(rank, DEFAULT_PRIORITY);
  return {answer, promptTokens, priority};
}

/** @returns the number that a header holds, or the default. */
export function numberOf(
  text: string | string[] | undefined,
  defaultNumber: number,
): number {
  const number = Number(text ?? defaultNumber);
  return Number.isFinite(number) ? number : defaultNumber;
}
