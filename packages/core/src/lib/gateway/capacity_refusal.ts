/** Refusals because no target, or not this host, can take a request. @packageDocumentation */

import {REFUSAL, Refusal, refuse} from '../requests/outcome.js';

/** Retry-after time of a refusal because there is no target or all are full. */
const CAPACITY_RETRY_AFTER_MS = 1_000;

/**
 * Retry-after time of a refusal because this host is stopping; the caller
 * retries at another host.
 */
const STOPPING_RETRY_AFTER_MS = 50;

/**
 * Creates a refusal.
 *
 * @param message - why no target can take the request.
 */
export function noCapacityRefusal(message: string): Refusal {
  return refuse(REFUSAL.noCapacity, message, CAPACITY_RETRY_AFTER_MS);
}

/**
 * Creates a refusal because the zones of all targets are evacuated. When the
 * operator will return them is not known.
 */
export function evacuatedRefusal(): Refusal {
  return noCapacityRefusal('every zone with targets is evacuated');
}

/**
 * Creates a refusal because all targets ask this host to back off.
 *
 * @param backOffMs - the shortest time, in milliseconds.
 */
export function backingOffRefusal(backOffMs: number): Refusal {
  const message = 'every target has named a time to come back';
  return refuse(REFUSAL.noCapacity, message, Math.ceil(backOffMs));
}

/**
 * Creates a refusal because what cold targets take is used up.
 *
 * @param waitMs - time until the next request may be sent.
 */
export function coldRefusal(waitMs: number): Refusal {
  const message = 'its targets are cold and take no more now';
  return refuse(REFUSAL.noCapacity, message, Math.max(1, Math.ceil(waitMs)));
}

/**
 * Creates a refusal because the limits that targets named are used up.
 *
 * @param waitMs - time until the next request may be sent.
 */
export function limitRefusal(waitMs: number): Refusal {
  const message = 'the limits of its targets are used up';
  const retryAfterMs = Math.max(CAPACITY_RETRY_AFTER_MS, Math.ceil(waitMs));
  return refuse(REFUSAL.noCapacity, message, retryAfterMs);
}

/**
 * Creates a refusal because this host reaches no target, neither directly nor
 * through another host.
 */
export function cutOffRefusal(): Refusal {
  return noCapacityRefusal('this host reaches no target of the service');
}

/** Creates a refusal because this host is stopping. */
export function stoppingRefusal(): Refusal {
  const message = 'this host is stopping';
  return refuse(REFUSAL.stopping, message, STOPPING_RETRY_AFTER_MS);
}
