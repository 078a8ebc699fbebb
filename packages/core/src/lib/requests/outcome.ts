/** The closed set of ends that a request can have. @packageDocumentation */

/** Why a request was refused, which also means that it did not run. */
export const REFUSAL = {
  badRequest: 'bad-request',
  unauthenticated: 'unauthenticated',
  forbidden: 'forbidden',
  unknownRoute: 'unknown-route',
  tooLarge: 'too-large',
  overRate: 'over-rate',
  deadline: 'deadline',
  noCapacity: 'no-capacity',
  configTooOld: 'config-too-old',
  conflict: 'conflict',
  logUnavailable: 'log-unavailable',
  keyWithdrawn: 'key-withdrawn',
  stopping: 'stopping',
} as const;

/** One of {@link REFUSAL}. */
export type RefusalReason = (typeof REFUSAL)[keyof typeof REFUSAL];

/** Why a request failed after it may have run. */
export const FAILURE = {
  targetLost: 'target-lost',
  targetError: 'target-error',
  deadline: 'deadline',
  keyWithdrawn: 'key-withdrawn',
  peerLost: 'peer-lost',
} as const;

/** One of {@link FAILURE}. */
export type FailureReason = (typeof FAILURE)[keyof typeof FAILURE];

/** The request was turned away; no part of it reached a target. */
export interface Refusal {
  type: 'refused';
  reason: RefusalReason;
  message: string;
  /** When it is worth to try again, in milliseconds from now. */
  retryAfterMs?: number;
}

/** The request may have run in whole or in part. */
export interface Failure {
  type: 'failed';
  reason: FailureReason;
  message: string;
}

/** The caller went away before the end. */
export interface Cancelled {
  type: 'cancelled';
}

/** The whole answer was handed to the caller. */
export interface Served {
  type: 'served';
}

/** How a request ended. Every request ends in exactly one. */
export type Outcome = Served | Refusal | Failure | Cancelled;

/** Every end but success. */
export type Unserved = Refusal | Failure | Cancelled;

/** @returns a {@link Refusal}. */
export function refuse(
  reason: RefusalReason,
  message: string,
  retryAfterMs?: number,
): Refusal {
  return {type: 'refused', reason, message, retryAfterMs};
}

/** @returns a {@link Failure}. */
export function fail(reason: FailureReason, message: string): Failure {
  return {type: 'failed', reason, message};
}
