/** Sends orders to targets under the zone's lease. @packageDocumentation */

import {Result, err, ok} from 'neverthrow';
import {LeaseAuthority} from '../membership/lease_authority.js';
import {ENGINE_ERROR, EngineClient, Order} from '../targets/engine_client.js';
import {Logger} from '../telemetry/logger.js';
import {Clock} from '../time/clock.js';

/** Why an order was not carried out. */
export interface OrderFailure {
  /** `unknown` if the order may have taken effect or may do so later. */
  type: 'refused' | 'unknown';
  message: string;
}

/** Dependencies of an {@link OrderSender}. */
export interface OrderSenderOptions {
  lease: LeaseAuthority;
  clock: Clock;
  logger: Logger;
  /** Returns the client of a declared engine. */
  engineOf: (target: string) => EngineClient;
}

/** Sends orders, each only while this host holds a valid lease. */
export class OrderSender {
  constructor(private readonly options: OrderSenderOptions) {}

  /**
   * Sends an order and waits until it is carried out.
   *
   * @param target - name of the target.
   * @param id - idempotency key: orders with the same id take effect once.
   * @param order - the order.
   * @param timeoutMs - how long to wait for the answer, in milliseconds.
   * @returns nothing once the order is carried out, or an error.
   */
  async send(
    target: string,
    id: string,
    order: Order,
    timeoutMs: number,
  ): Promise<Result<void, OrderFailure>> {
    const {clock, engineOf, lease, logger} = this.options;
    const timeout = new AbortController();
    const timer = clock.after(timeoutMs, () => timeout.abort());
    const engine = engineOf(target);
    const authority = lease.check();
    if (authority.isErr()) {
      timer.cancel();
      return err({type: 'refused', message: authority.error.message});
    }
    const {fencing} = authority.value;
    const sentMs = clock.now();
    const answer = await engine.order({id, fencing, order}, timeout.signal);
    timer.cancel();
    const tookMs = Math.round(clock.now() - sentMs);
    const error = answer.isErr() ? answer.error.message : undefined;
    const {kind} = order;
    logger.info('order_done', {target, kind, id, fencing, tookMs, error});
    if (answer.isOk()) return ok(undefined);
    const {type, message} = answer.error;
    const isUnknown = type === ENGINE_ERROR.broken;
    return err({type: isUnknown ? 'unknown' : 'refused', message});
  }
}
