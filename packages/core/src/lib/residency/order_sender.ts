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

/** Timeout of an order or of a request for a report. */
const ORDER_LIMIT_MS = 400;

/** Delays between attempts while the previous order is under way. */
const FIRST_RETRY_MS = 15;
const MAX_RETRY_MS = 250;

/**
 * Time after which a conflicting order is given up and a report is requested.
 * An unload waits for running requests, and a load waits for the unload before
 * it.
 */
const CONFLICT_LIMIT_MS = {unload: 600, load: 2_500} as const;

/** Delay after an order without an answer or to an unreachable target. */
const QUIET_MS = 250;

/** Dependencies of {@link ResidencyOrders}. */
export interface ResidencyOrdersParts {
  clock: Clock;
  logger: Logger;
  lease: OrderLease;
  port: OrderPort;
}

/** An order without the fields that the sender adds. */
export type PlainOrder = Omit<Order, 'expectedCount' | 'fencing'>;

/**
 * Sends orders under the lease, and keeps the order count of the target's
 * account up to date.
 */
export class ResidencyOrders {
  /** @param parts - see {@link ResidencyOrdersParts}. */
  constructor(private readonly parts: ResidencyOrdersParts) {}

  /**
   * Sends an order; retries while another order is under way.
   *
   * @param account - account of the target.
   * @param order - the order.
   * @param signal - stops the retries.
   * @returns whether the target carries the order out or has done so; for the
   *     unload of an adapter, whether its slot is free. Otherwise the account
   *     needs a report if the target's state is uncertain.
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
   * Updates an account from its target's own report.
   *
   * @param account - the account.
   * @param signal - cancels the report.
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
   * Requests a report to see whether an order is under way.
   *
   * @param account - account of the target.
   * @param signal - cancels the report.
   * @returns whether an order is under way; undefined if it is not known.
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
        // Requests that no host has reported still use the adapter's slot.
        account.needsReport = true;
        account.quietUntilMs = clock.now() + QUIET_MS;
        return false;
      case ORDER_REPLY.holds:
        // An unused adapter is unloaded at once, which counts as an order.
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
