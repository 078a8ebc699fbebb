/** Checks the orders of lease holders as the workers received them. @packageDocumentation */

import {OrderCall} from '@fuchsiacleat/standins';
import {PROMISE, SoakRecord, Violation, WorkerRecord} from './soak_checks.js';

/** Time after a resumption in which earlier orders may still arrive. */
const RESUMPTION_SLACK_MS = 300;

/**
 * Workers hold no more models than they can, get orders of one holder at a time
 * and never a fencing number that is lower than one before; no two holders
 * share a number. Accepted or not, each order counts, except late ones.
 *
 * @param record - the records of the run.
 * @returns the violations.
 */
export function checkOrders({
  minOrderGapMs,
  resumptionsMs,
  workers,
}: SoakRecord): Violation[] {
  const isTimely = ({atMs}: OrderCall) =>
    !resumptionsMs.some(ms => atMs >= ms && atMs < ms + RESUMPTION_SLACK_MS);
  const timely = workers.map(worker => ({
    ...worker,
    orders: worker.orders.filter(isTimely),
  }));
  return [
    ...workers.flatMap(checkMemory),
    ...timely.flatMap(worker => checkTurns(worker, minOrderGapMs)),
    ...timely.flatMap(checkRise),
    ...checkSharing(timely.flatMap(({orders}) => orders)),
  ];
}

function checkMemory({
  initialModels,
  modelCapacity,
  name,
  orders,
}: WorkerRecord): Violation[] {
  const found: Violation[] = [];
  let held = initialModels;
  for (const {isAccepted, text} of orders) {
    if (!isAccepted) continue;
    held += text.startsWith('load') ? 1 : -1;
    if (modelCapacity === undefined || held <= modelCapacity) continue;
    const detail = `${name} was to hold ${held}`;
    found.push({promise: PROMISE.memory, detail});
  }
  return found;
}

function checkTurns(
  {name, orders}: WorkerRecord,
  minGapMs: number,
): Violation[] {
  const found: Violation[] = [];
  let before: OrderCall | undefined;
  for (const order of orders) {
    const gapMs = order.atMs - (before?.atMs ?? -Infinity);
    if (before?.holder !== order.holder && gapMs < minGapMs) {
      const detail = `${name}: ${describe(before!)}, then ${describe(order)} ${gapMs} ms later`;
      found.push({promise: PROMISE.singleHolder, detail});
    }
    before = order;
  }
  return found;
}

/** Each lower number counts once for a worker and a holder. */
function checkRise({name, orders}: WorkerRecord): Violation[] {
  const found = new Map<string, Violation>();
  let highest: OrderCall | undefined;
  for (const order of orders) {
    if (order.fencing === undefined) continue;
    const highestNumber = highest?.fencing ?? -Infinity;
    if (order.fencing >= highestNumber) {
      highest = order;
      continue;
    }
    const detail = `${name}: ${describe(order)} after ${describe(highest!)}`;
    found.set(detail, {promise: PROMISE.risingNumber, detail});
  }
  return [...found.values()];
}

function checkSharing(orders: readonly OrderCall[]): Violation[] {
  const holders = new Map<number, Set<string>>();
  for (const {fencing, holder} of orders) {
    if (fencing === undefined) continue;
    const sharing = holders.get(fencing) ?? new Set();
    holders.set(fencing, sharing.add(holder));
  }
  return [...holders]
    .filter(([, sharing]) => sharing.size > 1)
    .map(([number, sharing]) => ({
      promise: PROMISE.ownNumber,
      detail: `${number} was used by ${[...sharing].join(' and ')}`,
    }));
}

function describe({fencing, holder}: OrderCall): string {
  return `${fencing} of ${holder}`;
}
