/** Sends the orders of the lease holder, one target at a time. @packageDocumentation */

import {Logger} from '../telemetry/logger.js';
import {Clock} from '../time/clock.js';
import {withTimeout} from '../time/timeout.js';
import {
  ORDER_REPLY,
  ResidencyOrder,
  OrderPort,
  OrderReply,
  ResidencyReport,
} from './order_port.js';
import {OrderLease} from './order_lease.js';
import {ResidencyAccount} from './residency_account.js';

/** Timeout of an order or of a request for a report. */
const ORDER_TIMEOUT_MS = 400;

/** Delays between attempts while the previous order is under way. */
const FIRST_RETRY_MS = 15;
const MAX_RETRY_MS = 250;

/**
 * Time after which a conflicting order is given up and a report is requested.
 * An unload waits for running requests, and a load waits for the unload before
 * it.
 */
const CONFLICT_TIMEOUT_MS = {unload: 600, load: 2_500} as const;

/** Delay after an order without an answer or to an unreachable target. */
const ORDER_BACKOFF_MS = 250;

/** Dependencies of {@link ResidencyOrders}. */
export interface ResidencyOrdersParts {
  clock: Clock;
  logger: Logger;
  lease: OrderLease;
  port: OrderPort;
}

/** An order without the fields that the sender adds. */
export type OrderSpec = Omit<ResidencyOrder, 'expectedCount' | 'fencing'>;

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
    order: OrderSpec,
    signal: AbortSignal,
  ): Promise<boolean> {
    const {clock} = this.parts;
    const sinceMs = clock.now();
    let pauseMs = FIRST_RETRY_MS;
    for (;;) {
      const reply = await this.sendOnce(account, order, signal);
      if (reply !== ORDER_REPLY.conflict) {
        return this.applyReply(account, order, reply);
      }
      const limitMs = CONFLICT_TIMEOUT_MS[order.verb];
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
    const quietMs = account.target.backOffLeftMs;
    if (quietMs > 0) {
      account.backoffUntilMs = clock.now() + quietMs;
      return;
    }
    const report = await this.report(account, signal);
    const nowMs = clock.now();
    if (report === undefined || report.isBusy) {
      account.backoffUntilMs = nowMs + ORDER_BACKOFF_MS;
    }
    if (report === undefined || report.isBusy) return;
    account.applyReport(report, nowMs);
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
    if (account.target.backOffLeftMs > 0) return undefined;
    return (await this.report(account, signal))?.isBusy;
  }

  private async report(
    {target}: ResidencyAccount,
    signal: AbortSignal,
  ): Promise<ResidencyReport | undefined> {
    if (target.isEvacuated) return undefined;
    return withTimeout(ORDER_TIMEOUT_MS, signal, limited =>
      this.parts.port.report(target, limited),
    );
  }

  private async sendOnce(
    account: ResidencyAccount,
    order: OrderSpec,
    signal: AbortSignal,
  ): Promise<OrderReply> {
    const {clock, lease, logger, port} = this.parts;
    if (!lease.canOrder) return ORDER_REPLY.rejected;
    if (account.target.isEvacuated) return ORDER_REPLY.rejected;
    if (account.target.backOffLeftMs > 0) return ORDER_REPLY.rejected;
    const fullOrder = {
      ...order,
      expectedCount: account.orderCount,
      fencing: lease.fencingNumber,
    };
    const checkedMs = clock.now();
    let writeMs: number | undefined;
    const canStillSend = () => {
      // The lease may have passed on while the connection was established.
      if (!lease.canOrder || lease.fencingNumber !== fullOrder.fencing)
        return false;
      writeMs = clock.now() - checkedMs;
      return true;
    };
    const reply = await withTimeout(ORDER_TIMEOUT_MS, signal, limited =>
      port.send(account.target, fullOrder, {canStillSend, signal: limited}),
    );
    logger.info('order', {
      target: account.id,
      verb: order.verb,
      model: order.model,
      adapter: order.adapter,
      count: fullOrder.expectedCount,
      fencing: fullOrder.fencing,
      reply,
      write_ms: writeMs === undefined ? undefined : Math.round(writeMs),
      reply_ms: Math.round(clock.now() - checkedMs),
    });
    return reply;
  }

  private applyReply(
    account: ResidencyAccount,
    order: OrderSpec,
    reply: OrderReply,
  ): boolean {
    const {clock} = this.parts;
    switch (reply) {
      case ORDER_REPLY.accepted:
        account.orderCount += 1;
        if (order.verb === 'load' || order.adapter === undefined) return true;
        // Requests that no host has reported still use the adapter's slot.
        account.needsReport = true;
        account.backoffUntilMs = clock.now() + ORDER_BACKOFF_MS;
        return false;
      case ORDER_REPLY.holds:
        // An unused adapter is unloaded at once, which counts as an order.
        if (order.verb === 'unload' && order.adapter !== undefined) {
          account.orderCount += 1;
        }
        return true;
      case ORDER_REPLY.otherProcess:
        account.target.isRemoved = true;
        return false;
      case ORDER_REPLY.unreachable:
        account.target.health.recordFailure();
        account.backoffUntilMs = clock.now() + ORDER_BACKOFF_MS;
        return false;
      default:
        account.needsReport = true;
        account.backoffUntilMs = clock.now() + ORDER_BACKOFF_MS;
        return false;
    }
  }
}
