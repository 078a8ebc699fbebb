/** Maps request outcomes to HTTP status, headers and body. @packageDocumentation */

import {
  FAILURE,
  Failure,
  REFUSAL,
  RefusalReason,
  UnservedOutcome,
} from '@fuchsiacleat/core';

/** Response header that says whether an unserved request may have run. */
export const OUTCOME_HEADER = 'x-outcome';

const STATUS_CLIENT_CLOSED = 499;

const REFUSAL_STATUS: Record<RefusalReason, number> = {
  [REFUSAL.badRequest]: 400,
  [REFUSAL.unauthenticated]: 401,
  [REFUSAL.forbidden]: 403,
  [REFUSAL.unknownRoute]: 404,
  [REFUSAL.tooLarge]: 413,
  [REFUSAL.overRate]: 429,
  [REFUSAL.deadline]: 503,
  [REFUSAL.noCapacity]: 503,
  [REFUSAL.configTooOld]: 503,
  [REFUSAL.conflict]: 409,
  [REFUSAL.logUnavailable]: 503,
  [REFUSAL.keyWithdrawn]: 401,
  [REFUSAL.stopping]: 503,
  [REFUSAL.quarantined]: 503,
};

/** Body of the response to an unserved request. */
export interface ErrorBody {
  error: {
    message: string;
    type: string;
    code: string;
    /** `not_run` only if it is certain that the request did not run. */
    outcome: 'not_run' | 'may_have_run';
  };
}

/**
 * Creates the error body for an unserved request.
 *
 * @param outcome - outcome of the request.
 * @returns the JSON body, in the error format of the OpenAI API.
 */
export function errorBody(outcome: UnservedOutcome): ErrorBody {
  if (outcome.type === 'cancelled') {
    return createErrorBody(
      'the caller went away',
      'cancelled',
      'cancelled',
      false,
    );
  }
  const {message, reason, type} = outcome;
  return createErrorBody(message, type, reason, type === 'refused');
}

/**
 * Creates the error response for an unserved request.
 *
 * @param outcome - outcome of a request for which no byte was sent yet.
 * @returns the complete response.
 */
export function errorResponse(outcome: UnservedOutcome): Response {
  const content = errorBody(outcome);
  const headers: Record<string, string> = {
    'content-type': 'application/json',
    [OUTCOME_HEADER]: content.error.outcome,
  };
  if (outcome.type === 'refused' && outcome.retryAfterMs !== undefined) {
    const seconds = Math.ceil(outcome.retryAfterMs / 1_000);
    headers['retry-after'] = String(Math.max(1, seconds));
  }
  const status = statusOf(outcome);
  return new Response(JSON.stringify(content), {status, headers});
}

function statusOf(outcome: UnservedOutcome): number {
  if (outcome.type === 'cancelled') return STATUS_CLIENT_CLOSED;
  if (outcome.type === 'refused') return REFUSAL_STATUS[outcome.reason];
  return failureStatus(outcome);
}

function failureStatus({reason}: Failure): number {
  return reason === FAILURE.deadline ? 504 : 502;
}

function createErrorBody(
  message: string,
  type: string,
  code: string,
  notRun: boolean,
): ErrorBody {
  const outcome = notRun ? 'not_run' : 'may_have_run';
  return {error: {message, type, code, outcome}};
}
