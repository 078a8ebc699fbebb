/** Sends the orders of the lease holder, one target at a time. @packageDocumentation */

import {Logger} from '../telemetry/logger.js';
import {Clock} from '../time/clock.js';
import {withTimeLimit} from '../time/time_limit.js';
import {
  ORDER_REPLY,
  Order,
  OrderPort,
  OrderReply,
  ResidencyReport,
} from './order_port.js';
import {OrderLease} from './order_lease.js';
import {ResidencyAccount} from './residency_account.js';

/** Longest wait for the answer to an order or a report. */
const ORDER_LIMIT_MS = 400;

/** Pauses between tries of an order while the one before it goes on. */
const FIRST_RETRY_MS = 15;
const MAX_RETRY_MS = 250;

/**
 * Time after which an order that conflicts calls for a report: an unload waits
 * for runs, and what follows it waits for the unload.
 */
const CONFLICT_LIMIT_MS = {unload: 600, load: 2_500} as const;

/** Pause after an order without an answer, or a target out of reach. */
const QUIET_MS = 250;

/** What a {@link ResidencyOrders} works with. */
export interface ResidencyOrdersParts {
  clock: Clock;
  logger: Logger;
  lease: OrderLease;
  port: OrderPort;
}

/** An order without what the account adds to it. */
export type PlainOrder = Omit<Order, 'expectedCount' | 'fencing'>;

/** Orders under the lease, counted on the target's account. */
export class ResidencyOrders {
  /** @param parts - see {@link ResidencyOrdersParts}. */
  constructor(private readonly parts: ResidencyOrdersParts) {}

  /**
   * Sends an order; waits while another order is under way.
   *
   * @param account - whose target gets it; its count is kept up.
   * @param order - what to do.
   * @param signal - gives up.
   * @returns whether the target carries it out or has done so; of an adapter's
   *     unload, whether its place is free. Otherwise the account asks for a
   *     report if the target's state is unsure.
   */
  async send(
    account: ResidencyAccount,
    order: PlainOrder,
    signal: AbortSignal,
  ): Promise<boolean> {
    const {clock} = this.parts;
    const sinceMs = clock.now();
    let pauseMs = FIRST_RETRY_MS;
    for (;;) {
      const reply = await this.sendOnce(account, order, signal);
      if (reply !== ORDER_REPLY.conflict) {
        return this.settle(account, order, reply);
      }
      const limitMs = CONFLICT_LIMIT_MS[order.verb];
      if (clock.now() - sinceMs > limitMs || signal.aborted) {
        account.needsReport = true;
        return false;
      }
      await clock.sleep(pauseMs, signal);
      pauseMs = Math.min(MAX_RETRY_MS, pauseMs * 2);
    }
  }

  /**
   * Brings an account in line with its target's own report.
   *
   * @param account - which account.
   * @param signal - gives up.
   */
  async refresh(account: ResidencyAccount, signal: AbortSignal): Promise<void> {
    const {clock, logger} = this.parts;
    const quietMs = account.target.quietLeftMs;
    if (quietMs > 0) {
      account.quietUntilMs = clock.now() + quietMs;
      return;
    }
    const report = await this.report(account, signal);
    const nowMs = clock.now();
    if (report === undefined || report.isBusy) {
      account.quietUntilMs = nowMs + QUIET_MS;
    }
    if (report === undefined || report.isBusy) return;
    account.adopt(report, nowMs);
    logger.info('target_report', {
      target: account.id,
      count: report.orderCount,
      models: report.held.map(({model}) => model).join(','),
    });
  }

  /**
   * @param account - whose target is asked.
   * @param signal - gives up.
   * @returns whether an order is under way there; undefined if it is not known.
   */
  async isBusy(
    account: ResidencyAccount,
    signal: AbortSignal,
  ): Promise<boolean | undefined> {
    if (account.target.quietLeftMs > 0) return undefined;
    return (await this.report(account, signal))?.isBusy;
  }

  private report(
    {target}: ResidencyAccount,
    signal: AbortSignal,
  ): Promise<ResidencyReport | undefined> {
    return withTimeLimit(ORDER_LIMIT_MS, signal, limited =>
      this.parts.port.report(target, limited),
    );
  }

  private async sendOnce(
    account: ResidencyAccount,
    order: PlainOrder,
    signal: AbortSignal,
  ): Promise<OrderReply> {
    const {lease, logger, port} = this.parts;
    if (!lease.mayOrder) return ORDER_REPLY.rejected;
    if (account.target.quietLeftMs > 0) return ORDER_REPLY.rejected;
    const whole = {
      ...order,
      expectedCount: account.orderCount,
      fencing: lease.fencingNumber,
    };
    const reply = await withTimeLimit(ORDER_LIMIT_MS, signal, limited =>
      port.send(account.target, whole, limited),
    );
    logger.info('order', {
      target: account.id,
      verb: order.verb,
      model: order.model,
      adapter: order.adapter,
      count: whole.expectedCount,
      fencing: whole.fencing,
      reply,
    });
    return reply;
  }

  private settle(
    account: ResidencyAccount,
    order: PlainOrder,
    reply: OrderReply,
  ): boolean {
    const {clock} = this.parts;
    switch (reply) {
      case ORDER_REPLY.accepted:
        account.orderCount += 1;
        if (order.verb === 'load' || order.adapter === undefined) return true;
        // Requests that nobody reported still use the adapter's place.
        account.needsReport = true;
        account.quietUntilMs = clock.now() + QUIET_MS;
        return false;
      case ORDER_REPLY.holds:
        // An unused adapter is dropped at once, which counts as an order.
        if (order.verb === 'unload' && order.adapter !== undefined) {
          account.orderCount += 1;
        }
        return true;
      case ORDER_REPLY.otherProcess:
        account.target.isGone = true;
        return false;
      case ORDER_REPLY.unreachable:
        account.target.health.failed();
        account.quietUntilMs = clock.now() + QUIET_MS;
        return false;
      default:
        account.needsReport = true;
        account.quietUntilMs = clock.now() + QUIET_MS;
        return false;
    }
  }
}
