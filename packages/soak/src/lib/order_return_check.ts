/** Checks that orders go on after the store came back from an older copy. @packageDocumentation */

import {PROMISE, SoakRecord, Violation} from './soak_checks.js';

/**
 * Time in which a host can order again. It covers the lifetime of the lease
 * before, the gap between two holders, and claims.
 */
export const ORDER_RETURN_MS = 15_000;

/** Time between the starts of the spans that are looked at. */
const STEP_MS = 250;

/**
 * After a return of the store from an older copy, no span of
 * {@link ORDER_RETURN_MS} is without an order, unless something disturbed each
 * host in it. Callers always ask for models that no worker holds.
 *
 * @param record - the records of the run.
 * @returns the first violation, if there is one.
 */
export function checkOrderReturn(record: SoakRecord): Violation[] {
  const {callersEndMs, disturbances, hostEndsMs, restoresMs, workers} = record;
  if (restoresMs.length === 0) return [];
  const hosts = [...hostEndsMs.keys()];
  const orders = workers.flatMap(worker => worker.orders);
  const lastFromMs = callersEndMs - ORDER_RETURN_MS;
  for (let fromMs = restoresMs[0]; fromMs <= lastFromMs; fromMs += STEP_MS) {
    const toMs = fromMs + ORDER_RETURN_MS;
    if (orders.some(({atMs}) => atMs > fromMs && atMs <= toMs)) continue;
    if (!hosts.some(host => disturbances.isCalm(host, fromMs, toMs))) continue;
    const sinceMs = Math.round(fromMs - restoresMs[0]);
    const detail = `no order for ${ORDER_RETURN_MS} ms, ${sinceMs} ms after the store first came back from a copy`;
    return [{promise: PROMISE.ordersReturn, detail}];
  }
  return [];
}
