/** How orders reach targets. @packageDocumentation */

import {KnownTarget} from '../gateway/target_table.js';

/** An order to load or unload a model, or one of its adapters. */
export interface Order {
  verb: 'load' | 'unload';
  model: string;
  adapter: string | undefined;
  /** Orders that the target must have accepted before, or it refuses. */
  expectedCount: number;
  /** Fencing number of the host that orders. */
  fencing: number;
}

/** What a target said to an order. */
export const ORDER_REPLY = {
  /** It is carrying the order out; its count has gone up. */
  accepted: 'accepted',
  /** What is ordered holds already, or was done at once. */
  holds: 'holds',
  /** Another order is under way, or the count differs. */
  conflict: 'conflict',
  /** The order or the target is wrong; it was not carried out. */
  rejected: 'rejected',
  /** Another process has the address. */
  otherProcess: 'other-process',
  /** No byte of the order left this host. */
  unreachable: 'unreachable',
  /** No answer; it may be carried out later if its count still fits. */
  unknown: 'unknown',
} as const;

/** One of {@link ORDER_REPLY}. */
export type OrderReply = (typeof ORDER_REPLY)[keyof typeof ORDER_REPLY];

/** What a target reports about itself when it is asked. */
export interface ResidencyReport {
  orderCount: number;
  /** Whether an order is under way. */
  isBusy: boolean;
  held: ReadonlyArray<{model: string; adapters: readonly string[]}>;
  /** Adapters on their way, by model. */
  coming: ReadonlyArray<{model: string; adapter: string}>;
}

/** Gives orders to targets and asks them what they hold. */
export abstract class OrderPort {
  /**
   * Sends an order once.
   *
   * @param target - to whom.
   * @param order - see {@link Order}.
   * @param signal - ends the wait for an answer.
   */
  abstract send(
    target: KnownTarget,
    order: Order,
    signal: AbortSignal,
  ): Promise<OrderReply>;

  /**
   * @param target - whom to ask.
   * @param signal - ends the wait.
   * @returns its report, which may be some hundred milliseconds old; undefined
   *     if it gave none.
   */
  abstract report(
    target: KnownTarget,
    signal: AbortSignal,
  ): Promise<ResidencyReport | undefined>;
}
