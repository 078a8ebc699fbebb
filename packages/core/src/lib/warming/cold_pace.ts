/** Splits the bound on requests to a cold target between senders. @packageDocumentation */

/** By how much the requests to a cold target may exceed its rate. */
export interface ColdBounds {
  /** Factor of the rate. */
  overage: number;
  /** Additional requests in each second. */
  slack: number;
}

/** Bounds that apply where the platform's settings name none. */
export const DEFAULT_COLD_BOUNDS: ColdBounds = {overage: 1.5, slack: 5};

/**
 * Longest time between the moment for which a send was granted and the moment
 * at which it is written. Later ones need another grant, so that delayed sends
 * do not add up.
 */
export const COLD_PERMIT_MS = 250;

/**
 * Time between two sends of a host without a lender: longer than a second by
 * the largest delay of a send, so that no second contains two of them.
 */
export const ALONE_INTERVAL_MS = 1_000 + COLD_PERMIT_MS;

const MS_PER_SECOND = 1_000;

/**
 * Lending hosts that may grant sends at the same time: a holder of the lease
 * that is cut off, and its successor.
 */
const LENDERS = 2;

/** Fraction of the bound that hosts without a lender may use together. */
const ALONE_FRACTION = 1 / 8;

/** Factor by which the host counts of two hosts may differ. */
const HOST_COUNT_TOLERANCE = 2;

/**
 * Returns the largest number of requests that a cold target may get in any
 * second.
 *
 * @param perSecond - rate that the target takes while it is cold.
 */
export function coldBound(
  perSecond: number,
  {overage, slack}: ColdBounds,
): number {
  return perSecond * overage + slack;
}

/**
 * Returns whether hosts that reach no lender may send to a cold target: only if
 * a send from each at the same moment fits into their part of the bound.
 */
export function maySendAlone(
  perSecond: number,
  bounds: ColdBounds,
  hostCount: number,
): boolean {
  return hostCount <= coldBound(perSecond, bounds) * ALONE_FRACTION;
}

/**
 * Returns the rate at which a lending host grants sends to a cold target.
 *
 * A send is written up to {@link COLD_PERMIT_MS} after its time, so that a
 * second can contain what was granted for 1.25 s, and one more. Twice that,
 * with a send from each host without a lender, is within the bound.
 *
 * @returns requests per second, at most the rate of the target.
 */
export function lentPerSecond(
  perSecond: number,
  bounds: ColdBounds,
  hostCount: number,
): number {
  const bound = coldBound(perSecond, bounds);
  const maxAlone = Math.floor(bound * ALONE_FRACTION);
  // A host that counts fewer hosts than this one may still send alone.
  const alone = hostCount > maxAlone * HOST_COUNT_TOLERANCE ? 0 : maxAlone;
  const spanS = (MS_PER_SECOND + COLD_PERMIT_MS) / MS_PER_SECOND;
  const rate = ((bound - alone) / LENDERS - 1) / spanS;
  return Math.max(0, Math.min(perSecond, rate));
}
