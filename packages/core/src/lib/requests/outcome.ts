/** The closed set of outcomes of a request. @packageDocumentation */

/** Reasons of a refusal. A refused request did not run. */
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
  /** Targets crashed on requests of the same kind. */
  quarantined: 'quarantined',
} as const;

/** One of {@link REFUSAL}. */
export type RefusalReason = (typeof REFUSAL)[keyof typeof REFUSAL];

/** Reasons of a failure. A failed request may have run. */
export const FAILURE = {
  targetLost: 'target-lost',
  targetError: 'target-error',
  deadline: 'deadline',
  keyWithdrawn: 'key-withdrawn',
  peerLost: 'peer-lost',
} as const;

/** One of {@link FAILURE}. */
export type FailureReason = (typeof FAILURE)[keyof typeof FAILURE];

/** The request was refused; no target ran any part of it. */
export interface Refusal {
  type: 'refused';
  reason: RefusalReason;
  message: string;
  /** Delay after which a retry may succeed, in milliseconds from now. */
  retryAfterMs?: number;
}

/** The request failed and may have run, wholly or partly. */
export interface Failure {
  type: 'failed';
  reason: FailureReason;
  message: string;
}

/** The caller disconnected before the request ended. */
export interface Cancelled {
  type: 'cancelled';
}

/** The whole response was delivered to the caller. */
export interface Served {
  type: 'served';
}

/** How a request ended. Every request has exactly one outcome. */
export type Outcome = Served | Refusal | Failure | Cancelled;

/** Any outcome except {@link Served}. */
export type UnservedOutcome = Refusal | Failure | Cancelled;

/** Creates a {@link Refusal}. */
export function refuse(
  reason: RefusalReason,
  message: string,
  retryAfterMs?: number,
): Refusal {
  return {type: 'refused', reason, message, retryAfterMs};
}

/** Creates a {@link Failure}. */
export function fail(reason: FailureReason, message: string): Failure {
  return {type: 'failed', reason, message};
}
