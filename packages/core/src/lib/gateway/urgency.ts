/** Urgency of requests. @packageDocumentation */

import {CallerRequest} from './caller_request.js';
import {REQUEST_KIND} from './deployment.js';
import {RelayCall} from './relay_call.js';

const LEAST_URGENT = 9;

/**
 * Latency objective above which a generation yields to other requests of the
 * same priority.
 */
const MAX_URGENT_OBJECTIVE_MS = 1_000;

/**
 * Returns the urgency of a request.
 *
 * @param call - the request.
 * @returns 0 for the most urgent, 9 for the least.
 */
export function urgencyOf<Req extends CallerRequest>(
  call: RelayCall<Req>,
): number {
  const {route, team} = call;
  const priority = team?.priority ?? route.priority;
  const isLessUrgent = route.objectiveMs > MAX_URGENT_OBJECTIVE_MS ? 1 : 0;
  const isGeneration = route.kind === REQUEST_KIND.stream ? 1 : 0;
  const rank = 2 * priority + isLessUrgent * isGeneration;
  return Math.min(LEAST_URGENT, rank);
}
