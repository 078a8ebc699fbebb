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

/** Sends orders to targets and requests reports of what they hold. */
export abstract class OrderPort {
  /**
   * Sends an order once.
   *
   * @param target - the receiver.
   * @param order - see {@link ResidencyOrder}.
   * @param signal - cancels the wait for an answer.
   */
  abstract send(
    target: KnownTarget,
    order: ResidencyOrder,
    signal: AbortSignal,
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
