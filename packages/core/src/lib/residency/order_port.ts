/** Interface for sending orders to targets. @packageDocumentation */

import {KnownTarget} from '../gateway/target_table.js';

/** An order to load or unload a model, or one of its adapters. */
export interface ResidencyOrder {
  verb: 'load' | 'unload';
  model: string;
  adapter: string | undefined;
  /** Orders the target must have accepted so far; otherwise it refuses. */
  expectedCount: number;
  /** Fencing number of the host that sends the order. */
  fencing: number;
}

/** Outcomes of an order. */
export const ORDER_REPLY = {
  /** The target carries the order out; its count has increased. */
  accepted: 'accepted',
  /** The ordered state holds already, or was reached at once. */
  holds: 'holds',
  /** Another order is under way, or the count differs. */
  conflict: 'conflict',
  /** The order or the target is wrong; it was not carried out. */
  rejected: 'rejected',
  /** Another process has the address. */
  otherProcess: 'other-process',
  /** No byte of the order left this host. */
  unreachable: 'unreachable',
  /** This host may not order any more; no byte of the order left it. */
  withdrawn: 'withdrawn',
  /** No answer; the order may take effect later if its count still fits. */
  unknown: 'unknown',
} as const;

/** One of {@link ORDER_REPLY}. */
export type OrderReply = (typeof ORDER_REPLY)[keyof typeof ORDER_REPLY];

/** A target's answer to a request for a report. */
export interface ResidencyReport {
  orderCount: number;
  /** Whether an order is under way. */
  isBusy: boolean;
  held: ReadonlyArray<{model: string; adapters: readonly string[]}>;
  /** Adapters that are being loaded, with their models. */
  loadingAdapters: ReadonlyArray<{model: string; adapter: string}>;
}

/** Options of an order. */
export interface OrderOptions {
  /**
   * Called right before the order is written, which may be some time later than
   * the call of `send`. If it returns false, the order is not sent and the reply
   * is `withdrawn`.
   */
  canStillSend: () => boolean;
  /** Cancels the wait for an answer. */
  signal: AbortSignal;
}

/** Sends orders to targets and requests reports of what they hold. */
export abstract class OrderPort {
  /**
   * Sends an order once.
   *
   * @param target - the receiver.
   * @param order - see {@link ResidencyOrder}.
   * @param options - see {@link OrderOptions}.
   */
  abstract send(
    target: KnownTarget,
    order: ResidencyOrder,
    options: OrderOptions,
  ): Promise<OrderReply>;

  /**
   * Requests a report.
   *
   * @param target - the target that reports.
   * @param signal - cancels the wait.
   * @returns the report, which may be some hundred milliseconds old; undefined
   *     if the target sent none.
   */
  abstract report(
    target: KnownTarget,
    signal: AbortSignal,
  ): Promise<ResidencyReport | undefined>;
}
