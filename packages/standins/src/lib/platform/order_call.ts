/** Orders as workers receive them. @packageDocumentation */

/** Body of a call that brings an order. */
export interface WorkerOrder {
  Op: string;
  Model: string;
  Precondition?: number;
  Holder?: string;
  Fence?: number;
}

/** Call that brought an order, accepted or not. */
export interface OrderCall {
  /** The order as "verb model". */
  text: string;
  /** Lease holder that the order names as its sender. */
  holder: string;
  /** Fencing number; undefined if the order names none. */
  fencing: number | undefined;
  /** Arrival on the monotonic clock of this process, in milliseconds. */
  atMs: number;
  isAccepted: boolean;
}

/**
 * @param order - order that has just arrived.
 * @param isAccepted - whether the worker carries it out.
 * @returns the record of the call.
 */
export function toOrderCall(
  order: WorkerOrder,
  isAccepted: boolean,
): OrderCall {
  return {
    text: `${order.Op} ${order.Model}`,
    holder: order.Holder ?? '',
    fencing: order.Fence,
    atMs: performance.now(),
    isAccepted,
  };
}
